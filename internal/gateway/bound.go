package gateway

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// bind begins the transaction of the session at a server. It returns an answer
// if that failed; the transaction has then failed as well.
func (o *operation) bind() *statement.Answer {
	t := o.session.tx
	next := o.primaryRoute
	if t.begin.ReadOnly {
		next = o.readRoute
	}
	for {
		v := o.gateway.view.Load()
		rt, err := next()
		if err == nil {
			if err = o.beginAt(rt); err == nil {
				return nil
			}
		}
		o.note(err)
		if o.attempts >= maxAttempts || o.betterElsewhere(err) || errkind.Of(err) == errkind.Overloaded || !o.await(v, retryPause) {
			t.fail()
			a := o.refuse()
			return &a
		}
	}
}

// beginAt sends BEGIN to a server and binds the transaction to the connection.
func (o *operation) beginAt(rt route) error {
	t := o.session.tx
	var u *use
	if rt.lead {
		var err error
		if u, err = rt.group.enter(rt.generation); err != nil {
			return err
		}
	}
	l, slot, err := o.open(rt)
	if err != nil {
		if u != nil {
			u.end()
		}
		o.tried[rt.member] = true
		return err
	}
	// The slot covers the start of the transaction. Its later statements pass
	// the queue, because its connection is held until it ends.
	defer rt.member.sched.Release(slot)
	err = o.sendBegin(rt, u, l)
	if err != nil {
		if u != nil {
			u.end()
		}
		rt.member.pool.drop(l)
		o.tried[rt.member] = true
		return err
	}
	t.db, t.member, t.link, t.use = o.db, rt.member, l, u
	return nil
}

func (o *operation) sendBegin(rt route, u *use, l *link) error {
	if u != nil && !u.attach(l) || rt.lead && !o.gateway.leased() {
		return errkind.New(errkind.NoPrimary, "the primary of group %q is being changed", rt.group.name)
	}
	r := o.session.tx.begin
	r.ID, r.After = "", rt.after
	o.attempts++
	sent, begun := clock.Now(), time.Now()
	rt.member.sending()
	a, err := l.do(o.wallDeadline(), r)
	rt.member.ended(err == nil)
	if err != nil {
		o.failed(rt, err)
		return errkind.Wrap(errkind.ConnectFailed, err, "server %s did not begin the transaction", rt.member.server.ID)
	}
	rt.member.succeeded(time.Since(begun), a.Position)
	if f := a.Failure; f != nil {
		if f.Kind == errkind.PositionNotReached {
			rt.member.behind()
		}
		return errkind.New(f.Kind, "server %s: %s %s", rt.member.server.ID, f.Code, f.Detail)
	}
	if a.State != statement.Open {
		return errkind.New(errkind.ConnectFailed, "server %s did not open a transaction", rt.member.server.ID)
	}
	if rt.lead && o.gateway.leased() {
		rt.group.sample(rt.generation, sent, a.Position)
	}
	return nil
}

// inTransaction sends a statement of an open transaction.
func (o *operation) inTransaction() statement.Answer {
	s := o.session
	t := s.tx
	o.member = t.member
	if t.use != nil && (!t.use.resume() || !o.gateway.leased()) {
		t.fail()
		return s.refuse(errkind.New(errkind.TransactionLost, "the primary of group %q is being changed", o.db.Group))
	}
	if o.request.Kind != statement.Commit {
		if err := t.link.adapt(o.wallDeadline(), s.expected(o.shape)); err != nil {
			o.lose()
			return s.refuse(errkind.Wrap(errkind.TransactionLost, err, "the connection of the transaction was lost"))
		}
		t.wrote = t.wrote || !o.read
	}
	o.attempts++
	sent, begun := clock.Now(), time.Now()
	t.member.sending()
	a, err := t.link.do(o.wallDeadline(), o.request)
	for ; err == nil && o.busy(a); a, err = t.link.do(o.wallDeadline(), o.request) {
		o.sleep(retryPause)
		o.attempts++
	}
	t.member.ended(err == nil)
	if err != nil {
		return o.lostInTransaction(err)
	}
	took := time.Since(begun)
	o.gateway.meters.server.Update(int64(took))
	t.member.succeeded(took, a.Position)
	if o.request.Kind == statement.Commit {
		return o.committed(a, sent)
	}
	if t.use != nil && !t.use.pause() {
		o.lose()
		return s.refuse(errkind.New(errkind.TransactionLost, "the primary of group %q has changed", o.db.Group))
	}
	if a.State == statement.Idle {
		o.lose()
		return s.refuse(errkind.New(errkind.TransactionLost, "the server ended the transaction"))
	}
	if a.Failure != nil && a.State == statement.Failed {
		t.fail()
	}
	a.State = s.state()
	return a
}

// busy reports whether the server did not run a statement of a transaction for
// want of room, so that it may be sent again.
func (o *operation) busy(a statement.Answer) bool {
	return a.Failure != nil && a.Failure.Kind == errkind.Overloaded && a.State == statement.Open &&
		o.attempts < maxAttempts && clock.Now().Add(retryPause).Before(o.deadline)
}

// lose drops the connection of the transaction, which rolls back.
func (o *operation) lose() {
	t := o.session.tx
	m, l, _ := t.detach()
	m.pool.drop(l)
	t.failed = true
	o.gateway.meters.aborted.Inc(1)
}

// lostInTransaction handles a statement without an answer. As long as no
// COMMIT was sent, nothing of the transaction is kept.
func (o *operation) lostInTransaction(err error) statement.Answer {
	s := o.session
	t := s.tx
	gv := o.gateway.view.Load().groups[o.db.Group]
	if gv != nil && !t.link.cut.Load() {
		o.failed(route{member: t.member, group: gv.group}, err)
	}
	wrote, commit := t.wrote, o.request.Kind == statement.Commit
	o.lose()
	if !commit {
		return s.refuse(errkind.Wrap(errkind.TransactionLost, err, "the connection of the transaction was lost"))
	}
	s.tx = nil
	if !wrote || errkind.Of(err) == errkind.ConnectFailed {
		return s.refuse(errkind.Wrap(errkind.TransactionLost, err, "the transaction was not committed"))
	}
	return s.refuse(errkind.Wrap(errkind.OutcomeUnknown, err, "the commit was not answered"))
}

// committed ends the transaction after the answer to a COMMIT.
func (o *operation) committed(a statement.Answer, sent time.Time) statement.Answer {
	s := o.session
	t := s.tx
	s.tx = nil
	use := t.use
	m, l, valid := t.detach()
	if a.State == statement.Idle {
		m.pool.put(l)
	} else {
		m.pool.drop(l)
	}
	valid = valid && (use == nil || o.gateway.leased())
	if a.Failure != nil {
		a.State = s.state()
		return a
	}
	if !valid {
		kind := errkind.TransactionLost
		if t.wrote {
			kind = errkind.OutcomeUnknown
		}
		return s.refuse(errkind.New(kind, "the primary of group %q changed during the commit", o.db.Group))
	}
	if use != nil {
		use.group.sample(use.generation, sent, a.Position)
		if t.wrote {
			s.token = s.token.Max(a.Position)
		}
	}
	a.State = s.state()
	return a
}
