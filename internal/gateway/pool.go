package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// connectTimeout bounds the opening of a connection. A busy server accepts
	// one within 200 ms.
	connectTimeout = 600 * time.Millisecond
	// maxDialling bounds the connections to one server that are being opened at
	// the same time: each occupies a slot of the server.
	maxDialling = 2
	// surplusIdleTime is how long an idle connection beyond the fair share of this
	// host is kept.
	surplusIdleTime = 2 * time.Second
	// scarceIdleTime is the same if there are fewer than two connections for each host. Then no
	// host may keep one, or the others never get any.
	scarceIdleTime = time.Second
	// fullBackoff is how long this host opens no connections beyond its fair share
	// after the server refused one because of its connection limit.
	fullBackoff = 2 * time.Second
)

// pool holds the connections of this host to one server. A connection is idle,
// in use or being opened; open counts all three. Each serves the statements of one
// customer only. If the limit is reached, an idle connection of another customer is
// closed and one is opened in its place: an exchange.
type pool struct {
	connect func(ctx context.Context, customer string) (Conn, error)
	hooks   poolHooks

	mu        sync.Mutex
	limit     int    // maximum of open
	fairShare int    // this host's equal part of the server's connections, at least 1
	scarce    bool   // there are fewer than two connections for each host; otherwise trim keeps fairShare open
	exact     bool   // no connection above limit is kept
	epoch     uint64 // grows with empty
	open      int
	dialling  int
	idle      []*pooledConn // most recently used last
	inUse     map[*pooledConn]struct{}
	waiting   []*connWaiter
	fullUntil time.Time
	closed    bool
	named     bool // a statement of a customer has asked for a connection
}

// errPoolClosed is the error of a statement whose server was removed.
func errPoolClosed() error {
	return errkind.New(errkind.ConnectFailed, "the connection pool of the server is closed")
}

// poolHooks are called for what happens to the connections of a pool.
type poolHooks struct {
	opened  func(customer string, exchanged bool)
	skipped func(statement.Source) // copies of earlier answers were skipped
}

func newPool(connect func(ctx context.Context, customer string) (Conn, error), hooks poolHooks) *pool {
	return &pool{connect: connect, hooks: hooks, limit: 1, fairShare: 1, inUse: make(map[*pooledConn]struct{})}
}

// get returns the idle connection of the customer that is cheapest to adapt to the
// session, or opens one. If the limit is reached it waits; waiters are served by
// rank, then in order of arrival. A returned connection goes to a waiter of its
// customer first.
func (p *pool) get(ctx context.Context, rank int, customer string, sess sessionState) (*pooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errPoolClosed()
	}
	p.named = p.named || customer != ""
	now := time.Now()
	if pc := p.takeIdle(customer, sess); pc != nil {
		p.use(pc, now)
		p.mu.Unlock()
		return pc, nil
	}
	delay := exchangeDelay(p.soonFree(customer, now), p.waitersOf(customer))
	w := &connWaiter{rank: rank, customer: customer, since: now, exchangeAt: now.Add(delay), ready: make(chan *pooledConn, 1)}
	if p.permitDial(w, now) {
		p.mu.Unlock()
		return p.dial(ctx, customer, w.exchanged)
	}
	at, _ := slices.BinarySearchFunc(p.waiting, rank+1, func(r *connWaiter, rank int) int { return r.rank - rank })
	p.waiting = slices.Insert(p.waiting, at, w)
	p.mu.Unlock()
	exchange := time.NewTimer(delay)
	defer exchange.Stop()
	for {
		select {
		case pc, open := <-w.ready:
			if !open {
				return nil, p.noConnection()
			}
			if pc != nil {
				return pc, nil
			}
			return p.dial(ctx, customer, w.exchanged)
		case <-exchange.C:
			p.mu.Lock()
			p.wakeWaiters()
			p.mu.Unlock()
		case <-ctx.Done():
			p.cancelWait(w)
			return nil, errkind.New(errkind.Overloaded, "no connection became free in time")
		}
	}
}

