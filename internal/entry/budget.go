package entry

import "time"

const (
	// budgetCap is how many retries a destination may get in a burst.
	budgetCap = 10
	// budgetFloor is the number of retries in a second that are allowed without
	// successes. Without it, the last statement of an idle destination would
	// wait for its deadline instead of being retried.
	budgetFloor = 1.0
)

// budget limits the retries to one destination to a share of its successes.
// The zero budget is full, so that the first failures after a start can be
// retried.
type budget struct {
	spent float64   // tokens below budgetCap
	at    time.Time // when the floor was last added
}

// earn adds the share of one success.
func (b *budget) earn(share float64) { b.spent = max(b.spent-share, 0) }

// spend takes one token, or returns false if there is none.
func (b *budget) spend(now time.Time) bool {
	if !b.at.IsZero() {
		b.earn(now.Sub(b.at).Seconds() * budgetFloor)
	}
	b.at = now
	if b.spent+1 > budgetCap {
		return false
	}
	b.spent++
	return true
}
