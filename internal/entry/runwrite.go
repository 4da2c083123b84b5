package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// runWrite executes a cycle at the primary. With an error, the reply is that
// of the last attempt, if there was one.
func (s *session) runWrite(ctx context.Context, r *request) (*ownerrpc.ExecReply, *target, uint64, error) {
	var pause backoff
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
			r.note(errkind.New(errkind.NoPrimary, "group %q has no primary at present", s.group.name), NotSent)
		case t.member.full(r.eff.Rank.Name, time.Now()):
			s.entry.metrics.refusedLocally.Inc(1)
			return nil, t, 0, errkind.New(errkind.Overloaded, "rank %q: the queue of the primary is full", r.eff.Rank.Name)
		case r.costly > 0 && !t.member.spendRetry():
			s.entry.metrics.budgetEmpty.Inc(1)
		default:
			reply, err := s.attemptWrite(ctx, r, t, gv.term, &action)
			if err == nil && r.mayHaveRun() && sqlState(reply.Messages) != "" {
				// The refusal concerns this attempt only. An earlier one may hold
				// the very lock that this one failed on, and commit later.
				return reply, t, gv.term, errkind.New(errkind.OutcomeUnknown, "an earlier attempt may have run; a later one was refused with %s", sqlState(reply.Messages))
			}
			if err == nil || action == GiveUp {
				return reply, t, gv.term, err
			}
		}
		if !pause.wait(ctx, v) {
			return nil, t, 0, r.last
		}
	}
}

// attemptWrite makes one attempt and, if it got no answer, asks for its
// outcome. It sets the action that follows an error.
func (s *session) attemptWrite(ctx context.Context, r *request, t *target, term uint64, action *Action) (*ownerrpc.ExecReply, error) {
	if r.sends > 0 {
		s.entry.metrics.retries.Inc(1)
	}
	id := r.id(s, t)
	if r.plan.begin && !s.awaitRelease(ctx, t) {
		err := errkind.New(errkind.DeadlineExceeded, "waiting for the end of the last transaction")
		r.note(err, NotSent)
		return nil, err
	}
	reply, sent, err := s.call(ctx, r, t, r.args(s, t, id, s.token, term))
	if sent != NotSent {
		r.sends++
	}
	if err == nil {
		s.entry.metrics.writes.Inc(1)
		return reply, nil
	}
	r.note(err, sent)
	*action = Decide(errkind.Of(err), sent, r.repeatable, true)
	if *action != AskOutcome {
		return reply, err
	}
	reply, verdict := s.ask(ctx, t, id)
	switch verdict {
	case verdictAnswered:
		if reply.Kind == errkind.OK {
			return reply, nil
		}
		err = errkind.New(reply.Kind, "%s", reply.Detail)
		r.note(err, Answered)
		*action = Decide(reply.Kind, Answered, r.repeatable, true)
		return reply, err
	case verdictNotRun:
		*action = Wait
		r.last = errkind.New(errkind.ConnectFailed, "the owner of server %q had not received the statement", t.server)
		return nil, r.last
	}
	r.unanswered(attempt{t, id})
	if r.plan.begin {
		s.release(t, id)
	}
	if r.plan.begin && !r.plan.commit {
		// Without COMMIT nothing of the transaction can have taken effect.
		r.unknown, r.unresolved = false, nil
		*action = GiveUp
		return nil, errkind.New(errkind.TransactionLost, "the answer to BEGIN was lost; the transaction is rolled back")
	}
	err = errkind.New(errkind.OutcomeUnknown, "the answer of server %q was lost", t.server)
	r.last = err
	*action = Decide(errkind.OutcomeUnknown, Answered, r.repeatable, true)
	return nil, err
}
