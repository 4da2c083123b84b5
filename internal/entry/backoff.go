package entry

import (
	"context"
	"math/rand/v2"
	"time"
)

// Bounds of the exponential delay between attempts.
const (
	backoffMin = 10 * time.Millisecond
	backoffMax = 200 * time.Millisecond
)

// backoff computes delays with full jitter: a random time up to a bound that
// doubles with each attempt. The zero value is ready for use.
type backoff struct {
	attempts int
}

func (b *backoff) next() time.Duration {
	bound := min(backoffMin<<min(b.attempts, 10), backoffMax)
	b.attempts++
	return rand.N(bound) + 1
}

// wait waits for the next delay, or until a newer view replaces v. If v is nil, it
// waits for the delay only. It returns false if ctx ends first.
func (b *backoff) wait(ctx context.Context, v *view) bool {
	timer := time.NewTimer(b.next())
	defer timer.Stop()
	var changed chan struct{}
	if v != nil {
		changed = v.changed
	}
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}
