package allowance

import (
	"math"
	"slices"
	"time"
)

const (
	// stockTime is the time for which a stock lasts at the recent demand: the
	// longest time between two calls, and a round trip.
	stockTime = 600 * time.Millisecond
	// idleTime is how long a host keeps a token without an operation. At one operation
	// every 3 s, 4% of them come later.
	idleTime = 10 * time.Second
	// surplusFactor times the wanted stock is what a host keeps.
	surplusFactor = 2
)

// stockAccount is the stock of one customer at a host. Stock.mu guards it.
type stockAccount struct {
	free       int    // tokens that no operation has
	taken      int    // tokens of operations that were not sent yet
	used       uint64 // operations sent
	generation uint64 // of the stock when the tokens were granted
	waiters    []*waiter

	demand     meter
	lastDemand time.Time // of the last operation, or start of a session after idleTime without one
	spareAfter time.Time // no tokens for operations to come are asked for until then
	askAfter   time.Time // no call is made for waiting operations until then
	recalled   bool      // the ledger needs the free tokens

	reportedUsed uint64 // by the last answered call
	reportedHeld int    // after it
	unsure       bool   // a call with this customer was not answered
}

func (a *stockAccount) held() int { return a.free + a.taken }

// recordDemand counts an operation.
func (a *stockAccount) recordDemand(now time.Time) {
	a.demand.add(now, 1)
	a.lastDemand = now
}

// target returns the number of tokens that the host should have for operations to
// come.
func (a *stockAccount) target(now time.Time) int {
	if a.lastDemand.IsZero() || now.Sub(a.lastDemand) > idleTime {
		return 0
	}
	return max(1, int(math.Ceil(a.demand.perSecond(now)*stockTime.Seconds())))
}

// low reports whether the stock should be filled before the next regular call.
func (a *stockAccount) low(now time.Time) bool {
	return !now.Before(a.spareAfter) && a.free*2 < a.target(now)
}

// wanted returns how many tokens to ask for besides those for waiting operations.
func (a *stockAccount) wanted(now time.Time) int {
	if now.Before(a.spareAfter) {
		return 0
	}
	return max(0, a.target(now)-a.free)
}

// surplus returns the number of free tokens to return to the ledger.
func (a *stockAccount) surplus(now time.Time) int {
	if a.recalled {
		return a.free
	}
	return max(0, a.free-surplusFactor*a.target(now))
}

// changed reports whether the ledger does not know the state of the account.
func (a *stockAccount) changed() bool {
	return a.unsure || a.used != a.reportedUsed || a.held() != a.reportedHeld
}

// void removes all tokens, which are no longer valid.
func (a *stockAccount) void(generation uint64) {
	a.free, a.taken, a.generation = 0, 0, generation
}

// take gives a free token to an operation.
func (a *stockAccount) take(s *Stock) *Token {
	a.free--
	a.taken++
	return &Token{stock: s, account: a, generation: a.generation}
}

// serve gives free tokens to waiting operations.
func (a *stockAccount) serve(s *Stock) {
	n := min(a.free, len(a.waiters))
	for _, w := range a.waiters[:n] {
		w.ready <- waitResult{token: a.take(s)}
	}
	a.waiters = slices.Delete(a.waiters, 0, n)
}

// refuse ends the wait of the operations that were counted in the last call.
func (a *stockAccount) refuse(err error) {
	a.waiters = slices.DeleteFunc(a.waiters, func(w *waiter) bool {
		if w.asked {
			w.ready <- waitResult{err: err}
		}
		return w.asked
	})
}
