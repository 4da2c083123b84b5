package gateway

import (
	"slices"
	"time"
)

// connWaiter is a statement that waits for a connection. ready has capacity 1;
// a nil value is permission to open a connection. It is closed with the pool.
type connWaiter struct {
	rank       int
	customer   string
	since      time.Time
	exchangeAt time.Time // when an idle connection of another customer may be exchanged for it
	exchanged  bool      // a connection was closed for it; written before ready is sent to
	ready      chan *pooledConn
}

// soonFree returns the number of connections of a customer that are probably returned
// soon. The caller holds mu.
func (p *pool) soonFree(customer string, now time.Time) int {
	n := 0
	for pc := range p.inUse {
		if pc.customer == customer && now.Sub(pc.usedSince) < soonFreeWithin {
			n++
		}
	}
	return n
}

// waitersOf returns the number of waiters of a customer. The caller holds mu.
func (p *pool) waitersOf(customer string) int {
	n := 0
	for _, w := range p.waiting {
		if w.customer == customer {
			n++
		}
	}
	return n
}

// permitDial reports whether a connection may be opened for the waiter now, and
// counts it then in open and dialling. If the limit is reached, it closes an idle
// connection of another customer. The caller holds mu.
func (p *pool) permitDial(w *connWaiter, now time.Time) bool {
	if p.mayOpen() {
		p.open++
		p.dialling++
		return true
	}
	if p.dialling >= maxDialling || now.Before(w.exchangeAt) {
		return false
	}
	victim := longestIdle(p.idle, w.customer)
	if victim < 0 {
		return false
	}
	pc := p.idle[victim]
	p.idle = slices.Delete(p.idle, victim, victim+1)
	p.exchange(pc, w)
	return true
}

// exchange closes a connection and counts the one that is opened for the waiter in its
// place. The caller holds mu.
func (p *pool) exchange(pc *pooledConn, w *connWaiter) {
	_ = pc.conn.Close()
	p.dialling++
	w.exchanged = true
}

// cancelWait removes a waiter that timed out. A connection or permission passed
// to it in the meantime is returned to the pool.
func (p *pool) cancelWait(w *connWaiter) {
	p.mu.Lock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	switch pc, open := <-w.ready; {
	case pc != nil:
		p.put(pc)
	case open:
		p.releaseDial(nil)
	}
}

// wakeWaiters permits waiters to open connections as far as the limits allow.
// The caller holds mu.
func (p *pool) wakeWaiters() {
	now := time.Now()
	for i := 0; i < len(p.waiting) && p.dialling < maxDialling; {
		if p.permitDial(p.waiting[i], now) {
			p.takeWaiter(i).ready <- nil
		} else {
			i++
		}
	}
}

// takeWaiter removes and returns a waiter. The caller holds mu.
func (p *pool) takeWaiter(i int) *connWaiter {
	w := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return w
}
