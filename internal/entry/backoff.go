package entry

import (
	"context"
	"math/rand/v2"
	"time"
)

// Bounds of the delay between attempts.
const (
	backoffMin = 10 * time.Millisecond
	backoffMax = 200 * time.Millisecond
)

// backoff delays attempts by full jitter: a random time up to a bound that
// doubles with each attempt. The zero value is ready for use.
type backoff struct {
	attempts int
}

func (b *backoff) next() time.Duration {
	bound := min(backoffMin<<min(b.attempts, 10), backoffMax)
	b.attempts++
	return rand.N(bound) + 1
}

// wait waits for the delay or for a view newer than v. It returns false when
// ctx ends first.
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
