package process_test

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/process"
)

// darkNetwork connects processes and can make addresses dark: nothing reaches them
// and nothing comes from them, as after a loss of power, and no connection ends.
type darkNetwork struct {
	mu   sync.Mutex
	dark map[string]bool
}

func newDarkNetwork() *darkNetwork { return &darkNetwork{dark: make(map[string]bool)} }

// setDark makes the addresses dark, or reachable again.
func (n *darkNetwork) setDark(dark bool, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.dark[a] = dark
	}
}

// cut reports whether nothing passes between two addresses.
func (n *darkNetwork) cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return from != to && (n.dark[from] || n.dark[to])
}

// dialFrom returns the dial function of the process at an address.
func (n *darkNetwork) dialFrom(from string) process.DialFunc {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if n.cut(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", to)
		if err != nil {
			return nil, err
		}
		return &darkConn{Conn: conn, cut: func() bool { return n.cut(from, to) }, closed: make(chan struct{})}, nil
	}
}

// darkConn is a connection whose reads and writes wait while its addresses are cut
// off from each other.
type darkConn struct {
	net.Conn
	cut       func() bool
	closeOnce sync.Once
	closed    chan struct{}

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
}

func (c *darkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.wait(func() time.Time { return c.readDeadline }); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *darkConn) Write(p []byte) (int, error) {
	if err := c.wait(func() time.Time { return c.writeDeadline }); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// wait waits while the connection is cut, but not longer than the deadline.
func (c *darkConn) wait(deadline func() time.Time) error {
	for c.cut() {
		c.mu.Lock()
		end := deadline()
		c.mu.Unlock()
		if !end.IsZero() && !time.Now().Before(end) {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(2 * time.Millisecond):
		}
	}
	return nil
}

func (c *darkConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *darkConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

func (c *darkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