// noConnection returns the error of a statement whose wait was ended.
func (p *pool) noConnection() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errPoolClosed()
	}
	return errkind.New(errkind.NotOwner, "this host no longer connects to the server")
}

// logical returns a new logical connection. It costs nothing, so that there are no idle
// ones, and the limits do not apply to it.
func (p *pool) logical(conn RelayedConn, customer string) (*pooledConn, error) {
	pc := &pooledConn{conn: conn, relayed: conn, customer: customer}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolClosed()
	}
	p.use(pc, time.Now())
	return pc, nil
}

// use marks a connection as in use. The caller holds mu.
func (p *pool) use(pc *pooledConn, now time.Time) {
	pc.usedSince = now
	p.inUse[pc] = struct{}{}
}

// mayOpen reports whether another connection may be opened now. The caller holds
// mu.
func (p *pool) mayOpen() bool {
	limit := p.limit
	if time.Now().Before(p.fullUntil) {
		limit = p.fairShare
	}
	return p.open < limit && p.dialling < maxDialling
}

// takeIdle removes and returns the usable idle connection of the customer that is
// cheapest to adapt to the session, or nil. It closes unusable ones that it finds.
// The caller holds mu.
func (p *pool) takeIdle(customer string, sess sessionState) *pooledConn {
	for {
		best, cost := -1, 3 // 3 is above every adaptCost
		for i := len(p.idle) - 1; i >= 0 && cost > 0; i-- {
			if p.idle[i].customer != customer {
				continue
			}
			if c := p.idle[i].adaptCost(sess); c < cost {
				best, cost = i, c
			}
		}
		if best < 0 {
			return nil
		}
		pc := p.idle[best]
		p.idle = slices.Delete(p.idle, best, best+1)
		if pc.conn.Usable() {
			return pc
		}
		p.open--
		_ = pc.conn.Close()
	}
}

// dial opens a connection for a customer. The caller has counted it in open and
// dialling; exchanged reports whether it replaces one of another customer.
func (p *pool) dial(ctx context.Context, customer string, exchanged bool) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	conn, err := p.connect(ctx, customer)
	if err != nil {
		p.releaseDial(err)
		if errkind.Of(err) == errkind.Overloaded {
			return nil, errkind.Wrap(errkind.NoMember, err, "the server has no connection left")
		}
		return nil, errkind.Wrap(errkind.ConnectFailed, err, "opening a connection")
	}
	p.hooks.opened(customer, exchanged)
	pc := newPooledConn(conn, customer)
	pc.skipped = p.hooks.skipped
	p.mu.Lock()
	pc.epoch = epoch
	p.use(pc, time.Now())
	p.dialling--
	p.wakeWaiters()
	p.mu.Unlock()
	return pc, nil
}

// reopen closes a connection in use and opens another one in its place.
func (p *pool) reopen(ctx context.Context, pc *pooledConn) (*pooledConn, error) {
	_ = pc.conn.Close()
	p.mu.Lock()
	delete(p.inUse, pc)
	p.dialling++
	p.mu.Unlock()
	return p.dial(ctx, pc.customer, false)
}

// releaseDial uncounts a connection that was not opened. err is the cause, or
// nil if it was not tried.
func (p *pool) releaseDial(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.dialling--
	if errkind.Of(err) == errkind.Overloaded {
		p.fullUntil = time.Now().Add(fullBackoff)
	}
	p.wakeWaiters()
}

// put returns a connection without an open transaction to the pool. One that is spent is
// closed.
func (p *pool) put(pc *pooledConn) {
	p.mu.Lock()
	if p.closed || pc.relayed != nil || pc.aborted.Load() || pc.spent || pc.epoch != p.epoch || p.exact && p.open > p.limit {
		p.mu.Unlock()
		p.drop(pc)
		return
	}
	defer p.mu.Unlock()
	now := time.Now()
	if next := nextWaiter(p.waiting, pc.customer, p.dialling < maxDialling, now); next >= 0 {
		w := p.takeWaiter(next)
		if w.customer == pc.customer {
			p.use(pc, now)
			w.ready <- pc
			return
		}
		delete(p.inUse, pc)
		p.exchange(pc, w)
		w.ready <- nil
		return
	}
	pc.idleSince = now
	delete(p.inUse, pc)
	p.idle = append(p.idle, pc)
	p.wakeWaiters()
}

