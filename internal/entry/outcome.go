package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

// resolution is the result of an attempt to resolve the outcome of a request.
type resolution int

const (
	resolutionUnknown  resolution = iota // the request may have run
	resolutionAnswered                   // the owner returned the stored answer
	resolutionNotRun                     // the owner confirmed that the request never runs
)

const (
	// resolveTimeout limits the resolution of one outcome. An owner that cannot
	// be reached for that long has lost its leases and rolls back the
	// transactions of this entry.
	resolveTimeout = 2 * time.Second
	// resolveCallTimeout limits one round of calls to the owner.
	resolveCallTimeout = 500 * time.Millisecond
)

// resolveOutcome asks the owner for the outcome of a request that got no answer,
// and cancels the request if the owner has not received it. The absence of an
// outcome is conclusive only at the process that the request was sent to: a
// restarted process has lost its outcomes.
func (s *session) resolveOutcome(ctx context.Context, t *target, id ownerrpc.RequestID) (*ownerrpc.ExecReply, resolution) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	s.entry.metrics.outcomesAsked.Inc(1)
	var delay backoff
	for {
		reply, resolution, final := s.resolveOutcomeOnce(ctx, t, id)
		if final {
			return reply, resolution
		}
		v := s.entry.view.Load()
		if v.ownerChanged(t) || !delay.wait(ctx, v) {
			return nil, resolutionUnknown
		}
	}
}

// ownerChanged reports whether the lease of the server was assigned anew since t
// was created. Control assigns a lease to the next owner only after the former
// one has given it up or can't act on it any more, so there is no point in
// waiting for the answer of an unreachable former owner.
func (v *view) ownerChanged(t *target) bool { return v.state.Leases[t.server].Epoch > t.epoch }

// resolveOutcomeOnce makes one round of calls. The last result reports whether
// the resolution is final; if not, another round may resolve the outcome.
func (s *session) resolveOutcomeOnce(ctx context.Context, t *target, id ownerrpc.RequestID) (*ownerrpc.ExecReply, resolution, bool) {
	ctx, cancel := context.WithTimeout(ctx, resolveCallTimeout)
	defer cancel()
	owners := s.entry.opts.Owners
	outcome, err := owners.Outcome(ctx, t.address, &ownerrpc.OutcomeArgs{ID: id, Server: t.server})
	switch {
	case err != nil:
		return nil, resolutionUnknown, false
	case outcome.Found && outcome.Reply.ID == id:
		return &outcome.Reply, resolutionAnswered, true
	case outcome.Running:
		return nil, resolutionUnknown, false
	}
	// Another incarnation is sent the cancellation too, because it may yet
	// receive the request.
	cancelled, err := owners.Cancel(ctx, t.address, &ownerrpc.CancelArgs{ID: id, Server: t.server})
	switch {
	case err != nil:
		return nil, resolutionUnknown, false
	case cancelled.Incarnation != t.incarnation || outcome.Incarnation != t.incarnation:
		return nil, resolutionUnknown, true
	case cancelled.Confirmed:
		return nil, resolutionNotRun, true
	}
	return nil, resolutionUnknown, false
}
