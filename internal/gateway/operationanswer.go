package gateway

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// answerDeadline returns when to stop waiting for an answer. If any server may run
// a read, its first attempt ends before the statement timeout, so that the read
// can be sent to another server.
func (o *operation) answerDeadline(rt route) time.Time {
	if o.isRead && !rt.needsPrimary {
		end := o.started.Add(time.Duration(readRetryFraction * float64(o.db.StatementTimeout)))
		if left := end.Sub(clock.Now()); left > 0 && o.attempts == 1 {
			return time.Now().Add(left)
		}
	}
	return o.wallDeadline()
}

// handleNoAnswer handles a statement that the server did not answer. It returns
// the answer for the caller, and whether to retry instead: a read has no effect,
// so it may be retried.
func (o *operation) handleNoAnswer(rt route, err error) (statement.Answer, bool) {
	o.tried[rt.member] = true
	if o.isRead || errkind.Of(err) == errkind.ConnectFailed {
		o.recordError(errkind.Wrap(errkind.ConnectFailed, err, "server %s did not answer", rt.member.server.ID))
		return statement.Answer{}, true
	}
	return o.session.failureAnswer(errkind.Wrap(errkind.OutcomeUnknown, err, "server %s did not answer a write", rt.member.server.ID)), false
}

// refuseAnswer returns the answer for the caller if the answer of the server was
// refused. Only a read may be reported as not run: it has no effect.
func (o *operation) refuseAnswer(err error) statement.Answer {
	if o.isRead {
		return o.session.failureAnswer(err)
	}
	return o.session.failureAnswer(errkind.Wrap(errkind.AnswerTooLarge, err, "the answer was not read"))
}

// handleAnswer converts the answer of a server to the answer for the caller. The
// second result reports whether to retry the statement instead. valid reports
// whether the primary use and the lease were still valid when the answer arrived.
func (o *operation) handleAnswer(rt route, a statement.Answer, valid bool) (statement.Answer, bool) {
	if a.Failure != nil {
		return o.handleFailure(rt, a)
	}
	switch {
	case !valid && o.isRead:
		o.recordError(errkind.New(errkind.NoPrimary, "the primary of group %q changed during the read", o.db.Group))
		return a, true
	case !valid:
		return o.session.failureAnswer(errkind.New(errkind.OutcomeUnknown, "the primary of group %q changed during the write", o.db.Group)), false
	}
	o.recordSuccess(rt, a)
	a.State = o.session.state()
	return a, false
}

// finishUse ends a use of a primary, which is nil for a replica, with its answer. It
// reports whether the answer may be returned to the caller.
func (o *operation) finishUse(u *primaryUse, sent time.Time, a statement.Answer) bool {
	switch {
	case u == nil:
		return true
	case !o.gateway.hasLease():
		u.abandon()
		return false
	case a.Failure != nil:
		a.Position = logpos.Position{}
	}
	return u.finish(sent, a.Position)
}

// recordSuccess updates the token of the session with the log position that was
// returned with an answer, and counts the statement.
func (o *operation) recordSuccess(rt route, a statement.Answer) {
	s := o.session
	if !rt.needsPrimary {
		o.gateway.metrics.replicaReads.Inc(1)
		if rt.minPosition != (logpos.Position{}) {
			rt.member.recordCaughtUp()
		}
		return
	}
	o.gateway.metrics.primaryStatements.Inc(1)
	switch {
	case !o.isRead:
		s.token = s.token.Max(a.Position)
	case s.token.Term < a.Position.Term && s.token != (logpos.Position{}):
		// The token may include commits that the new primary never received.
		// Those that it did receive lie before its current position.
		s.token = a.Position
	}
}

// handleFailure handles an error reported by a server. The second result reports
// whether to retry the statement instead of returning the answer.
func (o *operation) handleFailure(rt route, a statement.Answer) (statement.Answer, bool) {
	f := a.Failure
	err := errkind.New(f.Kind, "server %s: %s %s", rt.member.server.ID, f.Code, f.Detail)
	switch f.Kind {
	case errkind.PositionNotReached:
		rt.member.recordLag()
		o.tried[rt.member] = true
	case errkind.Overloaded:
		o.tried[rt.member] = true
		// The server's queue is full, but has room again sooner than a statement
		// ends. The kind NoMember lets executeSingle retry at a primary too.
		o.sleep(retryPause)
		err = errkind.New(errkind.NoMember, "server %s: %s %s", rt.member.server.ID, f.Code, f.Detail)
	case errkind.ReadOnlyMember:
		if o.isRead {
			break
		}
		o.sleep(2 * retryPause) // the directory is about to announce another primary
	case errkind.ConnectFailed:
	default:
		a.State = o.session.state()
		return a, false
	}
	o.recordError(err)
	return a, true
}

// recordResult logs and counts the result of the statement.
func (o *operation) recordResult(a *statement.Answer) {
	took := clock.Now().Sub(o.started)
	kind := resultKind(a)
	v := o.gateway.view.Load()
	o.gateway.metrics.count(v.ranks.Lowest(o.db.Rank), kind, took)
	o.gateway.metrics.customers.countResult(o.session.identity.customer, kind, a.Failure != nil && a.Failure.Code != "")
	e := o.gateway.opts.Events.Sample("statement_done")
	if kind != errkind.OK {
		e = o.gateway.opts.Events.Event("statement_failed")
	}
	if e == nil {
		return
	}
	e = e.Str("request", o.request.ID).Str("database", o.session.name).Str("group", o.db.Group).Stringer("statement", o.request.Kind).
		Int("rank", o.db.Rank).Int("attempts", o.attempts).Dur("took_ms", took).Dur("queued_ms", o.queued).
		Uint64("config_version", v.cfg.Version).Uint64("state_version", v.state.Version).
		Dur("lease_left_ms", o.gateway.leaseLeft()).Str("outcome", string(kind))
	if o.member != nil {
		open, idle := o.member.pool.size()
		e = e.Str("server", o.member.server.ID).Int("connections", open).Int("idle", idle).Dur("server_answered_ago_ms", o.member.sinceLastAnswer(clock.Now()))
	}
	e = withOrigin(e, o.request.Origin)
	if src := a.Source; src.Connection != "" {
		e = e.Str("connection", src.Connection).Uint64("answer", src.Number).Str("basis", string(src.Basis)).Str("receipt", a.Receipt)
	}
	if customer := o.session.identity.customer; customer != "" {
		e = e.Str("customer", customer)
	}
	if gv := v.groups[o.db.Group]; gv != nil {
		e = e.Uint64("generation", gv.generation).Bool("switching", gv.switching)
	}
	if a.Failure != nil {
		e = e.Str("code", a.Failure.Code).Str("detail", a.Failure.Detail)
	}
	e.Msg("statement finished")
}
