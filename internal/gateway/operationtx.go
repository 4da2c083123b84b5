package gateway

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// bind begins the transaction of the session at a server. If that fails it marks
// the transaction as failed and returns the answer for the caller; otherwise it
// returns nil.
func (o *operation) bind() *statement.Answer {
	t := o.session.tx
	nextRoute := o.primaryRoute
	if t.begin.ReadOnly {
		nextRoute = o.readRoute
	}
	for {
		v := o.gateway.view.Load()
		rt, err := o.authorizedRoute(nextRoute)
		if err == nil {
			if err = o.admit(); err != nil {
				o.recordError(err)
				t.fail()
				a := o.refuse()
				return &a
			}
			if err = o.beginAt(rt); err == nil {
				return nil
			}
		}
		o.recordError(err)
		if o.attempts >= maxAttempts || errkind.Of(err) == errkind.Denied || errkind.Of(err) == errkind.BadRequest || o.preferOtherHost(err) || errkind.Of(err) == errkind.Overloaded || !o.awaitView(v, retryPause) {
			t.fail()
			a := o.refuse()
			return &a
		}
	}
}

// beginAt sends BEGIN to a server and binds the transaction to the connection.
func (o *operation) beginAt(rt route) error {
	t := o.session.tx
	var u *primaryUse
	if rt.needsPrimary {
		var err error
		if u, err = rt.group.beginUse(rt.generation); err != nil {
			return err
		}
	}
	pc, slot, err := o.acquire(rt)
	if err != nil {
		u.abandon()
		o.tried[rt.member] = true
		return err
	}
	// The slot is held only for BEGIN. Later statements of the transaction bypass
	// the queue, because it holds a connection until it ends.
	defer rt.member.release(slot, pc)
	err = o.sendBegin(rt, u, pc)
	if unattributed(err) {
		if pc, err = rt.member.reopen(o.ctx, o.wallDeadline(), pc, o.session.requiredState(o.preparedStmt)); err == nil {
			err = o.sendBegin(rt, u, pc)
		}
	}
	if err != nil {
		u.abandon()
		if pc != nil {
			rt.member.pool.drop(pc)
		}
		o.tried[rt.member] = true
		return err
	}
	t.db, t.member, t.conn, t.primaryUse = o.db, rt.member, pc, u
	return nil
}

// sendBegin sends BEGIN and checks that the server has opened the transaction.
func (o *operation) sendBegin(rt route, u *primaryUse, pc *pooledConn) error {
	if u != nil && !u.attach(pc) || rt.needsPrimary && !o.gateway.hasLease() {
		return errkind.New(errkind.NoPrimary, "the primary of group %q is being changed", rt.group.name)
	}
	if err := o.maySend(); err != nil {
		return err
	}
	r := o.session.tx.begin
	r.ID, r.After = "", rt.minPosition
	o.attempts++
	sent, begun := clock.Now(), time.Now()
	rt.member.startStatement()
	a, err := pc.do(o.wallDeadline(), r)
	o.recordSend(pc, err)
	rt.member.endStatement(err == nil)
	if pc.refusedByConnector(err) {
		return err
	}
	if err != nil {
		o.recordFailure(rt, err)
		return errkind.Wrap(errkind.ConnectFailed, err, "server %s did not begin the transaction", rt.member.server.ID)
	}
	rt.member.recordAnswer(time.Since(begun), a.Position)
	if f := a.Failure; f != nil {
		if f.Kind == errkind.PositionNotReached {
			rt.member.recordLag()
		}
		return errkind.New(f.Kind, "server %s: %s %s", rt.member.server.ID, f.Code, f.Detail)
	}
	if a.State != statement.Open {
		return errkind.New(errkind.ConnectFailed, "server %s did not open a transaction", rt.member.server.ID)
	}
	if u != nil && o.gateway.hasLease() {
		u.observe(sent, a.Position)
	}
	return nil
}

