package lineserver

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/nbconn"
	"github.com/lesismal/nbio"
)

// lingerTime is how long a connection that the server ends is read and
// discarded, until the caller has closed it.
const lingerTime = time.Second

// conn is one caller connection.
type conn struct {
	srv    *Server
	nc     *nbio.Conn
	ctx    context.Context // ends when the caller leaves
	cancel context.CancelFunc

	mu      sync.Mutex
	buf     []byte   // an incomplete line
	waiting [][]byte // complete lines
	tooLong bool     // a line above the limit follows the waiting ones
	running bool     // a worker works on the connection
	paused  bool     // not read, because too many lines wait
	closed  bool     // the socket is closed
	ending  bool     // nothing more is run
	session any      // nil once Handler.Close was called
}

// onRead runs in an event loop of nbio.
func (c *conn) onRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read()
}

// read takes what the socket holds until enough lines wait. The caller holds mu.
func (c *conn) read() {
	buf := c.srv.buffers.Get().(*[]byte)
	defer c.srv.buffers.Put(buf)
	for !c.paused && !c.closed {
		n, err := c.nc.Read(*buf)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil || n <= 0:
			_ = c.nc.Close()
			return
		}
		if !c.ending {
			c.split((*buf)[:n])
		}
		if n < len(*buf) {
			return
		}
	}
}

// split turns bytes into waiting lines. The caller holds mu.
func (c *conn) split(b []byte) {
	for len(b) > 0 && !c.tooLong {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			c.buf = append(c.buf, b...)
			c.tooLong = len(c.buf) >= c.srv.opts.MaxLine
			break
		}
		line := append(c.buf, b[:i+1]...)
		c.buf, b = nil, b[i+1:]
		if c.tooLong = len(line) > c.srv.opts.MaxLine; !c.tooLong {
			c.waiting = append(c.waiting, bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")))
		}
	}
	c.paused = len(c.waiting) >= maxWaiting
	if !c.running && (len(c.waiting) > 0 || c.tooLong) {
		c.srv.workers.Submit(c)
	}
}

// Work runs on a worker. It runs the waiting lines until none is left.
func (c *conn) Work() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		return
	}
	c.running = true
	defer func() { c.running = false }()
	for c.step() {
		if c.srv.workers.Crowded() && c.srv.workers.Submit(c) {
			return
		}
	}
}

// step does one piece of work and reports whether there may be more. The caller
// holds mu, which step releases while a Handler function runs.
func (c *conn) step() bool {
	switch {
	case c.closed:
		c.closeSession()
		return false
	case c.ending:
		return false
	case len(c.waiting) > 0:
		c.runNext()
		return true
	case c.tooLong:
		c.write(c.srv.opts.Handler.TooLong(c.session))
		c.end()
	}
	return false
}

func (c *conn) runNext() {
	line := c.waiting[0]
	c.waiting[0] = nil
	if c.waiting = c.waiting[1:]; len(c.waiting) == 0 {
		c.waiting = nil
	}
	if c.paused {
		c.paused = false
		c.read()
	}
	session := c.session
	c.mu.Unlock()
	answer, keep := c.srv.opts.Handler.Line(c.ctx, session, line)
	c.mu.Lock()
	if c.closed {
		return
	}
	c.write(answer)
	if !keep {
		c.end()
	}
}

// write sends b, or lets nbio keep what the socket does not take now.
func (c *conn) write(b []byte) {
	if len(b) > 0 {
		_, _ = c.nc.Write(b) // a failed write closes the connection
	}
}

// end closes the connection after what was written. The caller holds mu.
func (c *conn) end() {
	c.ending = true
	c.waiting, c.buf = nil, nil
	nbconn.HalfClose(c.nc, lingerTime)
}

// closeIfIdle closes a connection without a waiting or running line whose
// session allows it.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.running || len(c.waiting) > 0 || len(c.buf) > 0 || c.tooLong {
		return
	}
	if c.ending || c.srv.opts.Handler.Idle(c.session) {
		_ = c.nc.Close()
	}
}

// closeSession calls Handler.Close once. The caller holds mu.
func (c *conn) closeSession() {
	session := c.session
	if session == nil {
		return
	}
	c.session = nil
	c.mu.Unlock()
	c.srv.opts.Handler.Close(session)
	c.mu.Lock()
}

// onClose is called by nbio once, after the socket was closed.
func (c *conn) onClose() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	c.waiting, c.buf = nil, nil
	c.mu.Unlock()
	c.srv.remove(c)
	c.srv.workers.Submit(c)
}
