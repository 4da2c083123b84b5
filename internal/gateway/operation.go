package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

const (
	// retryPause is the pause before a statement that did not run is sent to the
	// same server again. It is about the time in which a slot of a busy server
	// becomes free.
	retryPause = 15 * time.Millisecond
	// maxAttempts bounds how often one statement is sent.
	maxAttempts = 6
	// primaryLostAfter is how long a primary must have failed from this host, with
	// no switch in progress, before statements are refused at once: the caller can
	// then try another host, which may still reach it.
	primaryLostAfter = 1500 * time.Millisecond
	// answerReserveFactor is the part of the statement timeout that is reserved
	// for the answer, as a multiple of its expected time. Statements that would
	// start later are refused. Below 3, half of the answers of an overloaded
	// server came too late.
	answerReserveFactor = 3
	// readRetryFraction is the fraction of the statement timeout after which an
	// unanswered read is sent to another server.
	readRetryFraction = 0.75
)

// operation is the execution of one statement over all its attempts.
type operation struct {
	meter        limit.Meter // counts the answer while it is read
	session      *Session
	gateway      *Gateway
	ctx          context.Context
	request      statement.Request
	db           database.Database
	preparedStmt *preparedStatement // for statement.Execute
	isRead       bool
	started      time.Time // on clock.Now
	deadline     time.Time // on clock.Now

	admission Admission // valid if admitted is set
	admitted  bool
	sent      bool // a server may have received the statement, or BEGIN

	attempts int              // how often the statement, or BEGIN, was sent
	tried    map[*member]bool // servers that chooseForRead skips
	lastErr  error
	member   *member       // of the last attempt
	queued   time.Duration // total wait for slots
}

// execute runs the statement and returns the answer to the caller.
func (o *operation) execute() statement.Answer {
	defer o.refundUnsent()
	s := o.session
	switch {
	case s.tx == nil && o.isRead:
		return o.executeSingle(o.readRoute)
	case s.tx == nil:
		return o.executeSingle(o.primaryRoute)
	case o.request.Kind == statement.Commit && s.tx.failed:
		s.tx = nil
		return s.failureAnswer(errkind.New(errkind.TransactionLost, "the transaction had failed and was rolled back"))
	case !s.tx.bound():
		if a := o.bind(); a != nil {
			return *a
		}
	}
	return o.executeInTransaction()
}

// admissionUsable reports whether the operation may be sent. If its admission has
// become invalid before anything was sent, it is refunded; the next attempt needs
// another one.
func (o *operation) admissionUsable() bool {
	if !o.admitted || o.sent || o.admission.usable() {
		return true
	}
	o.refundUnsent()
	return false
}

// route is the destination of an attempt.
type route struct {
	member       *member
	group        *group
	generation   uint64
	needsPrimary bool            // member must be the primary, and the host needs a valid lease
	minPosition  logpos.Position // position that member must have applied; zero if needsPrimary
}

// readRoute returns the next route of a read outside of a transaction, or of a
// read-only transaction.
func (o *operation) readRoute() (route, error) {
	v := o.gateway.view.Load()
	gv := v.groups[o.db.Group]
	if gv == nil {
		return route{}, errkind.New(errkind.NoMember, "no server of group %q is known", o.db.Group)
	}
	if readsAtPrimary(o.db) {
		return o.primaryRoute()
	}
	after, ok := gv.group.requiredPosition(o.db.MaxStaleness)
	if !ok {
		rt, err := o.primaryRoute()
		if err == nil && !gv.group.claimSample() {
			err = errkind.New(errkind.PositionNotReached, "waiting for a recent log position of the primary of group %q", o.db.Group)
		}
		return rt, err
	}
	if o.db.Consistency == database.Session {
		after = after.Max(o.session.token)
	}
	m := gv.chooseForRead(o.tried, clock.Now())
	if m == nil {
		clear(o.tried)
		return route{}, errkind.New(errkind.NoMember, "all servers of group %q were tried or are draining", o.db.Group)
	}
	if m == gv.primary && gv.primaryUsable() && o.gateway.hasLease() {
		return route{member: m, group: gv.group, generation: gv.generation, needsPrimary: true}, nil
	}
	return route{member: m, group: gv.group, generation: gv.generation, minPosition: after}, nil
}

// primaryRoute returns the route to the primary, if this host may use it.
func (o *operation) primaryRoute() (route, error) {
	v := o.gateway.view.Load()
	gv := v.groups[o.db.Group]
	switch {
	case !o.gateway.hasLease():
		return route{}, errkind.New(errkind.ConfigStale, "the lease of this host has run out")
	case !gv.primaryUsable():
		return route{}, errkind.New(errkind.NoPrimary, "group %q has no primary at present", o.db.Group)
	}
	return route{member: gv.primary, group: gv.group, generation: gv.generation, needsPrimary: true}, nil
}

