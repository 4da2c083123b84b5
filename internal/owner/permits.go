package owner

import (
	"context"
	"slices"
	"sync"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// permits limits the connections that open transactions hold. A transaction of
// a rank gets a permit only if one connection then remains for each higher
// rank and one for each slot. Cycles outside of transactions therefore never
// wait for a connection while they hold a slot.
type permits struct {
	mu        sync.Mutex
	limit     int // connections of the pool minus one for each slot
	heldCount int
	waiting   [][]chan struct{} // by number of higher ranks, in order of arrival
}

func newPermits(limit int) *permits { return &permits{limit: limit} }

// acquire waits for a permit for a rank that has the given number of higher
// ranks. At most queueLimit cycles of a rank wait.
func (p *permits) acquire(ctx context.Context, higherRanks, queueLimit int) error {
	p.mu.Lock()
	for len(p.waiting) <= higherRanks {
		p.waiting = append(p.waiting, nil)
	}
	if len(p.waiting[higherRanks]) == 0 && p.mayGrant(higherRanks) {
		p.heldCount++
		p.mu.Unlock()
		return nil
	}
	if len(p.waiting[higherRanks]) >= queueLimit {
		p.mu.Unlock()
		return errkind.New(errkind.Overloaded, "too many transactions of this rank are waiting for a connection")
	}
	w := make(chan struct{})
	p.waiting[higherRanks] = append(p.waiting[higherRanks], w)
	p.mu.Unlock()
	select {
	case <-w:
		return nil
	case <-ctx.Done():
	}
	p.abandon(higherRanks, w)
	return contextError(ctx, errkind.Overloaded, "open transactions hold all connections that this rank may use")
}

func (p *permits) abandon(higherRanks int, w chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting[higherRanks], w); i >= 0 {
		p.waiting[higherRanks] = slices.Delete(p.waiting[higherRanks], i, i+1)
		return
	}
	// The permit was granted concurrently; give it back.
	p.heldCount--
	p.grantWaiting()
}

// mayGrant reports whether a rank may hold one more connection. One
// transaction is always possible, even on a server with very few connections.
func (p *permits) mayGrant(higherRanks int) bool { return p.heldCount < max(1, p.limit-higherRanks) }

// grantWaiting grants free permits to waiting transactions, the highest rank
// first.
func (p *permits) grantWaiting() {
	for higherRanks := range p.waiting {
		for len(p.waiting[higherRanks]) > 0 && p.mayGrant(higherRanks) {
			close(p.waiting[higherRanks][0])
			p.waiting[higherRanks] = slices.Delete(p.waiting[higherRanks], 0, 1)
			p.heldCount++
		}
	}
}

func (p *permits) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldCount--
	p.grantWaiting()
}

func (p *permits) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.grantWaiting()
}

func (p *permits) inUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldCount
}

// contextError returns the cause for which ctx ended if that is an error with
// a kind, and otherwise an error of the given kind.
func contextError(ctx context.Context, kind errkind.Kind, detail string) error {
	if cause := context.Cause(ctx); errkind.Of(cause) != errkind.Internal {
		return cause
	}
	return errkind.New(kind, "%s", detail)
}
