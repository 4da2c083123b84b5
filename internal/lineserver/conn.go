package lineserver

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/nbconn"
	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/lesismal/nbio"
)

// lingerTimeout limits how long input is read and discarded on a connection that
// the server ends, until the caller closes it.
const lingerTimeout = time.Second

// conn is one caller connection.
type conn struct {
	srv    *Server
	nc     *nbio.Conn
	ctx    context.Context // cancelled when the connection is closed
	cancel context.CancelFunc

	mu          sync.Mutex // guards the fields below
	partialLine []byte     // incomplete line at the end of the input
	queued      [][]byte   // complete lines that wait to be run
	tooLong     bool       // the line after the queued ones exceeds MaxLineBytes
	running     bool       // a worker serves the connection
	paused      bool       // not read, because the queue is full
	closed      bool       // the socket is closed
	ending      bool       // no further line is run; input is discarded
	session     any        // set to nil before Handler.Close is called
}

// onRead runs in an event loop of nbio.
func (c *conn) onRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read()
}

// read reads from the socket until it is empty or the queue of lines is full.
// The caller holds mu.
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
			c.splitLines((*buf)[:n])
		}
		if n < len(*buf) {
			return
		}
	}
}

// splitLines splits received bytes into queued lines. The caller holds mu.
func (c *conn) splitLines(b []byte) {
	for len(b) > 0 && !c.tooLong {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			c.partialLine = append(c.partialLine, b...)
			c.tooLong = len(c.partialLine) >= c.srv.opts.MaxLineBytes
			break
		}
		line := append(c.partialLine, b[:i+1]...)
		c.partialLine, b = nil, b[i+1:]
		if c.tooLong = len(line) > c.srv.opts.MaxLineBytes; !c.tooLong {
			c.queued = append(c.queued, bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")))
		}
	}
	c.paused = len(c.queued) >= maxQueuedLines
	if !c.running && (len(c.queued) > 0 || c.tooLong) {
		c.srv.workers.Submit(c)
	}
}

// Work runs on a worker. It runs the queued lines until none is left or until
// other connections wait for a worker.
func (c *conn) Work() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		return
	}
	c.running = true
	defer func() { c.running = false }()
	for c.step() {
		if c.srv.workers.HasQueuedTasks() && c.srv.workers.Submit(c) {
			return
		}
	}
}

// step performs the next action of the connection and reports whether there may
// be more. The caller holds mu, which step releases while Handler.Line or
// Handler.Close runs.
func (c *conn) step() bool {
	switch {
	case c.closed:
		c.closeSession()
		return false
	case c.ending:
		return false
	case len(c.queued) > 0:
		c.runNext()
		return true
	case c.tooLong:
		c.write(c.srv.opts.Handler.TooLong(c.session))
		c.end()
	}
	return false
}

// runNext runs the first queued line. The caller holds mu.
func (c *conn) runNext() {
	line := c.queued[0]
	c.queued[0] = nil
	if c.queued = c.queued[1:]; len(c.queued) == 0 {
		c.queued = nil
	}
	if c.paused {
		c.paused = false
		c.read()
	}
	session := c.session
	c.mu.Unlock()
	var answer []byte
	var keep bool
	workpool.Guard(c.srv.opts.Logger, func() { answer, keep = c.srv.opts.Handler.Line(c.ctx, session, line) })
	c.mu.Lock()
	if c.closed {
		return
	}
	c.write(answer)
	if !keep {
		c.end()
	}
}

// write sends b; nbio buffers what does not fit into the socket's send buffer.
func (c *conn) write(b []byte) {
	if len(b) > 0 {
		_, _ = c.nc.Write(b) // a failed write closes the connection
	}
}

// end closes the connection after the answers written so far. The caller holds mu.
func (c *conn) end() {
	c.ending = true
	c.queued, c.partialLine = nil, nil
	nbconn.HalfClose(c.nc, lingerTimeout)
}

// closeIfIdle closes the connection if no line is queued, running or incomplete,
// and the session is idle or the connection is ending. It first reads what has
// arrived: the event loop may not have read it yet, and closing the socket would
// discard it.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.hasWork() || !c.ending && !c.srv.opts.Handler.Idle(c.session) {
		return
	}
	if c.read(); !c.hasWork() {
		_ = c.nc.Close()
	}
}

// hasWork reports whether a line is queued, running or incomplete. The caller
// holds mu.
func (c *conn) hasWork() bool {
	return c.running || len(c.queued) > 0 || len(c.partialLine) > 0 || c.tooLong
}

// closeSession calls Handler.Close if it was not called yet. The caller holds mu.
func (c *conn) closeSession() {
	session := c.session
	if session == nil {
		return
	}
	c.session = nil
	c.mu.Unlock()
	workpool.Guard(c.srv.opts.Logger, func() { c.srv.opts.Handler.Close(session) })
	c.mu.Lock()
}

// onClose is called by nbio once, after the socket has been closed.
func (c *conn) onClose() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	c.queued, c.partialLine = nil, nil
	c.mu.Unlock()
	c.srv.remove(c)
	c.srv.workers.Submit(c)
}
