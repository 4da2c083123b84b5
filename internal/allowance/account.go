package allowance

import (
	"math"
	"time"
)

const (
	// shortageMemory is how long after a shortage no tokens are granted for
	// operations to come. A host renews its stock, and is asked to return it, twice
	// in this time.
	shortageMemory = time.Second
	// spareFraction is the largest part of the bucket that one grant for operations to
	// come takes.
	spareFraction = 0.25
	// minRetry is the shortest retry time. A host makes no more than one call in this
	// time.
	minRetry = 10 * time.Millisecond
	// maxRetry bounds the retry time, because the limit may be raised.
	maxRetry = time.Minute
	// recallTime is the time in which a token that lies idle at a host returns: the
	// longest time until its next call, and two round trips.
	recallTime = renewInterval + 200*time.Millisecond
	// minStockReserve is the least number of tokens below the stock limit that are
	// not granted for operations to come.
	minStockReserve = 2
)

// account is the bucket of one customer in a Ledger.
type account struct {
	limit    Limit
	capacity float64
	rate     float64
	limited  bool      // named by the configuration; others are kept until their bucket is full
	bucket   float64   // tokens
	filledAt time.Time // when bucket was computed
	held     int       // tokens that hosts may hold
	adopted  int       // tokens of an earlier ledger that hosts have named
	shortage time.Time // when an operation that waited last got no token
	used     meter     // operations reported
}

func (a *account) setLimit(p Params, l Limit) {
	a.limit, a.limited = l, true
	a.capacity, a.rate = p.bucketSize(l)
}

// fill adds the tokens of the time until now. unknown is the number of tokens that
// hosts may hold without the knowledge of the ledger.
func (a *account) fill(now time.Time, unknown float64) {
	if now.After(a.filledAt) {
		a.bucket += a.rate * now.Sub(a.filledAt).Seconds()
		a.filledAt = now
	}
	a.bucket = max(0, min(a.bucket, a.capacity-unknown-float64(a.held)))
}

// take moves up to n tokens from the bucket to a host. limit bounds the tokens held
// and available those of the bucket.
func (a *account) take(n, limit int, available float64) int {
	n = max(0, min(n, limit-a.held, int(math.Floor(available))))
	a.bucket -= float64(n)
	a.held += n
	return n
}

// grant returns the tokens for waiting operations and for wanted ones to come. retry
// is positive if the bucket has too few for those that wait.
func (a *account) grant(now time.Time, waiting, wanted int) (tokens int, retry time.Duration) {
	limit := stockLimit(a.capacity)
	tokens = a.take(waiting, limit, a.bucket)
	switch {
	case tokens < waiting:
		a.shortage = now
		if a.bucket < 1 {
			retry = a.untilToken()
		}
	case !a.short(now):
		tokens += a.take(wanted, a.spareLimit(), a.bucket*spareFraction)
	}
	return tokens, retry
}

// spareLimit returns the number of tokens held up to which hosts get tokens for
// operations to come: what the capacity exceeds the burst by, so that idle tokens
// cause no refusals, but at least a quarter of the stock limit and at most so many
// that waiting operations of other hosts still get some.
func (a *account) spareLimit() int {
	limit := stockLimit(a.capacity)
	spare := max(int(a.capacity-a.limit.Burst), limit/4)
	return min(spare, limit-max(minStockReserve, limit/8))
}

// untilToken returns the time until the bucket has a token, if hosts return those that
// lie idle as soon as they are asked to.
func (a *account) untilToken() time.Duration {
	left := maxRetry
	if a.rate > 0 {
		left = min(left, time.Duration((1-a.bucket)/a.rate*float64(time.Second)))
	}
	if a.held > 0 {
		left = min(left, recallTime)
	}
	return max(minRetry, left)
}

// short reports whether operations got no token recently.
func (a *account) short(now time.Time) bool {
	return !a.shortage.IsZero() && now.Sub(a.shortage) < shortageMemory
}

// recalls reports whether hosts should return the tokens that no operation waits for.
func (a *account) recalls(now time.Time) bool {
	return a.held > 0 && (!a.limited || a.short(now) || a.held > stockLimit(a.capacity))
}
