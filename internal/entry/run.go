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

// run executes one cycle of the session.
func (s *session) run(ctx context.Context, c caller.Cycle) caller.Answer {
	e := s.entry
	p, err := s.newPlan(c)
	if err != nil {
		return s.refuse(c.Kind, nil, err)
	}
	if p.isLocal {
		return s.answerLocal(p)
	}
	if s.tx != nil && s.tx.failed {
		return s.refuse(c.Kind, nil, errAborted())
	}
	r, err := s.newRequest(p)
	if err != nil {
		return s.refuse(c.Kind, nil, err)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	s.setStop(cancel)
	defer s.setStop(nil)
	start := time.Now()
	defer func() { e.metrics.cycle.Update(int64(time.Since(start))) }()

	if s.tx != nil {
		return s.runInTx(ctx, r, c)
	}
	var (
		reply *ownerrpc.ExecReply
		t     *target
		term  uint64
	)
	if p.read {
		reply, t, term, err = s.runRead(ctx, r)
	} else {
		reply, t, term, err = s.runWrite(ctx, r)
	}
	if err != nil {
		if reply != nil {
			s.settle(t, reply)
		}
		return s.refuse(c.Kind, nil, r.final(err))
	}
	return s.complete(p, t, term, reply)
}

// settle takes over what an answer with an error kind says.
func (s *session) settle(t *target, reply *ownerrpc.ExecReply) {
	if reply.Position != (logpos.Position{}) {
		s.token = s.token.Max(reply.Position)
		s.floored = true
	}
	if reply.TxStatus == 'T' || reply.TxStatus == 'E' {
		s.release(t, ownerrpc.RequestID{})
	}
}

// newRequest applies the attributes of the session to a cycle. The request_id
// is used up by the first cycle that executes a statement.
func (s *session) newRequest(p *plan) (*request, error) {
	r := &request{plan: p, eff: s.effective(), repeatable: s.isRepeatable(p.read) || !p.executes}
	r.deadline = time.Now().Add(s.deadline(r.eff))
	if s.tx == nil {
		if err := s.entry.admitWork(s.group.name); err != nil {
			return nil, err
		}
	}
	if p.executes && s.attrs.requestID != "" {
		r.token, s.attrs.requestID = s.attrs.requestID, ""
		if s.tx != nil || p.begin || p.commit {
			return nil, errkind.New(errkind.Unsupported, "request_id is not supported for statements of a transaction block")
		}
		if p.read {
			r.token = ""
		} else {
			r.repeatable = true // the owner executes a request_id once, whatever the number of sends
		}
	}
	return r, nil
}

func (s *session) setStop(stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
}

// silence is how long a member has to be silent to be suspected when it is the
// caller's deadline that ended the wait. A caller with a short deadline would
// otherwise make healthy members suspect.
const silence = 250 * time.Millisecond

// call sends one attempt and waits for the answer. The error has the kind that
// the owner answered with, or the kind of the transport's failure.
//
// It uses nothing of the session but track, because a hedge may still run when
// the cycle has ended.
func (s *session) call(ctx context.Context, r *request, t *target, args *ownerrpc.ExecArgs) (*ownerrpc.ExecReply, Sent, error) {
	id, keep := args.ID, reserve(r.deadline)
	if time.Until(r.deadline) <= 0 {
		return nil, NotSent, errkind.New(errkind.DeadlineExceeded, "the deadline passed before the statement was sent")
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(-keep))
	defer cancel()
	s.track(attempt{t, id})
	t.member.begin()
	start := time.Now()
	reply, err := s.entry.opts.Owners.Exec(ctx, t.address, args)
	t.member.end()
	s.untrack(id)
	now := time.Now()
	if err == nil && reply.ID != id {
		err = errkind.New(errkind.ServerLost, "the owner answered request %v instead of %v", reply.ID, id)
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) && (ctx.Err() == nil || now.Sub(start) >= silence) {
			s.entry.suspect(t, now, err)
		}
		if errkind.Of(err) == errkind.ConnectFailed {
			return nil, NotSent, err
		}
		return nil, NoAnswer, errkind.Wrap(errkind.ServerLost, err, "no answer from the owner of server %q", t.server)
	}
	t.member.report(reply.Load, now)
	switch reply.Kind {
	case errkind.OK:
		t.member.succeeded(r.eff.RetryBudget)
		return reply, Answered, nil
	case errkind.PositionNotReached:
		t.member.lagged(now)
	case errkind.ServerLost, errkind.NotOwner, errkind.StaleTerm, errkind.ConnectFailed, errkind.Draining, errkind.ConfigStale:
		s.entry.suspect(t, now, errkind.New(reply.Kind, "%s", reply.Detail))
	}
	return reply, Answered, errkind.New(reply.Kind, "%s", reply.Detail)
}

// suspect makes a member avoided and logs the first failure in a row.
func (e *Entry) suspect(t *target, now time.Time, err error) {
	if t.member.failed(now) {
		e.opts.Logger.Warn().Err(err).Str("server", t.server).Str("owner", t.host).Msg("member is avoided after a failure")
	}
}
