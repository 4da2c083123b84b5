package operator

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// connLimiter limits the open connections. Above the limit, the connection that has had
// no request in progress for the longest time makes room for a new one; if there is
// none, the new one is closed.
type connLimiter struct {
	limit int // 0 for no limit
	count func(name string)

	mu    sync.Mutex
	open  map[net.Conn]*list.Element // nil while a request is in progress
	quiet list.List                  // of net.Conn without a request in progress, the longest first
}

// add adds a connection and returns the one to close, which may be the same; nil for
// none.
func (l *connLimiter) add(c net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[net.Conn]*list.Element)
	}
	var victim net.Conn
	if l.limit > 0 && len(l.open) >= l.limit {
		front := l.quiet.Front()
		if front == nil {
			return c
		}
		victim = front.Value.(net.Conn)
		l.remove(victim)
	}
	l.open[c] = l.quiet.PushBack(c)
	return victim
}

// changed is http.Server.ConnState.
func (l *connLimiter) changed(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.open[c]
	switch {
	case !ok:
	case state == http.StateActive && e != nil:
		l.quiet.Remove(e)
		l.open[c] = nil
	case state == http.StateIdle && e == nil:
		l.open[c] = l.quiet.PushBack(c)
	case state == http.StateClosed || state == http.StateHijacked:
		l.remove(c)
	}
}

// remove removes a connection. The caller holds mu.
func (l *connLimiter) remove(c net.Conn) {
	if e := l.open[c]; e != nil {
		l.quiet.Remove(e)
	}
	delete(l.open, c)
}

// limitedListener applies a connLimiter to a listener.
type limitedListener struct {
	net.Listener
	conns *connLimiter
}

// Accept returns the next connection that is within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		victim := l.conns.add(c)
		if victim != nil {
			l.conns.count("operators.refused.connections")
			_ = victim.Close()
		}
		if victim != c {
			return c, nil
		}
	}
}

// counterOf returns a function that counts in r, which may be nil. A counter is
// registered when it is first used.
func counterOf(r metrics.Registry) func(name string) {
	return func(name string) {
		if r != nil {
			metrics.GetOrRegisterCounter(name, r).Inc(1)
		}
	}
}
