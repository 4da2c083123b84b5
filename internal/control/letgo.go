package control

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

// askAgain is the delay between two calls of Owner.Revoke that failed.
const askAgain = 20 * time.Millisecond

// letGo waits until a holder no longer acts on a lease or on a primary role.
// The state must already have stopped granting it.
type letGo struct {
	opts     Options
	machine  *Machine
	sessions *Sessions
	holder   holder
	unlisted time.Time // when the leader saw that the state no longer grants it
	args     ownerrpc.RevokeArgs
}

// wait returns nil once the holder has confirmed, or its last grant has run
// out. A silent holder therefore delays a move by at most ttl and drift.
func (w *letGo) wait(ctx context.Context) error {
	for !w.opts.disabled.runOut {
		left := time.Until(w.sessions.RunOut(w.holder, w.unlisted))
		if left <= 0 {
			return nil
		}
		if w.ask(ctx, min(left, w.opts.StepTimeout)) {
			return nil
		}
		if err := sleep(ctx, min(left, askAgain)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// ask calls the holder. It asks only the incarnation that holds the lease: a
// restarted process would confirm without knowing what its predecessor does.
func (w *letGo) ask(ctx context.Context, limit time.Duration) bool {
	h, ok := w.machine.View().Hosts[w.holder.host]
	if !ok || h.Incarnation != w.holder.incarnation {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := w.opts.Revoke(ctx, h.Address, &w.args)
	return err == nil && reply.Confirmed
}

// sleep returns early with the error of ctx.
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
