package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// runWrite executes a cycle at the primary. It returns the reply, the target that
// sent it, and the term that the request stated. With an error, the reply is that
// of the last attempt, or nil.
func (s *session) runWrite(ctx context.Context, r *request) (*ownerrpc.ExecReply, *target, uint64, error) {
	var delay backoff
	for {
		v := s.entry.view.Load()
		gv := v.groups[s.group.name]
		if gv == nil {
			return nil, nil, 0, errkind.New(errkind.UnknownGroup, "database group %q is not declared", s.group.name)
		}
		t := gv.primary
		action := Wait
		switch {
		case t == nil:
			r.recordFailure(errkind.New(errkind.NoPrimary, "group %q has no primary at present", s.group.name), NotSent)
		case t.member.queueFull(r.eff.Rank.Name, time.Now()):
			s.entry.metrics.refusedLocally.Inc(1)
			return nil, t, 0, errkind.New(errkind.Overloaded, "rank %q: the queue of the primary is full", r.eff.Rank.Name)
		case r.budgetedSends > 0 && !t.member.spendRetry():
			s.entry.metrics.budgetEmpty.Inc(1)
		default:
			reply, err := s.attemptWrite(ctx, r, t, gv.term, &action)
			if err == nil && r.mayHaveRun() && sqlState(reply.Messages) != "" {
				// The error applies to this attempt only. An earlier attempt may
				// hold the lock that this one failed to get, and commit later.
				return reply, t, gv.term, errkind.New(errkind.OutcomeUnknown, "an earlier attempt may have run; a later one was refused with %s", sqlState(reply.Messages))
			}
			if err == nil || action == GiveUp {
				return reply, t, gv.term, err
			}
		}
		if !delay.wait(ctx, v) {
			return nil, t, 0, r.lastErr
		}
	}
}

// attemptWrite makes one attempt and, if it got no answer, resolves its outcome.
// With an error, it sets the action that follows.
func (s *session) attemptWrite(ctx context.Context, r *request, t *target, term uint64, action *Action) (*ownerrpc.ExecReply, error) {
	if r.sendCount > 0 {
		s.entry.metrics.retries.Inc(1)
	}
	id := r.id(s, t)
	if r.plan.mayBegin && !s.awaitRelease(ctx, t) {
		err := errkind.New(errkind.DeadlineExceeded, "waiting for the rollback of the previous transaction")
		r.recordFailure(err, NotSent)
		return nil, err
	}
	reply, delivery, err := s.call(ctx, r, t, r.execArgs(s, t, id, s.token, term))
	if delivery != NotSent {
		r.sendCount++
	}
	if err == nil {
		s.entry.metrics.writes.Inc(1)
		return reply, nil
	}
	r.recordFailure(err, delivery)
	*action = Decide(errkind.Of(err), delivery, r.repeatable, true)
	if *action != AskOutcome {
		return reply, err
	}
	reply, resolution := s.resolveOutcome(ctx, t, id)
	switch resolution {
	case resolutionAnswered:
		if reply.Kind == errkind.OK {
			return reply, nil
		}
		err = errkind.New(reply.Kind, "%s", reply.Detail)
		r.recordFailure(err, Answered)
		*action = Decide(reply.Kind, Answered, r.repeatable, true)
		return reply, err
	case resolutionNotRun:
		*action = Wait
		r.lastErr = errkind.New(errkind.ConnectFailed, "the owner of server %q had not received the statement", t.server)
		return nil, r.lastErr
	}
	r.recordUnanswered(attempt{t, id})
	if r.plan.mayBegin {
		s.release(t, id)
	}
	if r.plan.mayBegin && !r.plan.mayCommit {
		// Without a COMMIT, no statement of the transaction can have taken effect.
		r.outcomeUnknown, r.unresolved = false, nil
		*action = GiveUp
		return nil, errkind.New(errkind.TransactionLost, "the answer to BEGIN was lost; the transaction is rolled back")
	}
	err = errkind.New(errkind.OutcomeUnknown, "the answer of server %q was lost", t.server)
	r.lastErr = err
	*action = Decide(errkind.OutcomeUnknown, Answered, r.repeatable, true)
	return nil, err
}
