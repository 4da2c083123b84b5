package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// connectTimeout bounds the opening of a connection. A server that is busy
	// answers within 200 ms.
	connectTimeout = 600 * time.Millisecond
	// opening bounds the connections to one server that are being opened: each
	// takes a slot of the server.
	opening = 2
	// keepIdle is how long a connection beyond the share of this host is kept.
	keepIdle = 2 * time.Second
	// fullPause is how long this host keeps to its share of the connections
	// after the server refused one for its limit.
	fullPause = 2 * time.Second
)

// pool holds the connections of this host to one server. Connections are idle,
// in use, or being opened; open counts all three.
type pool struct {
	connect func(ctx context.Context) (Conn, error)

	mu        sync.Mutex
	limit     int // connections that this host may open
	share     int // its equal part of the connections; it keeps so many without use
	open      int
	dialling  int
	idle      []*link // the last one was used last
	waiting   []*request
	fullUntil time.Time
	closed    bool
}

// request is a statement that waits for a connection. ready has capacity 1; a
// nil link is the right to open one.
type request struct {
	rank  int
	ready chan *link
}

func newPool(connect func(ctx context.Context) (Conn, error)) *pool {
	return &pool{connect: connect, limit: 1, share: 1}
}

// get returns the idle connection that fits the session best, or opens one.
// It waits if the limit is reached, the most urgent rank first.
func (p *pool) get(ctx context.Context, rank int, sess sessionState) (*link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errkind.New(errkind.ConnectFailed, "the server has left")
	}
	if l := p.takeIdle(sess); l != nil {
		p.mu.Unlock()
		return l, nil
	}
	if p.mayOpen() {
		p.open++
		p.dialling++
		p.mu.Unlock()
		return p.dial(ctx)
	}
	w := &request{rank: rank, ready: make(chan *link, 1)}
	at, _ := slices.BinarySearchFunc(p.waiting, rank+1, func(r *request, rank int) int { return r.rank - rank })
	p.waiting = slices.Insert(p.waiting, at, w)
	p.mu.Unlock()
	select {
	case l := <-w.ready:
		return p.accept(ctx, l)
	case <-ctx.Done():
	}
	p.leave(w)
	return nil, errkind.New(errkind.Overloaded, "no connection became free in time")
}

func (p *pool) mayOpen() bool {
	limit := p.limit
	if time.Now().Before(p.fullUntil) {
		limit = p.share
	}
	return p.open < limit && p.dialling < opening
}

func (p *pool) accept(ctx context.Context, l *link) (*link, error) {
	if l != nil {
		return l, nil
	}
	return p.dial(ctx)
}

// leave removes a request that gave up. What it was handed meanwhile is passed on.
func (p *pool) leave(w *request) {
	p.mu.Lock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if l := <-w.ready; l != nil {
		p.put(l)
	} else {
		p.dialled(nil)
	}
}

// takeIdle returns the connection with the least to change for the session.
func (p *pool) takeIdle(sess sessionState) *link {
	for len(p.idle) > 0 {
		best, cost := len(p.idle)-1, 3
		for i := len(p.idle) - 1; i >= 0; i-- {
			if c := p.idle[i].cost(sess); c < cost {
				best, cost = i, c
			}
			if cost == 0 {
				break
			}
		}
		l := p.idle[best]
		p.idle = slices.Delete(p.idle, best, best+1)
		if l.conn.Usable() {
			return l
		}
		p.open--
		_ = l.conn.Close()
	}
	return nil
}

// dial opens a connection that open and dialling already count.
func (p *pool) dial(ctx context.Context) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := p.connect(ctx)
	if err != nil {
		p.dialled(err)
		if errkind.Of(err) == errkind.Overloaded {
			return nil, errkind.Wrap(errkind.NoMember, err, "the server has no connection left")
		}
		return nil, errkind.Wrap(errkind.ConnectFailed, err, "opening a connection")
	}
	l := newLink(conn)
	p.mu.Lock()
	p.dialling--
	p.wake()
	p.mu.Unlock()
	return l, nil
}

// dialled ends the count of a connection that was not opened.
func (p *pool) dialled(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.dialling--
	if errkind.Of(err) == errkind.Overloaded {
		p.fullUntil = time.Now().Add(fullPause)
	}
	p.wake()
}

// wake lets waiting requests open connections. The caller holds mu.
func (p *pool) wake() {
	for len(p.waiting) > 0 && p.mayOpen() {
		p.open++
		p.dialling++
		p.pop().ready <- nil
	}
}

func (p *pool) pop() *request {
	w := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	return w
}

// put gives a connection back that has no transaction open.
func (p *pool) put(l *link) {
	p.mu.Lock()
	if p.closed || l.cut.Load() {
		p.mu.Unlock()
		p.drop(l)
		return
	}
	if len(p.waiting) > 0 {
		w := p.pop()
		p.mu.Unlock()
		w.ready <- l
		return
	}
	l.since = time.Now()
	p.idle = append(p.idle, l)
	p.mu.Unlock()
}

// drop closes a connection that can't be used again.
func (p *pool) drop(l *link) {
	_ = l.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wake()
}

// setLimits sets how many connections may be open and how many of them are
// kept without use.
func (p *pool) setLimits(limit, share int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.share = limit, share
	p.wake()
}

// trim closes idle connections beyond the share, so that other hosts find room,
// and those that are no longer usable.
func (p *pool) trim() {
	p.mu.Lock()
	var gone []*link
	kept := p.idle[:0]
	for i, l := range p.idle {
		surplus := p.open-len(gone) > p.share && time.Since(l.since) > keepIdle
		if surplus || !l.conn.Usable() {
			gone = append(gone, p.idle[i])
			continue
		}
		kept = append(kept, l)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, l := range gone {
		p.drop(l)
	}
}

// retire closes the idle connections: one of their kind proved silent.
func (p *pool) retire() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, l := range idle {
		p.drop(l)
	}
}

// close closes the pool; connections in use are closed when they come back.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	waiting := p.waiting
	p.waiting = nil
	p.open += len(waiting)
	p.dialling += len(waiting)
	p.mu.Unlock()
	for _, w := range waiting {
		w.ready <- nil // the attempt to connect fails
	}
	p.retire()
}

// size returns the open connections, and those of them that are idle.
func (p *pool) size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// probe opens a connection whatever the limits are.
func (p *pool) probe(ctx context.Context) (*link, error) {
	p.mu.Lock()
	p.open++
	p.dialling++
	p.mu.Unlock()
	return p.dial(ctx)
}