// preferOtherHost reports whether to refuse the statement at once, because this
// host is unlikely to run it in time and another host may.
func (o *operation) preferOtherHost(err error) bool {
	if errkind.Of(err) == errkind.ConfigStale {
		return o.gateway.CutOff()
	}
	gv := o.gateway.view.Load().groups[o.db.Group]
	return gv != nil && gv.primary != nil && !gv.switching && gv.primary.failingFor(clock.Now()) > primaryLostAfter &&
		(readsAtPrimary(o.db) || !o.isRead)
}

// awaitView waits for a view newer than v, for at most d. It returns false if the
// statement's deadline has passed or the caller has disconnected.
func (o *operation) awaitView(v *view, d time.Duration) bool {
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

// authorizedRoute returns the next route if the key of the session permits it and this
// host knows how to reach the server.
func (o *operation) authorizedRoute(nextRoute func() (route, error)) (route, error) {
	if err := o.gateway.authorize(o.session.identity, o.session.name); err != nil {
		return route{}, err
	}
	rt, err := nextRoute()
	if err == nil && rt.member.awaitsConnectors() {
		return route{}, errkind.New(errkind.NoMember, "the connectors of server %s are not known yet", rt.member.server.ID)
	}
	return rt, err
}

// executeSingle runs a statement outside of a transaction.
func (o *operation) executeSingle(nextRoute func() (route, error)) statement.Answer {
	for {
		v := o.gateway.view.Load()
		rt, err := o.authorizedRoute(nextRoute)
		if errkind.Of(err) == errkind.Denied {
			o.recordError(err)
			return o.refuse()
		}
		if err != nil {
			if errkind.Of(err) == errkind.NoMember && errkind.Of(o.lastErr) == errkind.Overloaded {
				return o.refuse() // all servers refuse statements because of their queues; waiting does not help
			}
			o.recordError(err)
			if o.preferOtherHost(err) || !o.awaitView(v, retryPause) {
				return o.refuse()
			}
			continue
		}
		if err := o.admit(); err != nil {
			o.recordError(err)
			return o.refuse()
		}
		a, retry := o.attempt(rt)
		if !retry {
			return a
		}
		if o.attempts >= maxAttempts || errkind.Of(o.lastErr) == errkind.Denied || o.preferOtherHost(o.lastErr) || rt.needsPrimary && errkind.Of(o.lastErr) == errkind.Overloaded {
			return o.refuse()
		}
		if rt.needsPrimary && !o.awaitView(v, retryPause) || !clock.Now().Before(o.deadline) || o.ctx.Err() != nil {
			return o.refuse()
		}
		o.gateway.metrics.retries.Inc(1)
	}
}

// recordError records why an attempt was not made or had no result.
func (o *operation) recordError(err error) { o.lastErr = err }

// refuse returns the answer that the statement was not run, with the last error.
func (o *operation) refuse() statement.Answer {
	if o.lastErr == nil {
		o.lastErr = errkind.New(errkind.DeadlineExceeded, "the statement timeout passed")
	}
	return o.session.failureAnswer(o.lastErr)
}

// acquire obtains a slot and a connection for a statement outside of a
// transaction, or for BEGIN.
func (o *operation) acquire(rt route) (*pooledConn, schedule.Slot, error) {
	m := rt.member
	o.member = m
	left := o.deadline.Sub(clock.Now())
	ctx, cancel := context.WithTimeout(o.ctx, left)
	defer cancel()
	begun := time.Now()
	// A statement that starts too late to be answered in time wastes its slot, and
	// leaves the outcome of a write unknown. At least half of the remaining time
	// may be spent waiting, so that a server that has become slow is still tried.
	startWithin := left - min(answerReserveFactor*m.expectedAnswerTime(), left/2)
	startCtx, cancelStart := context.WithTimeout(ctx, startWithin)
	defer cancelStart()
	relayed := m.relays(o.session.identity.customer)
	slot, err := m.scheduler(relayed).Acquire(startCtx, o.gateway.view.Load().ranks.Name(o.db.Rank), o.session.identity.customer, begun.Add(startWithin))
	o.queued += time.Since(begun)
	o.gateway.metrics.queueWait.Update(int64(time.Since(begun)))
	if err != nil {
		return nil, slot, err
	}
	required := o.session.requiredState(o.preparedStmt)
	pc, err := m.connection(ctx, relayed, o.db.Rank, o.session.identity.customer, required)
	if err == nil {
		if err = o.mayRun(); err != nil {
			m.pool.put(pc)
		} else if err = pc.adapt(o.wallDeadline(), required); err != nil {
			m.pool.drop(pc)
		}
	}
	if err != nil {
		m.scheduler(relayed).Release(slot)
		if errkind.Of(err) == errkind.ConnectFailed && o.ctx.Err() == nil {
			o.recordFailure(rt, err)
		}
		return nil, slot, err
	}
	return pc, slot, nil
}

// wallDeadline converts the deadline from clock.Now to time.Now, which
// connections use.
func (o *operation) wallDeadline() time.Time { return time.Now().Add(o.deadline.Sub(clock.Now())) }

// recordFailure records that a server could not be reached or did not answer. If
// the server is unresponsive, it closes the idle connections and, for a primary,
// signals Gateway.PrimaryFailing.
func (o *operation) recordFailure(rt route, err error) {
	if !connectorFailed(err) {
		o.gateway.recordFailure(rt.member, o.request.ID, err)
	}
}

// recordFailure is operation.recordFailure for a server.
func (g *Gateway) recordFailure(m *member, request string, err error) {
	if unattributed(err) {
		g.metrics.answersRejected.Inc(1)
		g.opts.Events.Event("answer_rejected").Str("server", m.server.ID).Str("request", request).Err(err).Msg("an answer can't be attributed to its statement")
		return
	}
	if errors.Is(err, errStateRefused) {
		return
	}
	first, unresponsive := m.recordFailure(err)
	if !unresponsive {
		// Keep the other connections: each that is reopened would occupy a slot
		// of a busy server.
		return
	}
	if first {
		g.opts.Events.Event("server_failing").Str("server", m.server.ID).Str("group", m.server.Group).
			Str("request", request).Err(err).Msg("backend server does not answer")
	}
	if gv := g.view.Load().groups[m.server.Group]; gv != nil && gv.primary == m {
		g.signalPrimaryFailing()
	}
	m.pool.closeIdle()
}

// attempt sends a statement outside of a transaction. retry reports whether the
// statement may be sent again, because it did not run or is a read without a
// valid answer; o.lastErr is then the cause.
func (o *operation) attempt(rt route) (a statement.Answer, retry bool) {
	var u *primaryUse
	if rt.needsPrimary {
		var err error
		if u, err = rt.group.beginUse(rt.generation); err != nil {
			o.recordError(err)
			return a, true
		}
	}
	pc, slot, err := o.acquire(rt)
	if err != nil {
		u.abandon()
		o.recordError(err)
		o.tried[rt.member] = true
		if errkind.Of(err) == errkind.BadRequest {
			return o.refuse(), false
		}
		return a, true
	}
	if u != nil && (!u.attach(pc) || !o.gateway.hasLease()) {
		u.abandon()
		rt.member.pool.put(pc)
		rt.member.release(slot, pc)
		o.recordError(errkind.New(errkind.NoPrimary, "the primary of group %q is being changed", rt.group.name))
		return a, true
	}
	if err := o.maySend(); err != nil {
		u.abandon()
		rt.member.pool.put(pc)
		rt.member.release(slot, pc)
		o.recordError(err)
		return a, true
	}
	r := o.request
	if o.isRead {
		r.After = rt.minPosition
	}
	o.attempts++
	sent, begun := clock.Now(), time.Now()
	rt.member.startStatement()
	a, err = pc.do(o.answerDeadline(rt), r)
	o.recordSend(pc, err)
	rt.member.endStatement(err == nil || pc.refusedAnswer(err) || pc.refusedRequest(err))
	took := time.Since(begun)
	valid := err == nil && o.finishUse(u, sent, a)
	// The connection goes back first: the next statement, which gets the slot, would open
	// another one.
	if pc.refusedRequest(err) || err == nil && a.State == statement.Idle {
		rt.member.pool.put(pc)
	} else {
		rt.member.pool.drop(pc)
	}
	rt.member.release(slot, pc)
	if pc.refusedRequest(err) {
		u.abandon()
		return o.session.failureAnswer(err), false
	}
	if err != nil {
		u.abandon()
		if pc.refusedAnswer(err) {
			return o.refuseAnswer(err), false
		}
		if errkind.Of(err) == errkind.BadRequest { // nothing was sent, and no other connection can send it
			return o.session.failureAnswer(err), false
		}
		if pc.refusedByConnector(err) {
			o.recordError(err)
			o.tried[rt.member] = true
			return a, true
		}
		o.recordFailure(rt, err)
		return o.handleNoAnswer(rt, err)
	}
	o.gateway.metrics.serverTime.Update(int64(took))
	rt.member.recordAnswer(took, a.Position)
	return o.handleAnswer(rt, a, valid)
}

// sleep pauses for d or until the caller disconnects.
func (o *operation) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.ctx.Done():
	}
}