// putProbe returns a connection that was opened by dialIgnoringLimits. If there are
// customers it is closed: it serves none of them and would count against the limit.
func (p *pool) putProbe(pc *pooledConn) {
	p.mu.Lock()
	named := p.named
	p.mu.Unlock()
	if named {
		p.drop(pc)
		return
	}
	p.put(pc)
}

// drop closes a connection that must not be reused.
func (p *pool) drop(pc *pooledConn) {
	_ = pc.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, pc)
	if pc.relayed != nil {
		return
	}
	p.open--
	p.wakeWaiters()
}

// setLimits sets the maximum of open connections and the fair share of this host.
// scarce reports whether there are fewer than two connections for each host.
func (p *pool) setLimits(limit, share int, scarce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.fairShare, p.scarce, p.exact = limit, share, scarce, false
	p.wakeWaiters()
}

// setExactLimit sets the maximum of open connections of a connector. Idle connections
// above it are closed at once, because other connectors may open them now.
func (p *pool) setExactLimit(limit int) {
	p.mu.Lock()
	p.limit, p.fairShare, p.scarce, p.exact = limit, limit, false, true
	n := min(max(p.open-limit, 0), len(p.idle))
	surplus := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.wakeWaiters()
	p.mu.Unlock()
	for _, pc := range surplus {
		p.drop(pc)
	}
}

// empty closes the idle connections now and those in use when they are returned, and
// ends the waits, because the host does not connect to the server any more.
func (p *pool) empty() {
	p.mu.Lock()
	p.epoch++
	p.limit, p.fairShare, p.scarce, p.exact = 0, 0, false, true
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	for _, w := range waiting {
		close(w.ready)
	}
	p.closeIdle()
}

// trim closes idle connections that are unusable, and surplus ones beyond the
// fair share so that other hosts can connect.
func (p *pool) trim() {
	p.mu.Lock()
	keep, maxIdle := p.fairShare, surplusIdleTime
	if p.scarce {
		keep, maxIdle = 0, scarceIdleTime
	}
	var closing []*pooledConn
	kept := p.idle[:0]
	for i, pc := range p.idle {
		surplus := p.open-len(closing) > keep && time.Since(pc.idleSince) > maxIdle
		if surplus || !pc.conn.Usable() {
			closing = append(closing, p.idle[i])
			continue
		}
		kept = append(kept, pc)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, pc := range closing {
		p.drop(pc)
	}
}

// closeIdle closes all idle connections, for instance because the server has
// stopped responding.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, pc := range idle {
		p.drop(pc)
	}
}

// close closes the pool and its idle connections, and refuses the statements that
// wait for one: the address of the server may already belong to another one.
// Connections in use are closed when they are returned.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	for _, w := range waiting {
		close(w.ready)
	}
	p.closeIdle()
}

// abortInUse closes the connections that statements or transactions use.
func (p *pool) abortInUse() {
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.inUse))
	p.mu.Unlock()
	for _, pc := range conns {
		pc.abort()
	}
}

// byCustomer returns the numbers of connections in use and idle by customer.
func (p *pool) byCustomer() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int)
	for pc := range p.inUse {
		counts[pc.customer]++
	}
	for _, pc := range p.idle {
		counts[pc.customer]++
	}
	return counts
}

// size returns the numbers of open and of idle connections.
func (p *pool) size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// logicalInUse returns the number of logical connections.
func (p *pool) logicalInUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for pc := range p.inUse {
		if pc.relayed != nil {
			n++
		}
	}
	return n
}

// dialIgnoringLimits opens a connection even if the pool's limits are reached. It is
// opened for no customer.
func (p *pool) dialIgnoringLimits(ctx context.Context) (*pooledConn, error) {
	p.mu.Lock()
	p.open++
	p.dialling++
	p.mu.Unlock()
	return p.dial(ctx, "", false)
}
