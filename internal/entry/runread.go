package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
)

// sqlStateReadOnly is the SQLSTATE read_only_sql_transaction.
const sqlStateReadOnly = "25006"

// runRead executes a read at the most suitable member. It returns the reply, the
// target that sent it, and the term that the request stated. With an error, the
// reply is that of the last attempt, or nil.
func (s *session) runRead(ctx context.Context, r *request) (*ownerrpc.ExecReply, *target, uint64, error) {
	var (
		delay    backoff
		tried    = make(map[*target]bool)
		replicas = r.eff.ReplicaReads
	)
	for {
		v := s.entry.view.Load()
		gv := v.groups[s.group.name]
		if gv == nil {
			return nil, nil, 0, errkind.New(errkind.UnknownGroup, "database group %q is not declared", s.group.name)
		}
		t, pos, err := s.chooseTarget(ctx, r, gv, replicas, tried)
		if err != nil {
			kind := errkind.Of(err)
			// The queue of the rank is full at a member that could serve the
			// read, or was at the member that was tried last.
			if kind == errkind.Overloaded || len(tried) > 0 && errkind.Of(r.lastErr) == errkind.Overloaded {
				s.entry.metrics.refusedLocally.Inc(1)
				return nil, nil, 0, errkind.Wrap(errkind.Overloaded, err, "rank %q", r.eff.Rank.Name)
			}
			if Decide(kind, NotSent, r.repeatable, false) == GiveUp {
				return nil, nil, 0, err
			}
			if len(tried) == 0 || r.lastErr == nil {
				r.lastErr = err
			}
			clear(tried)
			if !delay.wait(ctx, v) {
				return nil, nil, 0, r.lastErr
			}
			continue
		}
		if r.budgetedSends > 0 && !t.member.spendRetry() {
			s.entry.metrics.budgetEmpty.Inc(1)
			if errkind.Of(r.lastErr) == errkind.Overloaded {
				return nil, nil, 0, r.lastErr
			}
			if !delay.wait(ctx, v) {
				return nil, nil, 0, r.lastErr
			}
			continue
		}
		res := s.attemptRead(ctx, r, gv, t, pos, replicas, tried)
		if res.err == nil {
			if replicas && !res.target.primary && !r.plan.mayBegin && refusedReadOnly(res.reply.Messages) {
				return s.redirectToPrimary(ctx, r)
			}
			s.countRead(res.target)
			return res.reply, res.target, gv.readTerm(res.target), nil
		}
		if errkind.Of(res.err) == errkind.ReadOnlyMember {
			return s.redirectToPrimary(ctx, r)
		}
		action := Decide(errkind.Of(res.err), res.delivery, r.repeatable, false)
		if action == AskOutcome {
			reply, resolution := s.resolveOutcome(ctx, res.target, res.id)
			switch {
			case resolution == resolutionAnswered && reply.Kind == errkind.OK:
				s.countRead(res.target)
				return reply, res.target, gv.readTerm(res.target), nil
			case resolution == resolutionNotRun:
				r.recordNotRun(res.id)
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
			if !delay.wait(ctx, v) {
				return nil, nil, 0, r.lastErr
			}
		}
	}
}

// redirectToPrimary executes a statement at the primary that a replica refused as
// a write. The statement was classified as a read, so it changes data in a way
// that its text doesn't show, for example by a function within a view.
func (s *session) redirectToPrimary(ctx context.Context, r *request) (*ownerrpc.ExecReply, *target, uint64, error) {
	r.plan.isRead = false
	r.repeatable = s.isRepeatable(false)
	return s.runWrite(ctx, r)
}

// chooseTarget returns the member for the next attempt and the position to
// require there.
func (s *session) chooseTarget(ctx context.Context, r *request, gv *groupView, replicas bool, tried map[*target]bool) (*target, logpos.Position, error) {
	pos, err := s.requiredPosition(ctx, r)
	if err != nil {
		return nil, pos, err
	}
	t, err := gv.choose(pos, r.eff.Rank.Name, replicas, tried, time.Now())
	return t, pos, err
}

// requiredPosition returns the position that a member must have applied.
//
// A read that accepts staleness requires the later of the token and the oldest
// sample within the accepted age. Any other read requires the token; a session
// without a token requires the position that the primary confirmed to a request
// that started after the session, which it requests only once.
func (s *session) requiredPosition(ctx context.Context, r *request) (logpos.Position, error) {
	e := s.entry
	if accepted := s.maxStaleness(r.eff); accepted > 0 && r.eff.ReplicaReads {
		now := time.Now()
		s.group.mu.Lock()
		s.group.lastStaleRead = now
		found, ok := s.group.samples.OldestSince(now.Add(-accepted))
		s.group.mu.Unlock()
		if ok {
			return s.token.Max(found.Pos), nil
		}
		pos, err := e.confirmedPosition(ctx, s.group, freshnessRequirement{startedSince: now.Add(-accepted)})
		return s.token.Max(pos), err
	}
	if !s.minPositionResolved && r.eff.ReplicaReads {
		pos, err := e.confirmedPosition(ctx, s.group, freshnessRequirement{afterSeq: s.seq})
		if err != nil {
			return logpos.Position{}, err
		}
		s.minPosition, s.minPositionResolved = pos, true
	}
	return s.token.Max(s.minPosition), nil
}

// attemptRead makes one attempt, hedged if the policy has a hedge delay.
func (s *session) attemptRead(ctx context.Context, r *request, gv *groupView, t *target, pos logpos.Position, replicas bool, tried map[*target]bool) attemptResult {
	if r.sendCount > 0 {
		s.entry.metrics.retries.Inc(1)
	}
	var res attemptResult
	if r.eff.HedgeAfter > 0 && r.repeatable && !r.plan.mayBegin {
		h := &hedge{session: s, request: r, pos: pos, replicas: replicas, results: make(chan attemptResult, 2)}
		res = h.do(ctx, gv, t, tried)
	} else {
		res = attemptResult{target: t, id: r.id(s, t)}
		if r.plan.mayBegin && !s.awaitRelease(ctx, t) {
			res.err = errkind.New(errkind.DeadlineExceeded, "waiting for the rollback of the previous transaction")
			return res
		}
		res.reply, res.delivery, res.err = s.call(ctx, r, t, r.execArgs(s, t, res.id, pos, gv.readTerm(t)))
		s.recordReadResult(r, res)
	}
	return res
}

// recordReadResult records the result of one attempt in r. A BEGIN without an
// answer is released.
func (s *session) recordReadResult(r *request, res attemptResult) {
	if res.delivery != NotSent {
		r.sendCount++
	}
	if res.err == nil {
		return
	}
	r.recordFailure(res.err, res.delivery)
	if res.delivery == NoAnswer {
		r.recordUnanswered(attempt{res.target, res.id})
		if r.plan.mayBegin {
			s.release(res.target, res.id)
		}
	}
}

// readTerm returns the term to state in a read: 0 for replicas, because the term
// is checked only at the primary.
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
// refused a statement because it writes. Such a statement had no effect.
func refusedReadOnly(messages []byte) bool { return sqlState(messages) == sqlStateReadOnly }

// sqlState returns the SQLSTATE of the first error in an answer, or "" if there
// is none.
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
