package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
)

// stateReadOnly is the SQLSTATE read_only_sql_transaction.
const stateReadOnly = "25006"

// runRead executes a read at the most suitable member. With an error, the
// reply is that of the last attempt, if there was one.
func (s *session) runRead(ctx context.Context, r *request) (*ownerrpc.ExecReply, *target, uint64, error) {
	var (
		pause    backoff
		tried    = make(map[*target]bool)
		replicas = r.eff.ReplicaReads
	)
	for {
		v := s.entry.view.Load()
		gv := v.groups[s.group.name]
		if gv == nil {
			return nil, nil, 0, errkind.New(errkind.UnknownGroup, "database group %q is not declared", s.group.name)
		}
		t, pos, err := s.pick(ctx, r, gv, replicas, tried)
		if err != nil {
			kind := errkind.Of(err)
			if kind == errkind.Overloaded || len(tried) > 0 && errkind.Of(r.last) == errkind.Overloaded {
				s.entry.metrics.refusedLocally.Inc(1)
				return nil, nil, 0, errkind.Wrap(errkind.Overloaded, err, "rank %q", r.eff.Rank.Name)
			}
			if Decide(kind, NotSent, r.repeatable, false) == GiveUp {
				return nil, nil, 0, err
			}
			if len(tried) == 0 || r.last == nil {
				r.last = err
			}
			clear(tried)
			if !pause.wait(ctx, v) {
				return nil, nil, 0, r.last
			}
			continue
		}
		if r.costly > 0 && !t.member.spendRetry() {
			s.entry.metrics.budgetEmpty.Inc(1)
			if errkind.Of(r.last) == errkind.Overloaded {
				return nil, nil, 0, r.last
			}
			if !pause.wait(ctx, v) {
				return nil, nil, 0, r.last
			}
			continue
		}
		res := s.attemptRead(ctx, r, gv, t, pos, replicas, tried)
		if res.err == nil {
			if replicas && !res.target.primary && !r.plan.begin && refusedReadOnly(res.reply.Messages) {
				return s.redirect(ctx, r)
			}
			s.countRead(res.target)
			return res.reply, res.target, gv.readTerm(res.target), nil
		}
		if errkind.Of(res.err) == errkind.ReadOnlyMember {
			return s.redirect(ctx, r)
		}
		action := Decide(errkind.Of(res.err), res.sent, r.repeatable, false)
		if action == AskOutcome {
			reply, verdict := s.ask(ctx, res.target, res.id)
			switch {
			case verdict == verdictAnswered && reply.Kind == errkind.OK:
				s.countRead(res.target)
				return reply, res.target, gv.readTerm(res.target), nil
			case verdict == verdictNotRun:
				r.resolved(res.id)
				action = OtherMember
			default:
				return reply, res.target, 0, errkind.New(errkind.OutcomeUnknown, "the answer of server %q was lost", res.target.server)
			}
		}
		switch action {
		case GiveUp:
			return res.reply, res.target, 0, res.err
		case OtherMember:
			tried[res.target] = true
		case Wait:
			clear(tried)
			if !pause.wait(ctx, v) {
				return nil, nil, 0, r.last
			}
		}
	}
}

// redirect executes a statement that a replica refused as a write at the
// primary. It looked like a read, so it changes data in a way that its text
// does not show, for example by a function within a view.
func (s *session) redirect(ctx context.Context, r *request) (*ownerrpc.ExecReply, *target, uint64, error) {
	r.plan.read = false
	r.repeatable = s.isRepeatable(false)
	return s.runWrite(ctx, r)
}

// pick returns the member for the next attempt and the position to require.
func (s *session) pick(ctx context.Context, r *request, gv *groupView, replicas bool, tried map[*target]bool) (*target, logpos.Position, error) {
	pos, err := s.required(ctx, r)
	if err != nil {
		return nil, pos, err
	}
	t, err := gv.choose(pos, r.eff.Rank.Name, replicas, tried, time.Now())
	return t, pos, err
}

// required returns the position that a member must have applied.
//
// A read that accepts staleness requires the oldest sample within that age and
// the token. Any other read requires the token; a session without a token
// requires the position that the primary confirmed to a request that started
// after the session, which it asks for once.
func (s *session) required(ctx context.Context, r *request) (logpos.Position, error) {
	e := s.entry
	if accepted := s.maxStaleness(r.eff); accepted > 0 && r.eff.ReplicaReads {
		now := time.Now()
		s.group.mu.Lock()
		s.group.lastStale = now
		found, ok := s.group.samples.OldestSince(now.Add(-accepted))
		s.group.mu.Unlock()
		if ok {
			return s.token.Max(found.Pos), nil
		}
		pos, err := e.position(ctx, s.group, wanted{since: now.Add(-accepted)})
		return s.token.Max(pos), err
	}
	if !s.floored && r.eff.ReplicaReads {
		pos, err := e.position(ctx, s.group, wanted{after: s.seq})
		if err != nil {
			return logpos.Position{}, err
		}
		s.floor, s.floored = pos, true
	}
	return s.token.Max(s.floor), nil
}

// attemptRead makes one attempt, with a hedge if the policy asks for it.
func (s *session) attemptRead(ctx context.Context, r *request, gv *groupView, t *target, pos logpos.Position, replicas bool, tried map[*target]bool) result {
	if r.sends > 0 {
		s.entry.metrics.retries.Inc(1)
	}
	var res result
	if r.eff.HedgeAfter > 0 && r.repeatable && !r.plan.begin {
		h := &hedge{session: s, request: r, pos: pos, replicas: replicas, results: make(chan result, 2)}
		res = h.do(ctx, gv, t, tried)
	} else {
		res = result{target: t, id: r.id(s, t)}
		if r.plan.begin && !s.awaitRelease(ctx, t) {
			res.err = errkind.New(errkind.DeadlineExceeded, "waiting for the end of the last transaction")
			return res
		}
		res.reply, res.sent, res.err = s.call(ctx, r, t, r.args(s, t, res.id, pos, gv.readTerm(t)))
		s.noteRead(r, res)
	}
	return res
}

// noteRead records the result of one attempt.
func (s *session) noteRead(r *request, res result) {
	if res.sent != NotSent {
		r.sends++
	}
	if res.err == nil {
		return
	}
	r.note(res.err, res.sent)
	if res.sent == NoAnswer {
		r.unanswered(attempt{res.target, res.id})
		if r.plan.begin {
			s.release(res.target, res.id)
		}
	}
}

// readTerm is the term to state in a read: only the primary checks it.
func (gv *groupView) readTerm(t *target) uint64 {
	if t.primary {
		return gv.term
	}
	return 0
}

func (s *session) countRead(t *target) {
	if t.primary {
		s.entry.metrics.readsPrimary.Inc(1)
	} else {
		s.entry.metrics.readsReplica.Inc(1)
	}
}

// refusedReadOnly reports whether the answer is the error of a replica that
// was asked to write. Such a statement did not run.
func refusedReadOnly(messages []byte) bool { return sqlState(messages) == stateReadOnly }

// sqlState returns the SQLSTATE of the first error of an answer, or "".
func sqlState(messages []byte) string {
	for rest := messages; len(rest) > 0; {
		m, next, ok := nextMessage(rest)
		if !ok {
			return ""
		}
		if m[0] == 'E' {
			var msg pgproto3.ErrorResponse
			if msg.Decode(m[5:]) != nil {
				return ""
			}
			return msg.Code
		}
		rest = next
	}
	return ""
}
