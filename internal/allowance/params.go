package allowance

import (
	"cmp"
	"math"
	"time"
)

// Params determine how exactly the limits hold: in every window, at most (rate x
// window + burst) x (1 + overage) + tolerance operations are sent.
type Params struct {
	Window    time.Duration
	Overage   float64
	Tolerance float64 // operations
}

// defaultWindow is the window of Params without one.
const defaultWindow = 5 * time.Second

func (p Params) withDefaults() Params {
	p.Window = cmp.Or(p.Window, defaultWindow)
	return p
}

// maxAmount bounds rates and bursts, so that tokens can be counted in integers.
const maxAmount = 1e9

// Bound returns the most operations of a customer in one window.
func (p Params) Bound(l Limit) float64 {
	return (l.Rate*p.Window.Seconds()+l.Burst)*(1+p.Overage) + p.Tolerance
}

// bucketSize returns the capacity of the bucket of a customer and the rate at which it
// is filled. Half of the overage of the rate goes into the fill rate: a customer that
// sends more than its limit all the time is then served at least at its rate, although
// tokens lie idle at hosts and on their way. The other half makes room for these tokens.
// With a capacity below one token no operation would ever be admitted, so
// it is then one token, and the rate is lowered to keep the bound.
func (p Params) bucketSize(l Limit) (capacity, rate float64) {
	window := p.Window.Seconds()
	l = Limit{Rate: min(l.Rate, maxAmount), Burst: min(l.Burst, maxAmount)}
	capacity = l.Burst*(1+p.Overage) + l.Rate*window*p.Overage/2 + p.Tolerance
	rate = l.Rate * (1 + p.Overage/2)
	if capacity >= 1 {
		return capacity, rate
	}
	if rate -= (1 - capacity) / window; rate <= 0 {
		return 0, 0
	}
	return 1, rate
}

// smallStockLimit is the number of tokens up to which hosts may hold the whole capacity:
// hosts report their use only twice a second, and half of a small capacity would be
// used up by operations that were not reported yet.
const smallStockLimit = 8

// maxStockFraction is the fraction of the capacity that hosts may hold together. Tokens at
// hosts bridge the loss of a leader; a new one counts this fraction as unknown at first.
const maxStockFraction = 0.85

// stockLimit returns the number of tokens that hosts may hold together.
func stockLimit(capacity float64) int {
	return int(max(math.Floor(capacity*maxStockFraction), min(math.Floor(capacity), smallStockLimit)))
}
