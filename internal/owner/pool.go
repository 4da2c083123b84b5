package owner

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// pool holds the connections to one server. A connection is idle, in use by a
// cycle or transaction, or being opened; openCount includes all three.
type pool struct {
	connect        func(ctx context.Context) (Conn, error)
	connectTimeout time.Duration // timeout of one call of connect
	dialSem        chan struct{} // semaphore: limits concurrent calls of connect

	mu         sync.Mutex
	limit      int
	openCount  int
	idle       []*pooledConn // the most recently used one is last
	inUse      map[*pooledConn]struct{}
	waiting    []chan *pooledConn // in order of arrival; nil is sent to let the waiter dial
	generation uint64             // incremented by retire
	closed     bool
}

func newPool(connect func(ctx context.Context) (Conn, error), limit, maxConcurrentDials int, timeout time.Duration) *pool {
	return &pool{
		connect: connect, limit: limit, connectTimeout: timeout,
		dialSem: make(chan struct{}, maxConcurrentDials), inUse: map[*pooledConn]struct{}{},
	}
}

// get returns an idle connection or opens one. It waits while the limit is
// reached. A failed connect gives an error of kind ConnectFailed.
func (p *pool) get(ctx context.Context) (*pooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errkind.New(errkind.NotOwner, "the lease of the server has ended")
	}
	if c := p.takeIdle(); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.openCount < p.limit {
		p.openCount++
		p.mu.Unlock()
		return p.dial(ctx)
	}
	w := make(chan *pooledConn, 1)
	p.waiting = append(p.waiting, w)
	p.mu.Unlock()
	select {
	case c := <-w:
		return p.acceptHandoff(ctx, c)
	case <-ctx.Done():
	}
	p.stopWaiting(w)
	return nil, contextError(ctx, errkind.DeadlineExceeded, "the deadline passed while waiting for a connection")
}

// acceptHandoff returns the connection that a waiter was handed. If it is nil,
// the waiter was handed the place of a closed connection in openCount and opens
// a new one.
func (p *pool) acceptHandoff(ctx context.Context, c *pooledConn) (*pooledConn, error) {
	if c != nil {
		return c, nil
	}
	return p.dial(ctx)
}

func (p *pool) stopWaiting(w chan *pooledConn) {
	p.mu.Lock()
	for i, other := range p.waiting {
		if other == w {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	// A connection or a place in openCount was handed over concurrently; pass it on.
	if c := <-w; c != nil {
		p.put(c, true)
	} else {
		p.releaseCount()
	}
}

// takeIdle returns the most recently used idle connection that is usable, or
// nil. It need not close the unusable ones, which hold no resources any more.
// p.mu is held.
func (p *pool) takeIdle() *pooledConn {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		if !c.conn.Closed() {
			p.inUse[c] = struct{}{}
			return c
		}
		p.openCount--
	}
	return nil
}

// dial opens a connection that openCount already includes.
func (p *pool) dial(ctx context.Context) (*pooledConn, error) {
	select {
	case p.dialSem <- struct{}{}:
	case <-ctx.Done():
		p.releaseCount()
		return nil, contextError(ctx, errkind.DeadlineExceeded, "the deadline passed while waiting to open a connection")
	}
	p.mu.Lock()
	c := &pooledConn{generation: p.generation}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		<-p.dialSem
		p.releaseCount()
		return nil, errkind.New(errkind.NotOwner, "the lease of the server has ended")
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	conn, err := p.connect(ctx)
	cancel()
	<-p.dialSem
	if err != nil {
		p.releaseCount()
		return nil, errkind.Wrap(errkind.ConnectFailed, err, "opening a connection")
	}
	c.conn = conn
	p.mu.Lock()
	p.inUse[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

// put returns a connection to the pool. It is kept only if it is clean: its
// last answer was complete and left no transaction open.
func (p *pool) put(c *pooledConn, clean bool) {
	p.mu.Lock()
	delete(p.inUse, c)
	if !clean || p.closed || c.generation != p.generation || c.conn.Closed() {
		p.mu.Unlock()
		c.conn.Close()
		p.releaseCount()
		return
	}
	if w := p.popWaiting(); w != nil {
		p.inUse[c] = struct{}{}
		p.mu.Unlock()
		w <- c
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// releaseCount removes a closed connection from openCount, or lets a waiter
// open a new one in its place.
func (p *pool) releaseCount() {
	p.mu.Lock()
	w := p.popWaiting()
	if w == nil {
		p.openCount--
	}
	p.mu.Unlock()
	if w != nil {
		w <- nil
	}
}

func (p *pool) popWaiting() chan *pooledConn {
	if len(p.waiting) == 0 {
		return nil
	}
	w := p.waiting[0]
	p.waiting = p.waiting[1:]
	return w
}

// warm opens one connection if fewer than n are idle and the limit allows it,
// so that cycles rarely wait for a connection to be opened.
func (p *pool) warm(ctx context.Context, n int) {
	p.mu.Lock()
	if p.closed || len(p.idle) >= n || p.openCount >= p.limit {
		p.mu.Unlock()
		return
	}
	p.openCount++
	p.mu.Unlock()
	if c, err := p.dial(ctx); err == nil {
		p.put(c, true)
	}
}

// retire closes the idle connections. Those in use are closed when they are
// put back.
func (p *pool) retire() {
	p.mu.Lock()
	p.generation++
	p.mu.Unlock()
	p.closeIdle()
}

// isRetired reports whether c was opened before the last call of retire.
func (p *pool) isRetired(c *pooledConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.generation != p.generation
}

// closeStuckAfter closes, once grace has passed, the connections whose current
// request is then still unanswered. It is called when one connection stopped
// answering although new ones work, or when the server no longer answers: a
// request on another such connection would hold a slot until its deadline.
func (p *pool) closeStuckAfter(grace time.Duration) {
	p.mu.Lock()
	requestNumbers := make(map[*pooledConn]uint64, len(p.inUse))
	for c := range p.inUse {
		requestNumbers[c] = c.requestNumber.Load()
	}
	p.mu.Unlock()
	time.AfterFunc(grace, func() {
		for c, number := range requestNumbers {
			if number%2 == 1 && c.requestNumber.Load() == number {
				c.conn.Close()
			}
		}
	})
}

// close closes the pool. Connections in use are closed when they are put back.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.conn.Close()
		p.releaseCount()
	}
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	p.mu.Unlock()
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}
