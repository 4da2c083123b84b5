package gateway

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

const (
	// retryPause is the pause before a statement that did not run is sent to
	// the same server again. A slot of a busy server is free about that soon.
	retryPause = 15 * time.Millisecond
	// maxAttempts bounds the sends of one statement.
	maxAttempts = 6
	// lostPrimary is how long a primary must have failed here, without a change
	// under way, for statements to be refused at once: the caller finds another
	// host that may reach it.
	lostPrimary = 1500 * time.Millisecond
	// answerReserve is how many times the expected time of an answer is kept
	// from the statement timeout for it: statements that wait for longer are
	// refused. Below 3, half of what an overloaded server did came too late.
	answerReserve = 3
	// readPatience is the part of the statement timeout after which a read that
	// was not answered is sent to another server.
	readPatience = 0.75
)

// operation is one statement on its way, over all its attempts.
type operation struct {
	session  *Session
	gateway  *Gateway
	ctx      context.Context
	request  statement.Request
	db       database.Database
	shape    *shape // of an Execute
	read     bool
	started  time.Time // on clock.Now
	deadline time.Time // on clock.Now

	attempts int
	tried    map[*member]bool
	last     error
	member   *member // of the last attempt
	waited   time.Duration
}

// execute runs the statement and returns the answer for the caller.
func (o *operation) execute() statement.Answer {
	s := o.session
	switch {
	case s.tx == nil && o.read:
		return o.single(o.readRoute)
	case s.tx == nil:
		return o.single(o.primaryRoute)
	case o.request.Kind == statement.Commit && s.tx.failed:
		s.tx = nil
		return s.refuse(errkind.New(errkind.TransactionLost, "the transaction had failed and was rolled back"))
	case !s.tx.bound():
		if a := o.bind(); a != nil {
			return *a
		}
	}
	return o.inTransaction()
}

// route says where an attempt goes.
type route struct {
	member     *member
	group      *group
	generation uint64
	lead       bool            // it needs the primary and its lease
	after      logpos.Position // required position; zero if lead
}

// readRoute returns where a read outside of a transaction, or a transaction
// that only reads, goes next.
func (o *operation) readRoute() (route, error) {
	v := o.gateway.view.Load()
	gv := v.groups[o.db.Group]
	if gv == nil {
		return route{}, errkind.New(errkind.NoMember, "no server of group %q is known", o.db.Group)
	}
	if usesPrimary(o.db) {
		return o.primaryRoute()
	}
	after, ok := gv.group.required(o.db.MaxStaleness)
	if !ok {
		rt, err := o.primaryRoute()
		if err == nil && !gv.group.takeSample() {
			err = errkind.New(errkind.PositionNotReached, "a position of the primary of group %q is awaited", o.db.Group)
		}
		return rt, err
	}
	if o.db.Consistency == database.Session {
		after = after.Max(o.session.token)
	}
	m := gv.choose(o.tried, clock.Now())
	if m == nil {
		clear(o.tried)
		return route{}, errkind.New(errkind.NoMember, "every server of group %q was tried", o.db.Group)
	}
	if m == gv.primary && gv.usable() && o.gateway.leased() {
		return route{member: m, group: gv.group, generation: gv.generation, lead: true}, nil
	}
	return route{member: m, group: gv.group, generation: gv.generation, after: after}, nil
}

// primaryRoute returns the primary, if this host may use it.
func (o *operation) primaryRoute() (route, error) {
	v := o.gateway.view.Load()
	gv := v.groups[o.db.Group]
	switch {
	case !o.gateway.leased():
		return route{}, errkind.New(errkind.ConfigStale, "the lease of this host has run out")
	case !gv.usable():
		return route{}, errkind.New(errkind.NoPrimary, "group %q has no primary at present", o.db.Group)
	}
	return route{member: gv.primary, group: gv.group, generation: gv.generation, lead: true}, nil
}

// betterElsewhere reports whether waiting does not help: another host may serve the
// caller, this one can't.
func (o *operation) betterElsewhere(err error) bool {
	if errkind.Of(err) == errkind.ConfigStale {
		return o.gateway.CutOff()
	}
	gv := o.gateway.view.Load().groups[o.db.Group]
	return gv != nil && gv.primary != nil && !gv.switching && gv.primary.failingFor(clock.Now()) > lostPrimary &&
		(usesPrimary(o.db) || !o.read)
}

// await waits for a new view, at most for d. It is false when time is over.
func (o *operation) await(v *view, d time.Duration) bool {
	left := o.deadline.Sub(clock.Now())
	if left <= 0 || o.ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(min(d, left))
	defer timer.Stop()
	select {
	case <-v.changed:
	case <-timer.C:
	case <-o.ctx.Done():
		return false
	}
	return clock.Now().Before(o.deadline)
}

