package entry

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// run executes one cycle of the session and returns its answer.
func (s *session) run(ctx context.Context, c caller.Cycle) caller.Answer {
	returned := false
	defer func() {
		if !returned {
			s.entry.opts.Logger.Error().Str("event", "cycle_panicked").Uint64("session", s.number).Uint64("request", s.lastRequestNumber).
				Str("group", s.group.name).Msg("a panic ended the cycle and its session")
		}
	}()
	a := s.runCycle(ctx, c)
	returned = true
	return a
}

func (s *session) runCycle(ctx context.Context, c caller.Cycle) caller.Answer {
	e := s.entry
	p, err := s.newPlan(c)
	if err != nil {
		return s.refuse(c.Kind, nil, err)
	}
	if p.isLocal {
		return s.answerLocal(p)
	}
	if s.tx != nil && s.tx.abandoned {
		return s.refuse(c.Kind, nil, errAborted())
	}
	r, err := s.newRequest(p)
	if err != nil {
		return s.refuse(c.Kind, nil, err)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	s.setStopCycle(cancel)
	defer s.setStopCycle(nil)
	start := time.Now()
	defer func() { e.metrics.cycleDuration.Update(int64(time.Since(start))) }()

	if s.tx != nil {
		return s.runInTx(ctx, r, c)
	}
	var (
		reply *ownerrpc.ExecReply
		t     *target
		term  uint64
	)
	if p.isRead {
		reply, t, term, err = s.runRead(ctx, r)
	} else {
		reply, t, term, err = s.runWrite(ctx, r)
	}
	if err != nil {
		if reply != nil {
			s.applyErrorReply(t, reply)
		}
		return s.refuse(c.Kind, nil, r.finalError(err))
	}
	return s.complete(p, t, term, reply)
}

// applyErrorReply updates the token from a reply with an error kind, and rolls
// back a transaction that the reply reports as open.
func (s *session) applyErrorReply(t *target, reply *ownerrpc.ExecReply) {
	if reply.Position != (logpos.Position{}) {
		s.token = s.token.Max(reply.Position)
		s.minPositionResolved = true
	}
	if reply.TxStatus == 'T' || reply.TxStatus == 'E' {
		s.release(t, ownerrpc.RequestID{})
	}
}

// newRequest returns the request for a cycle, with the attributes of the session
// applied. The first cycle that executes a statement consumes the request_id.
func (s *session) newRequest(p *plan) (*request, error) {
	r := &request{plan: p, eff: s.effective(), repeatable: s.isRepeatable(p.isRead) || !p.executes}
	r.deadline = time.Now().Add(s.deadline(r.eff))
	if s.tx == nil {
		if err := s.entry.admitWork(s.group.name); err != nil {
			return nil, err
		}
	}
	if p.executes && s.attrs.requestID != "" {
		r.requestToken, s.attrs.requestID = s.attrs.requestID, ""
		if s.tx != nil || p.mayBegin || p.mayCommit {
			return nil, errkind.New(errkind.Unsupported, "request_id is not supported for statements of a transaction block")
		}
		if p.isRead {
			r.requestToken = ""
		} else {
			r.repeatable = true // the owner executes a request_id only once, however often it is sent
		}
	}
	return r, nil
}

func (s *session) setStopCycle(stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopCycle = stop
}

// minWaitToSuspect is how long an attempt must have waited before the end of its
// time limit makes the member suspect. Without it, a caller with a short deadline
// would make healthy members suspect.
const minWaitToSuspect = 250 * time.Millisecond

// call sends one attempt and waits for the answer. The error has the kind that
// the owner answered with, or the kind of the transport failure.
//
// Of the session's mutable state it uses only inflight, by track and untrack,
// because an attempt of a hedge may still be running when the cycle has ended.
func (s *session) call(ctx context.Context, r *request, t *target, args *ownerrpc.ExecArgs) (*ownerrpc.ExecReply, Delivery, error) {
	id, reserved := args.ID, outcomeReserve(r.deadline)
	if time.Until(r.deadline) <= 0 {
		return nil, NotSent, errkind.New(errkind.DeadlineExceeded, "the deadline passed before the statement was sent")
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(-reserved))
	defer cancel()
	s.track(attempt{t, id})
	t.member.startAttempt()
	start := time.Now()
	reply, err := s.entry.opts.Owners.Exec(ctx, t.address, args)
	t.member.endAttempt()
	s.untrack(id)
	now := time.Now()
	if err == nil && reply.ID != id {
		err = errkind.New(errkind.ServerLost, "the owner answered request %v instead of %v", reply.ID, id)
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) && (ctx.Err() == nil || now.Sub(start) >= minWaitToSuspect) {
			s.entry.suspectMember(t, now, err)
		}
		if errkind.Of(err) == errkind.ConnectFailed {
			return nil, NotSent, err
		}
		return nil, NoAnswer, errkind.Wrap(errkind.ServerLost, err, "no answer from the owner of server %q", t.server)
	}
	t.member.recordLoad(reply.Load, now)
	switch reply.Kind {
	case errkind.OK:
		t.member.recordSuccess(r.eff.RetryBudget)
		return reply, Answered, nil
	case errkind.PositionNotReached:
		t.member.markLagging(now)
	case errkind.ServerLost, errkind.NotOwner, errkind.StaleTerm, errkind.ConnectFailed, errkind.Draining, errkind.ConfigStale:
		s.entry.suspectMember(t, now, errkind.New(reply.Kind, "%s", reply.Detail))
	}
	return reply, Answered, errkind.New(reply.Kind, "%s", reply.Detail)
}

// suspectMember makes a member suspect and logs the first of consecutive
// failures.
func (e *Entry) suspectMember(t *target, now time.Time, err error) {
	if t.member.recordFailure(now) {
		e.opts.Logger.Warn().Err(err).Str("server", t.server).Str("owner", t.host).Msg("request to the owner of a server failed; avoiding the server for reads")
	}
}
