package entry

import "time"

const (
	// budgetMaxTokens is the largest burst of retries to one member.
	budgetMaxTokens = 10
	// budgetTokensPerSecond is the rate of retries that are allowed without
	// successes. Without it, a statement to an otherwise idle member would
	// wait for its deadline instead of being retried.
	budgetTokensPerSecond = 1.0
)

// retryBudget is a token bucket that limits the retries to one member to a share
// of its successes. The zero value is a full bucket, so that the first failures
// after a start can be retried.
type retryBudget struct {
	spent      float64   // tokens used, at most budgetMaxTokens
	refilledAt time.Time // when budgetTokensPerSecond was last credited
}

// credit returns tokens, or a part of one, to the bucket, up to a full bucket.
func (b *retryBudget) credit(tokens float64) { b.spent = max(b.spent-tokens, 0) }

// spend takes one token. It returns false if less than one is left.
func (b *retryBudget) spend(now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.credit(now.Sub(b.refilledAt).Seconds() * budgetTokensPerSecond)
	}
	b.refilledAt = now
	if b.spent+1 > budgetMaxTokens {
		return false
	}
	b.spent++
	return true
}
