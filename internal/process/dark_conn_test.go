package process_test

import (
	"net"
	"os"
	"sync"
	"time"
)

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
