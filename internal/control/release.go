package control

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

// retryInterval is the delay before a failed call of Owner.Revoke or
// Members.Promote, or a poll of the members' status, is repeated.
const retryInterval = 20 * time.Millisecond

// releaseWaiter waits until a holder no longer acts on a lease or a primary
// role. The state must already have stopped granting it.
type releaseWaiter struct {
	opts      Options
	machine   *Machine
	sessions  *Sessions
	holder    holder
	revokedAt time.Time // when the leader first saw that the state no longer grants it
	args      ownerrpc.RevokeArgs
}

// wait returns nil once the holder has confirmed the release or its last grant
// has expired. An unresponsive holder therefore delays a move by at most the
// TTL plus the clock drift.
func (w *releaseWaiter) wait(ctx context.Context) error {
	for !w.opts.disabled.grantExpiry {
		left := time.Until(w.sessions.GrantExpiry(w.holder, w.revokedAt))
		if left <= 0 {
			return nil
		}
		if w.requestRelease(ctx, min(left, w.opts.StepTimeout)) {
			return nil
		}
		if err := sleep(ctx, min(left, retryInterval)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// requestRelease calls Owner.Revoke at the holder and reports whether it
// confirmed. It calls only the incarnation that holds the lease: a restarted
// process would confirm without knowing what its predecessor still does.
func (w *releaseWaiter) requestRelease(ctx context.Context, timeout time.Duration) bool {
	h, ok := w.machine.View().Hosts[w.holder.host]
	if !ok || h.Incarnation != w.holder.incarnation {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := w.opts.Revoke(ctx, h.Address, &w.args)
	return err == nil && reply.Confirmed
}

// sleep waits for d. It returns early with the error of ctx if ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
