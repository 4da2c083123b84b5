package owner

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// pool holds the connections of one server. A connection is idle, in use by a
// cycle or transaction, or being opened; open counts all three.
type pool struct {
	connect func(ctx context.Context) (Conn, error)
	timeout time.Duration // of connect
	opening chan struct{} // bounds the connections that are being opened

	mu         sync.Mutex
	limit      int
	open       int
	idle       []*pooledConn // the last one was used last
	used       map[*pooledConn]struct{}
	waiting    []chan *pooledConn
	generation uint64
	closed     bool
}

func newPool(connect func(ctx context.Context) (Conn, error), limit, opening int, timeout time.Duration) *pool {
	return &pool{
		connect: connect, limit: limit, timeout: timeout,
		opening: make(chan struct{}, opening), used: map[*pooledConn]struct{}{},
	}
}

// get returns an idle connection or opens one. It waits if the limit is
// reached. The error is of kind ConnectFailed unless ctx ended.
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
	if p.open < p.limit {
		p.open++
		p.mu.Unlock()
		return p.dial(ctx)
	}
	w := make(chan *pooledConn, 1)
	p.waiting = append(p.waiting, w)
	p.mu.Unlock()
	select {
	case c := <-w:
		return p.accept(ctx, c)
	case <-ctx.Done():
	}
	p.stopWaiting(w)
	return nil, endOf(ctx, errkind.DeadlineExceeded, "the deadline passed while waiting for a connection")
}

// accept takes what a waiter was handed: a connection, or the right to open
// one.
func (p *pool) accept(ctx context.Context, c *pooledConn) (*pooledConn, error) {
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
	// It was handed something at the same time: pass it on.
	if c := <-w; c != nil {
		p.put(c, true)
	} else {
		p.drop()
	}
}

// takeIdle closes nothing itself: a connection that was found closed has no
// resources left.
func (p *pool) takeIdle() *pooledConn {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		if !c.conn.Closed() {
			p.used[c] = struct{}{}
			return c
		}
		p.open--
	}
	return nil
}

// dial opens a connection that open already counts.
func (p *pool) dial(ctx context.Context) (*pooledConn, error) {
	select {
	case p.opening <- struct{}{}:
	case <-ctx.Done():
		p.drop()
		return nil, endOf(ctx, errkind.DeadlineExceeded, "the deadline passed while waiting to open a connection")
	}
	p.mu.Lock()
	c := &pooledConn{generation: p.generation}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		<-p.opening
		p.drop()
		return nil, errkind.New(errkind.NotOwner, "the lease of the server has ended")
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	conn, err := p.connect(ctx)
	cancel()
	<-p.opening
	if err != nil {
		p.drop()
		return nil, errkind.Wrap(errkind.ConnectFailed, err, "opening a connection")
	}
	c.conn = conn
	p.mu.Lock()
	p.used[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

// put gives a connection back. It is kept only if it is clean, that is if its
// last answer came completely and left no transaction open.
func (p *pool) put(c *pooledConn, clean bool) {
	p.mu.Lock()
	delete(p.used, c)
	if !clean || p.closed || c.generation != p.generation || c.conn.Closed() {
		p.mu.Unlock()
		c.conn.Close()
		p.drop()
		return
	}
	if w := p.popWaiting(); w != nil {
		p.used[c] = struct{}{}
		p.mu.Unlock()
		w <- c
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// drop ends the count of a connection; a waiter may open one instead.
func (p *pool) drop() {
	p.mu.Lock()
	w := p.popWaiting()
	if w == nil {
		p.open--
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
// so that cycles rarely wait for a connect.
func (p *pool) warm(ctx context.Context, n int) {
	p.mu.Lock()
	if p.closed || len(p.idle) >= n || p.open >= p.limit {
		p.mu.Unlock()
		return
	}
	p.open++
	p.mu.Unlock()
	if c, err := p.dial(ctx); err == nil {
		p.put(c, true)
	}
}

// retire closes the idle connections and lets no present one return.
func (p *pool) retire() {
	p.mu.Lock()
	p.generation++
	p.mu.Unlock()
	p.closeIdle()
}

// isRetired reports whether c is older than the last call of retire.
func (p *pool) isRetired(c *pooledConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.generation != p.generation
}

// cutOff closes, after grace, the connections whose present request is then
// still under way. It is called when a connection was found silent while new
// ones work: a request on another silent one would block a slot until its
// deadline.
func (p *pool) cutOff(grace time.Duration) {
	p.mu.Lock()
	used := make(map[*pooledConn]uint64, len(p.used))
	for c := range p.used {
		used[c] = c.number.Load()
	}
	p.mu.Unlock()
	time.AfterFunc(grace, func() {
		for c, number := range used {
			if number%2 == 1 && c.number.Load() == number {
				c.conn.Close()
			}
		}
	})
}

// close closes the pool; connections in use are closed when they come back.
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
		p.drop()
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
	return p.open
}
