package standin

import (
	"net"
	"sync"
	"time"
)

// maxQueuedChunks limits the chunks in transit in each direction, like a TCP
// window.
const maxQueuedChunks = 1024

// latencyConn delays both directions of a connection by a constant without
// limiting throughput.
type latencyConn struct {
	net.Conn
	delay      time.Duration
	in         chan chunk
	unread     []byte // bytes of due chunks that have not been read yet
	err        error  // error that ended the input
	out        chan chunk
	mu         sync.Mutex // guards closed, and closing and sending on out
	closed     bool
	writerDone chan struct{} // closed when runWrite returns
}

// chunk is a piece of the byte stream that is delivered at due.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

func newLatencyConn(nc net.Conn, delay time.Duration) *latencyConn {
	c := &latencyConn{
		Conn: nc, delay: delay,
		in: make(chan chunk, maxQueuedChunks), out: make(chan chunk, maxQueuedChunks), writerDone: make(chan struct{}),
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
		case <-c.writerDone:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *latencyConn) runWrite() {
	defer close(c.writerDone)
	defer c.Conn.Close()
	for ch := range c.out {
		time.Sleep(time.Until(ch.due))
		if _, err := c.Conn.Write(ch.data); err != nil {
			return
		}
	}
}

// Read returns bytes that were received at least delay ago.
func (c *latencyConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		ch, ok := <-c.in
		if !ok {
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(ch.due))
		c.unread, c.err = ch.data, ch.err
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write queues p to be sent after delay.
func (c *latencyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	select {
	case c.out <- chunk{due: time.Now().Add(c.delay), data: append([]byte(nil), p...)}:
		return len(p), nil
	case <-c.writerDone:
		return 0, net.ErrClosed
	}
}

// Close closes the connection once all queued data has been sent.
func (c *latencyConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		// A client that does not read must not block the close indefinitely.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.delay + time.Second))
		close(c.out)
	}
	return nil
}
