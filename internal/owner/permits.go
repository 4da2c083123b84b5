package owner

import (
	"context"
	"sync"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// permits bounds the connections that open transactions hold. A rank may
// open one only if a connection then remains for each higher rank, and one
// for cycles outside of transactions.
type permits struct {
	mu      sync.Mutex
	limit   int // connections of the pool
	held    int
	changed chan struct{} // closed when a permit was released or the limit changed
}

func newPermits(limit int) *permits {
	return &permits{limit: limit, changed: make(chan struct{})}
}

// acquire waits until the rank with that many higher ranks may hold one more
// connection.
func (p *permits) acquire(ctx context.Context, higher int) error {
	for {
		p.mu.Lock()
		if p.held < max(1, p.limit-higher-1) {
			p.held++
			p.mu.Unlock()
			return nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return endOf(ctx, errkind.Overloaded, "open transactions hold all connections that this rank may use")
		}
	}
}

func (p *permits) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
	p.signal()
}

func (p *permits) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.signal()
}

func (p *permits) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
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