// executeInTransaction sends a statement of an open transaction.
func (o *operation) executeInTransaction() statement.Answer {
	s := o.session
	t := s.tx
	o.member = t.member
	if t.primaryUse != nil && (!t.primaryUse.resume() || !o.gateway.hasLease()) {
		t.fail()
		return s.failureAnswer(errkind.New(errkind.TransactionLost, "the primary of group %q is being changed", o.db.Group))
	}
	if err := o.mayRun(); err != nil {
		return o.endUnauthorized(err)
	}
	if o.request.Kind != statement.Commit {
		if err := t.conn.adapt(o.wallDeadline(), s.requiredState(o.preparedStmt)); err != nil {
			o.dropTransaction()
			if errkind.Of(err) == errkind.BadRequest {
				return s.failureAnswer(err)
			}
			return s.failureAnswer(errkind.Wrap(errkind.TransactionLost, err, "the connection of the transaction was lost"))
		}
		if err := o.mayRun(); err != nil {
			return o.endUnauthorized(err)
		}
		t.wrote = t.wrote || !o.isRead
	}
	o.attempts++
	sent, begun := clock.Now(), time.Now()
	t.member.startStatement()
	a, err := t.conn.do(o.wallDeadline(), o.request)
	for err == nil && o.canResendBusy(a) {
		o.sleep(retryPause)
		if denied := o.mayRun(); denied != nil {
			t.member.endStatement(true)
			return o.endUnauthorized(denied)
		}
		o.attempts++
		a, err = t.conn.do(o.wallDeadline(), o.request)
	}
	t.member.endStatement(err == nil || t.conn.refusedAnswer(err))
	if err != nil {
		return o.handleLostTransaction(err)
	}
	took := time.Since(begun)
	o.gateway.metrics.serverTime.Update(int64(took))
	t.member.recordAnswer(took, a.Position)
	if o.request.Kind == statement.Commit {
		return o.finishCommit(a, sent)
	}
	if t.primaryUse != nil && (!t.primaryUse.pause() || !o.gateway.hasLease()) {
		o.dropTransaction()
		return s.failureAnswer(errkind.New(errkind.TransactionLost, "the primary of group %q has changed", o.db.Group))
	}
	if a.State == statement.Idle {
		o.dropTransaction()
		return s.failureAnswer(errkind.New(errkind.TransactionLost, "the server ended the transaction"))
	}
	if a.Failure != nil && a.State == statement.Failed {
		t.fail()
	}
	a.State = s.state()
	return a
}

// canResendBusy reports whether a statement of a transaction may be sent again,
// because the server refused it as overloaded and time remains. A COMMIT of writes is not:
// a second refusal could not be told from a copy of the first one, so that its outcome
// would be unknown.
func (o *operation) canResendBusy(a statement.Answer) bool {
	return !(o.request.Kind == statement.Commit && o.session.tx.wrote) && a.Failure != nil && a.Failure.Kind == errkind.Overloaded && a.State == statement.Open &&
		o.attempts < maxAttempts && clock.Now().Add(retryPause).Before(o.deadline)
}

// dropTransaction closes the connection of the transaction, so that the server
// rolls it back.
func (o *operation) dropTransaction() {
	t := o.session.tx
	m, pc := t.detachUnfinished()
	m.pool.drop(pc)
	t.failed = true
	o.gateway.metrics.abortedTransactions.Inc(1)
}

// handleLostTransaction returns the answer for the caller if the server did not
// answer a statement of the transaction. Unless a COMMIT was sent, the transaction
// has no effect.
func (o *operation) handleLostTransaction(err error) statement.Answer {
	s := o.session
	t := s.tx
	gv := o.gateway.view.Load().groups[o.db.Group]
	if gv != nil && !t.conn.aborted.Load() && !t.conn.refusedAnswer(err) {
		o.recordFailure(route{member: t.member, group: gv.group}, err)
	}
	wrote, commit := t.wrote, o.request.Kind == statement.Commit
	o.dropTransaction()
	if !commit {
		return s.failureAnswer(errkind.Wrap(errkind.TransactionLost, err, "the connection of the transaction was lost"))
	}
	s.tx = nil
	if !wrote || errkind.Of(err) == errkind.ConnectFailed {
		return s.failureAnswer(errkind.Wrap(errkind.TransactionLost, err, "the transaction was not committed"))
	}
	return s.failureAnswer(errkind.Wrap(errkind.OutcomeUnknown, err, "server did not answer the COMMIT"))
}

// finishCommit ends the transaction after the answer to a COMMIT.
func (o *operation) finishCommit(a statement.Answer, sent time.Time) statement.Answer {
	s := o.session
	t := s.tx
	s.tx = nil
	m, pc, u := t.detach()
	valid := o.finishUse(u, sent, a)
	if a.State == statement.Idle {
		m.pool.put(pc)
	} else {
		m.pool.drop(pc)
	}
	if a.Failure != nil {
		a.State = s.state()
		return a
	}
	if !valid {
		kind := errkind.TransactionLost
		if t.wrote {
			kind = errkind.OutcomeUnknown
		}
		return s.failureAnswer(errkind.New(kind, "the primary of group %q changed during the commit", o.db.Group))
	}
	if u != nil && t.wrote {
		s.token = s.token.Max(a.Position)
	}
	a.State = s.state()
	return a
}