// single runs a statement outside of a transaction.
func (o *operation) single(next func() (route, error)) statement.Answer {
	for {
		v := o.gateway.view.Load()
		rt, err := next()
		if err != nil {
			if errkind.Of(err) == errkind.NoMember && errkind.Of(o.last) == errkind.Overloaded {
				return o.refuse() // every queue is full, and waiting is what they refuse
			}
			o.note(err)
			if o.betterElsewhere(err) || !o.await(v, retryPause) {
				return o.refuse()
			}
			continue
		}
		a, again := o.attempt(rt)
		if !again {
			return a
		}
		if o.attempts >= maxAttempts || o.betterElsewhere(o.last) || rt.lead && errkind.Of(o.last) == errkind.Overloaded {
			return o.refuse()
		}
		if rt.lead && !o.await(v, retryPause) || !clock.Now().Before(o.deadline) || o.ctx.Err() != nil {
			return o.refuse()
		}
		o.gateway.meters.retries.Inc(1)
	}
}

// note records why an attempt was not made or had no result.
func (o *operation) note(err error) { o.last = err }

// refuse answers that the statement was not run.
func (o *operation) refuse() statement.Answer {
	if o.last == nil {
		o.last = errkind.New(errkind.DeadlineExceeded, "the statement timeout passed")
	}
	return o.session.refuse(o.last)
}

// open obtains a slot and a connection for new work.
func (o *operation) open(rt route) (*link, schedule.Slot, error) {
	m := rt.member
	o.member = m
	left := o.deadline.Sub(clock.Now())
	ctx, cancel := context.WithTimeout(o.ctx, left)
	defer cancel()
	begun := time.Now()
	// What starts too late to be answered wastes its slot, and the outcome of a
	// write would be unknown. Half of the time is always left to start, so that
	// a server whose answers became slow is still tried.
	start := left - min(answerReserve*m.expected(), left/2)
	startCtx, cancelStart := context.WithTimeout(ctx, start)
	defer cancelStart()
	slot, err := m.sched.Acquire(startCtx, rankName(o.db.Rank), begun.Add(start))
	o.waited += time.Since(begun)
	o.gateway.meters.wait.Update(int64(time.Since(begun)))
	if err != nil {
		return nil, slot, err
	}
	expected := o.session.expected(o.shape)
	l, err := m.pool.get(ctx, o.db.Rank, expected)
	if err == nil {
		if err = l.adapt(o.wallDeadline(), expected); err != nil {
			m.pool.drop(l)
		}
	}
	if err != nil {
		m.sched.Release(slot)
		if errkind.Of(err) == errkind.ConnectFailed && o.ctx.Err() == nil {
			o.failed(rt, err)
		}
		return nil, slot, err
	}
	return l, slot, nil
}

// wallDeadline returns the deadline on the clock of connections.
func (o *operation) wallDeadline() time.Time { return time.Now().Add(o.deadline.Sub(clock.Now())) }

// failed records a server that could not be reached or did not answer.
func (o *operation) failed(rt route, err error) {
	first, quiet := rt.member.failed(err)
	if !quiet {
		// Closing the other connections as well would cost a busy server a
		// slot for each that is opened again.
		return
	}
	if first {
		o.gateway.opts.Events.Event("server_failing").Str("server", rt.member.server.ID).Str("group", o.db.Group).
			Str("request", o.request.ID).Err(err).Msg("the server does not answer")
	}
	if gv := o.gateway.view.Load().groups[o.db.Group]; gv != nil && gv.primary == rt.member {
		o.gateway.raise()
	}
	rt.member.pool.retire()
}

// attempt sends a statement outside of a transaction. again tells that it did
// not run and may be sent once more; o.last then says why.
func (o *operation) attempt(rt route) (a statement.Answer, again bool) {
	var u *use
	if rt.lead {
		var err error
		if u, err = rt.group.enter(rt.generation); err != nil {
			o.note(err)
			return a, true
		}
	}
	valid := true
	finish := func() {
		if u != nil {
			valid = u.end() && o.gateway.leased()
		}
	}
	l, slot, err := o.open(rt)
	if err != nil {
		finish()
		o.note(err)
		o.tried[rt.member] = true
		return a, true
	}
	if u != nil && !u.attach(l) || rt.lead && !o.gateway.leased() {
		finish()
		rt.member.pool.put(l)
		rt.member.sched.Release(slot)
		o.note(errkind.New(errkind.NoPrimary, "the primary of group %q is being changed", rt.group.name))
		return a, true
	}
	r := o.request
	if o.read {
		r.After = rt.after
	}
	o.attempts++
	sent, begun := clock.Now(), time.Now()
	rt.member.sending()
	a, err = l.do(o.patience(rt), r)
	rt.member.ended(err == nil)
	took := time.Since(begun)
	finish()
	rt.member.sched.Release(slot)
	if err != nil {
		rt.member.pool.drop(l)
		o.failed(rt, err)
		return o.unanswered(rt, err)
	}
	o.gateway.meters.server.Update(int64(took))
	rt.member.succeeded(took, a.Position)
	if a.State != statement.Idle {
		rt.member.pool.drop(l)
	} else {
		rt.member.pool.put(l)
	}
	return o.judge(rt, a, sent, valid)
}

