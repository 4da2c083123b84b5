package standin

import (
	"net"
	"sync"
	"time"
)

// latencyQueue bounds the chunks in flight in one direction, like a window.
const latencyQueue = 1024

// latencyConn delays both directions of a connection by a constant, without
// limiting the throughput.
type latencyConn struct {
	net.Conn
	delay  time.Duration
	in     chan chunk
	rest   []byte // received and due, but not yet read
	err    error  // end of the input
	out    chan chunk
	mu     sync.Mutex // guards closing of out
	closed bool
	failed chan struct{} // closed when writing has ended
}

type chunk struct {
	due  time.Time
	data []byte
	err  error
}

func newLatencyConn(nc net.Conn, delay time.Duration) *latencyConn {
	c := &latencyConn{
		Conn: nc, delay: delay,
		in: make(chan chunk, latencyQueue), out: make(chan chunk, latencyQueue), failed: make(chan struct{}),
	}
	go c.runRead()
	go c.runWrite()
	return c
}

func (c *latencyConn) runRead() {
	defer close(c.in)
	for {
		buf := make([]byte, 4096)
		n, err := c.Conn.Read(buf)
		select {
		case c.in <- chunk{time.Now().Add(c.delay), buf[:n], err}:
		case <-c.failed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *latencyConn) runWrite() {
	defer close(c.failed)
	defer c.Conn.Close()
	for ch := range c.out {
		time.Sleep(time.Until(ch.due))
		if _, err := c.Conn.Write(ch.data); err != nil {
			return
		}
	}
}

// Read returns bytes that arrived at least delay ago.
func (c *latencyConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		ch, ok := <-c.in
		if !ok {
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(ch.due))
		c.rest, c.err = ch.data, ch.err
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write queues p, which is sent after delay.
func (c *latencyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	select {
	case c.out <- chunk{due: time.Now().Add(c.delay), data: append([]byte(nil), p...)}:
		return len(p), nil
	case <-c.failed:
		return 0, net.ErrClosed
	}
}

// Close closes the connection after everything that was written has been
// sent.
func (c *latencyConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		// A client that does not read must not hold up the close for ever.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.delay + time.Second))
		close(c.out)
	}
	return nil
}
