package peer

import (
	"bufio"
	"net"
	"sync"
)

// maxPendingBytes limits the bytes that wait to be written to one connection;
// writers block above it.
const maxPendingBytes = 4 << 20

// readBufferBytes is enough for several typical messages.
const readBufferBytes = 16 << 10

// batchConn combines the writes of concurrent calls into as few system calls as
// possible: while one write is in progress, all others are appended to a buffer
// that the next write sends as a whole.
//
// Only loop writes to the wrapped connection. After Close it writes the pending
// bytes and then closes the connection.
type batchConn struct {
	net.Conn
	r *bufio.Reader // used by a single reading goroutine

	mu      sync.Mutex // guards the fields below
	changed sync.Cond  // with mu; signals a change of pending, err or closed
	pending []byte
	err     error
	closed  bool
}

func newBatchConn(conn net.Conn) *batchConn {
	c := &batchConn{Conn: conn, r: bufio.NewReaderSize(conn, readBufferBytes)}
	c.changed.L = &c.mu
	go c.loop()
	return c
}

// Read reads from the buffered connection. After Close it returns no data, so
// that a request which arrives during a shutdown is not executed.
func (c *batchConn) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write appends p to the pending bytes. It returns the error of an earlier write
// if that failed.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxPendingBytes && c.err == nil && !c.closed {
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

// Close makes loop write the pending bytes and close the connection. It does not
// wait for either.
func (c *batchConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return nil
}

// loop writes pending bytes until a write fails or the connection is closed.
func (c *batchConn) loop() {
	var buf []byte
	for {
		var open bool
		if buf, open = c.take(buf); !open {
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

// take waits for pending bytes and returns them; spare becomes the new, empty
// buffer. It returns false if the connection is closed and nothing is pending.
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
	if cap(spare) > maxPendingBytes {
		c.pending = nil // release the memory of an exceptionally large answer
	}
	c.changed.Broadcast()
	return buf, true
}

// fail stores the error for later calls of Write.
func (c *batchConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	c.changed.Broadcast()
}
