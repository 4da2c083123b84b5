package entry

// budgetCap is how many retries a destination may get in a burst.
const budgetCap = 10

// budget limits the retries to one destination to a share of its successes.
// The zero budget is full, so that the first failures after a start can be
// retried.
type budget struct {
	spent float64 // tokens below budgetCap
}

// earn adds the share of one success.
func (b *budget) earn(share float64) { b.spent = max(b.spent-share, 0) }

// spend takes one token, or returns false if there is none.
func (b *budget) spend() bool {
	if b.spent+1 > budgetCap {
		return false
	}
	b.spent++
	return true
}
