package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

// verdict is what asking for an outcome led to.
type verdict int

const (
	verdictUnknown  verdict = iota // nothing is known
	verdictAnswered                // the owner had the answer
	verdictNotRun                  // the owner has confirmed that it never runs
)

const (
	// askTime bounds the asking. An owner that cannot be reached for that long
	// has lost its leases and rolls back the transactions of this entry.
	askTime = 2 * time.Second
	// askCallTime bounds one question.
	askCallTime = 500 * time.Millisecond
)

// ask asks the owner what became of a request that got no answer, and cancels
// it if the owner has not seen it. The absence of a request proves something
// only at the process that the request was sent to: a restarted process has
// lost its outcomes.
func (s *session) ask(ctx context.Context, t *target, id ownerrpc.RequestID) (*ownerrpc.ExecReply, verdict) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	s.entry.metrics.asked.Inc(1)
	var pause backoff
	for {
		reply, verdict, final := s.askOnce(ctx, t, id)
		if final {
			return reply, verdict
		}
		v := s.entry.view.Load()
		if v.moved(t) || !pause.wait(ctx, v) {
			return nil, verdictUnknown
		}
	}
}

// moved reports whether the server has another owner than t by now. Control
// gives a lease to the next owner only after the former one has given it up
// or can't act on it any more, so the answer of an unreachable former owner is
// not worth waiting for.
func (v *view) moved(t *target) bool { return v.state.Leases[t.server].Epoch > t.epoch }

// askOnce asks once. The last result is false if asking again may help.
func (s *session) askOnce(ctx context.Context, t *target, id ownerrpc.RequestID) (*ownerrpc.ExecReply, verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, askCallTime)
	defer cancel()
	owners := s.entry.opts.Owners
	outcome, err := owners.Outcome(ctx, t.address, &ownerrpc.OutcomeArgs{ID: id, Server: t.server})
	switch {
	case err != nil:
		return nil, verdictUnknown, false
	case outcome.Found && outcome.Reply.ID == id:
		return &outcome.Reply, verdictAnswered, true
	case outcome.Running:
		return nil, verdictUnknown, false
	}
	// Also sent to another incarnation, which may receive the request yet.
	cancelled, err := owners.Cancel(ctx, t.address, &ownerrpc.CancelArgs{ID: id, Server: t.server})
	switch {
	case err != nil:
		return nil, verdictUnknown, false
	case cancelled.Incarnation != t.incarnation || outcome.Incarnation != t.incarnation:
		return nil, verdictUnknown, true
	case cancelled.Confirmed:
		return nil, verdictNotRun, true
	}
	return nil, verdictUnknown, false
}