// patience returns when the wait for an answer ends. A read can be sent to
// another server, so it does not wait for the whole timeout.
func (o *operation) patience(rt route) time.Time {
	if o.read && !rt.lead {
		end := o.started.Add(time.Duration(readPatience * float64(o.db.StatementTimeout)))
		if left := end.Sub(clock.Now()); left > 0 && o.attempts == 1 {
			return time.Now().Add(left)
		}
	}
	return o.wallDeadline()
}

// unanswered handles a statement without an answer. A read changed nothing.
func (o *operation) unanswered(rt route, err error) (statement.Answer, bool) {
	o.tried[rt.member] = true
	if o.read || errkind.Of(err) == errkind.ConnectFailed {
		o.note(errkind.Wrap(errkind.ConnectFailed, err, "server %s did not answer", rt.member.server.ID))
		return statement.Answer{}, true
	}
	return o.session.refuse(errkind.Wrap(errkind.OutcomeUnknown, err, "server %s did not answer a write", rt.member.server.ID)), false
}

// judge turns the answer of a server into the answer for the caller.
func (o *operation) judge(rt route, a statement.Answer, sent time.Time, valid bool) (statement.Answer, bool) {
	if a.Failure != nil {
		return o.judgeFailure(rt, a)
	}
	switch {
	case !valid && o.read:
		o.note(errkind.New(errkind.NoPrimary, "the primary of group %q changed during the read", o.db.Group))
		return a, true
	case !valid:
		return o.session.refuse(errkind.New(errkind.OutcomeUnknown, "the primary of group %q changed during the write", o.db.Group)), false
	}
	o.learn(rt, a, sent)
	a.State = o.session.state()
	return a, false
}

// learn takes over the position that came with an answer.
func (o *operation) learn(rt route, a statement.Answer, sent time.Time) {
	s := o.session
	if !rt.lead {
		o.gateway.meters.replicas.Inc(1)
		if rt.after != (logpos.Position{}) {
			rt.member.caughtUp()
		}
		return
	}
	o.gateway.meters.primaries.Inc(1)
	rt.group.sample(rt.generation, sent, a.Position)
	switch {
	case !o.read:
		s.token = s.token.Max(a.Position)
	case s.token.Term < a.Position.Term && s.token != (logpos.Position{}):
		// The token may name a commit that the successor never received. What
		// is left of it lies before the present position.
		s.token = a.Position
	}
}

// judgeFailure decides on an error of a server that did not run the statement.
func (o *operation) judgeFailure(rt route, a statement.Answer) (statement.Answer, bool) {
	f := a.Failure
	err := errkind.New(f.Kind, "server %s: %s %s", rt.member.server.ID, f.Code, f.Detail)
	switch f.Kind {
	case errkind.PositionNotReached:
		rt.member.behind()
		o.tried[rt.member] = true
	case errkind.Overloaded:
		o.tried[rt.member] = true
		// The server's queue is full, which is over sooner than its statements.
		o.sleep(retryPause)
		err = errkind.New(errkind.NoMember, "server %s: %s %s", rt.member.server.ID, f.Code, f.Detail)
	case errkind.ReadOnlyMember:
		if o.read {
			break
		}
		o.sleep(2 * retryPause) // the directory is about to name another primary
	case errkind.ConnectFailed:
	default:
		a.State = o.session.state()
		return a, false
	}
	o.note(err)
	return a, true
}

func (o *operation) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.ctx.Done():
	}
}

// finish logs and counts the result.
func (o *operation) finish(a *statement.Answer) {
	took := clock.Now().Sub(o.started)
	kind := resultKind(a)
	o.gateway.meters.count(o.db.Rank, kind, took)
	e := o.gateway.opts.Events.Sample("statement_done")
	if kind != errkind.OK {
		e = o.gateway.opts.Events.Event("statement_failed")
	}
	if e == nil {
		return
	}
	v := o.gateway.view.Load()
	e = e.Str("request", o.request.ID).Str("database", o.session.name).Str("group", o.db.Group).Stringer("statement", o.request.Kind).
		Int("rank", o.db.Rank).Int("attempts", o.attempts).Dur("took_ms", took).Dur("queued_ms", o.waited).
		Uint64("config_version", v.cfg.Version).Uint64("state_version", v.state.Version).
		Dur("lease_left_ms", o.gateway.leaseLeft()).Str("outcome", string(kind))
	if o.member != nil {
		open, idle := o.member.pool.size()
		e = e.Str("server", o.member.server.ID).Int("connections", open).Int("idle", idle).Dur("server_answered_ago_ms", o.member.answeredAgo(clock.Now()))
	}
	if gv := v.groups[o.db.Group]; gv != nil {
		e = e.Uint64("generation", gv.generation).Bool("switching", gv.switching)
	}
	if a.Failure != nil {
		e = e.Str("code", a.Failure.Code).Str("detail", a.Failure.Detail)
	}
	e.Msg("statement")
}
