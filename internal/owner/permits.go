package owner

import (
	"context"
	"slices"
	"sync"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// permits bounds the connections that open transactions hold. A rank may hold
// one only if a connection then remains for each higher rank, and one for
// each slot. Cycles outside of transactions therefore never wait for a
// connection while they hold a slot.
type permits struct {
	mu      sync.Mutex
	limit   int // connections of the pool less one for each slot
	held    int
	waiting [][]chan struct{} // by number of higher ranks, first come first
}

func newPermits(limit int) *permits { return &permits{limit: limit} }

// acquire waits until the rank with that many higher ranks may hold one more
// connection. At most queue cycles of a rank wait.
func (p *permits) acquire(ctx context.Context, higher, queue int) error {
	p.mu.Lock()
	for len(p.waiting) <= higher {
		p.waiting = append(p.waiting, nil)
	}
	if len(p.waiting[higher]) == 0 && p.admits(higher) {
		p.held++
		p.mu.Unlock()
		return nil
	}
	if len(p.waiting[higher]) >= queue {
		p.mu.Unlock()
		return errkind.New(errkind.Overloaded, "too many transactions of this rank wait for a connection")
	}
	w := make(chan struct{})
	p.waiting[higher] = append(p.waiting[higher], w)
	p.mu.Unlock()
	select {
	case <-w:
		return nil
	case <-ctx.Done():
	}
	p.abandon(higher, w)
	return endOf(ctx, errkind.Overloaded, "open transactions hold all connections that this rank may use")
}

func (p *permits) abandon(higher int, w chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting[higher], w); i >= 0 {
		p.waiting[higher] = slices.Delete(p.waiting[higher], i, i+1)
		return
	}
	// The permit was granted at the same time.
	p.held--
	p.grant()
}

// admits reports whether a rank may hold one more connection. Even a very
// small server can run one transaction.
func (p *permits) admits(higher int) bool { return p.held < max(1, p.limit-higher) }

// grant serves waiting transactions, the highest rank first.
func (p *permits) grant() {
	for higher := range p.waiting {
		for len(p.waiting[higher]) > 0 && p.admits(higher) {
			close(p.waiting[higher][0])
			p.waiting[higher] = slices.Delete(p.waiting[higher], 0, 1)
			p.held++
		}
	}
}

func (p *permits) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
	p.grant()
}

func (p *permits) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.grant()
}

func (p *permits) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// endOf returns the cause of the end of ctx if it has a kind, and otherwise
// an error of the given kind.
func endOf(ctx context.Context, kind errkind.Kind, detail string) error {
	if cause := context.Cause(ctx); errkind.Of(cause) != errkind.Internal {
		return cause
	}
	return errkind.New(kind, "%s", detail)
}
