package peer

import (
	"bufio"
	"net"
	"sync"
)

// maxPending bounds the bytes that wait to be written on one connection;
// writers block beyond it.
const maxPending = 4 << 20

// readBuffer holds several usual messages, in bytes.
const readBuffer = 16 << 10

// batchConn collects the writes of concurrent calls and passes them on in as
// few system calls as possible: while one write is under way, all others
// gather in a buffer that the next write takes whole.
//
// loop is the only writer of the wrapped connection. Close lets it write what
// is pending, then closes the connection.
type batchConn struct {
	net.Conn
	r *bufio.Reader // used by the one reading goroutine

	mu      sync.Mutex // guards the fields below
	changed sync.Cond  // on mu: pending, err or closed has changed
	pending []byte
	err     error
	closed  bool
}

func newBatchConn(conn net.Conn) *batchConn {
	c := &batchConn{Conn: conn, r: bufio.NewReaderSize(conn, readBuffer)}
	c.changed.L = &c.mu
	go c.loop()
	return c
}

// Read reads through the buffer. After Close it delivers nothing more, so that
// a request which arrives during a shutdown is not executed.
func (c *batchConn) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write queues p. It returns the error of an earlier write, if there was one.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxPending && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.err != nil {
		return 0, c.err
	}
	c.pending = append(c.pending, p...)
	c.changed.Broadcast()
	return len(p), nil
}

// Close writes what is pending and closes the connection without waiting for
// either.
func (c *batchConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return nil
}

// loop writes until the connection fails or is closed.
func (c *batchConn) loop() {
	var buf []byte
	for {
		var more bool
		if buf, more = c.take(buf); !more {
			_ = c.Conn.Close()
			return
		}
		if _, err := c.Conn.Write(buf); err != nil {
			c.fail(err)
			_ = c.Conn.Close()
			return
		}
	}
}

// take waits for pending bytes and exchanges them for the empty buffer spare.
// It returns false when the connection is closed and nothing is pending.
func (c *batchConn) take(spare []byte) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && !c.closed {
		c.changed.Wait()
	}
	if len(c.pending) == 0 {
		return nil, false
	}
	buf := c.pending
	c.pending = spare[:0]
	if cap(spare) > maxPending {
		c.pending = nil // release the memory of an exceptionally large answer
	}
	c.changed.Broadcast()
	return buf, true
}

func (c *batchConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	c.changed.Broadcast()
}
