package relay_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// links opens the connections of one sender to connectors, and can freeze what they
// carry.
type links struct {
	mu    sync.Mutex
	conns []*link
}

// link is a connection whose received data can be withheld.
type link struct {
	net.Conn
	frozen   atomic.Bool
	received atomic.Int64
	sent     atomic.Int64
}

func (l *links) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	lk := &link{Conn: c}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, lk)
	return lk, nil
}

// freeze withholds all that arrives on the open connections from now on, as if the
// connectors were silent. What this host sends still arrives.
func (l *links) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.frozen.Store(true)
	}
}

// cut closes the open connections.
func (l *links) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

// bytes returns the number of bytes sent and received.
func (l *links) bytes() (sent, received int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		sent += c.sent.Load()
		received += c.received.Load()
	}
	return sent, received
}

func (c *link) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.frozen.Load() {
			c.received.Add(int64(n))
			return n, err
		}
	}
}

func (c *link) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
