package lineserver

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/lineframe"
	"github.com/arbutusring/arbutusring/internal/nbconn"
	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/lesismal/nbio"
)

// lingerTimeout limits how long input is read and discarded on a connection that
// the server ends, until the caller closes it.
const lingerTimeout = time.Second

// lineCopies is how often a line is held while it runs: as received, as parsed, and as
// sent to a server. lineOverhead is what an empty line takes in the queue.
const (
	lineCopies   = 3
	lineOverhead = 64
)

// conn is one caller connection.
type conn struct {
	srv    *Server
	nc     *nbio.Conn
	ctx    context.Context // cancelled when the connection is closed
	cancel context.CancelFunc
	member limit.Member

	// answerHeld is what the unsent answer has taken from the budget, and writeBlocked
	// is set while the next line waits until the answer is sent.
	answerHeld   atomic.Int64
	writeBlocked atomic.Bool
	queuedBytes  int32 // bytes of queued; guarded by mu, placed here for its size

	mu          sync.Mutex // guards the fields below
	input       lineframe.Splitter
	received    int64        // bytes of all lines so far
	queued      []Line       // complete lines that wait to be run
	runningCost int32        // cost of the running line
	inputHeld   int32        // what the input has taken from the budget, with the running line
	refused     limit.Reason // why the input after the queued lines is refused; None if it is not
	running     bool         // a worker serves the connection
	paused      bool         // not read, because the queue is full
	closed      bool         // the socket is closed
	ending      bool         // no further line is run; input is discarded
	halfClosed  bool         // the last answer was sent and the sending direction closed
	used        bool         // a line after the first one has run
	session     any          // set to nil before Handler.Close is called
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
	c.readSocket()
	c.member.Incomplete(c.hasPartialLine() && !c.paused)
}

func (c *conn) readSocket() {
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
	known := len(c.queued)
	for len(b) > 0 && c.refused == limit.None {
		text, rest, ok, err := c.input.Next(b)
		if err != nil {
			c.refuseInput(limit.TooLarge)
			break
		}
		if ok {
			begin := c.received
			c.received += int64(len(text) + len(lineframe.Ending))
			c.queued = append(c.queued, Line{Text: text, Begin: begin, End: c.received})
			c.queuedBytes += int32(len(text))
		}
		b = rest
	}
	if !c.holdInput() {
		c.dropFrom(known)
		c.refuseInput(limit.Memory)
		_ = c.holdInput() // never fails: less is held than before
	}
	c.paused = len(c.queued) >= maxQueuedLines || c.srv.opts.MaxQueuedBytes > 0 && int(c.queuedBytes) >= c.srv.opts.MaxQueuedBytes
	if !c.running && (len(c.queued) > 0 || c.refused != limit.None) {
		c.srv.workers.Submit(c)
	}
}

// hasPartialLine reports whether an incomplete line was received. The caller holds mu.
func (c *conn) hasPartialLine() bool { return len(c.input.Partial()) > 0 }

// refuseInput refuses all input after the queued lines. The caller holds mu.
func (c *conn) refuseInput(r limit.Reason) {
	c.refused = r
	c.input.Drop()
	c.srv.guard.Count(r)
}

// dropFrom removes the queued lines from index i on. The caller holds mu.
func (c *conn) dropFrom(i int) {
	for _, line := range c.queued[i:] {
		c.queuedBytes -= int32(len(line.Text))
	}
	clear(c.queued[i:])
	c.queued = c.queued[:i]
}

// holdInput takes from the budget what the input of the connection occupies, or returns
// what it no longer does. It reports whether there was room. The caller holds mu.
func (c *conn) holdInput() bool {
	want := int64(cap(c.input.Partial())) + lineCopies*int64(c.queuedBytes) + lineOverhead*int64(len(c.queued)) + int64(c.runningCost)
	switch more := want - int64(c.inputHeld); {
	case more > 0:
		if !c.srv.guard.Take(c, more) {
			return false
		}
	case more < 0:
		c.srv.guard.Give(c, -more)
	}
	c.inputHeld = int32(want)
	return true
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
	case c.blockedOnWrite():
		return false
	case c.ending:
		c.halfClose()
		return false
	case len(c.queued) > 0:
		c.runNext()
		return true
	case c.refused != limit.None:
		c.write(c.srv.opts.Handler.Refuse(c.refused))
		c.end()
	}
	return false
}

// runNext runs the first queued line. The caller holds mu.
func (c *conn) runNext() {
	line := c.queued[0]
	c.queued[0] = Line{}
	if c.queued = c.queued[1:]; len(c.queued) == 0 {
		c.queued = nil
	}
	c.queuedBytes -= int32(len(line.Text))
	c.runningCost = lineCopies*int32(len(line.Text)) + lineOverhead
	if c.paused {
		c.paused = false
		c.read()
	}
	if c.member.Started() && !c.used {
		c.used = true
		c.srv.guard.Use(c)
	}
	session := c.session
	c.mu.Unlock()
	var answer []byte
	var keep bool
	workpool.Guard(c.srv.opts.Logger, func() { answer, keep = c.srv.opts.Handler.Line(c.ctx, session, line) })
	c.mu.Lock()
	c.runningCost = 0
	if c.closed {
		return
	}
	_ = c.holdInput() // never fails: less is held than before
	c.write(answer)
	switch {
	case !keep:
		c.end()
	case !c.member.Started():
		c.srv.guard.Start(c)
		c.member.Incomplete(c.hasPartialLine() && !c.paused)
	}
}

// write sends b; nbio buffers what does not fit into the socket's send buffer. No line
// runs until that has been sent, which limits the memory to one answer. The caller holds
// mu.
func (c *conn) write(b []byte) {
	if len(b) == 0 {
		return
	}
	c.member.AddUnsent(len(b))
	_, _ = c.nc.Write(b) // a failed write closes the connection
	left := c.member.Unsent()
	if left <= 0 {
		return
	}
	if !c.srv.guard.Take(c, left) {
		c.srv.guard.Count(limit.Memory)
		_ = c.nc.Close()
		return
	}
	c.answerHeld.Store(left)
	if c.member.Unsent() == 0 {
		c.giveAnswer() // it was sent before answerHeld was set
	}
}

// giveAnswer returns what the answer has taken from the budget.
func (c *conn) giveAnswer() { c.srv.guard.Give(c, c.answerHeld.Swap(0)) }

// onWritten accounts for n bytes written to the socket. It runs with the lock of
// nbio.Conn held, so it must not lock mu.
func (c *conn) onWritten(n int) {
	if c.member.AddUnsent(-n) > 0 {
		return
	}
	c.giveAnswer()
	if c.writeBlocked.CompareAndSwap(true, false) {
		c.srv.workers.Submit(c)
	}
}

// blockedOnWrite reports whether an earlier answer has to be sent first. If so,
// onWritten submits the connection to the workers again. The caller holds mu.
func (c *conn) blockedOnWrite() bool {
	if c.member.Unsent() <= 0 {
		return false
	}
	c.writeBlocked.Store(true)
	if c.member.Unsent() > 0 {
		return true
	}
	// The last byte was sent between the two checks. If onWritten has already cleared
	// the flag, its additional submission is harmless.
	c.writeBlocked.Store(false)
	return false
}

// end closes the connection after the answers written so far. The caller holds mu.
func (c *conn) end() {
	c.ending = true
	c.dropInput()
	if !c.blockedOnWrite() {
		c.halfClose()
	}
	c.read()
}

// halfClose closes the connection after all answers were sent. The caller holds mu.
func (c *conn) halfClose() {
	if !c.halfClosed {
		c.halfClosed = true
		nbconn.HalfClose(c.nc, lingerTimeout)
	}
}

// dropInput discards the input. The caller holds mu.
func (c *conn) dropInput() {
	c.queued, c.queuedBytes, c.paused = nil, 0, false
	c.input.Drop()
	if !c.closed {
		_ = c.holdInput() // never fails: less is held than before
	}
}

// abort closes the connection on behalf of the guard, which may hold up callers that
// have a lock: it must not lock mu.
func (c *conn) abort(limit.Reason) { _ = c.nc.Close() }

// address returns the address of the caller.
func (c *conn) address() netip.Addr { return addressOf(c.nc.RemoteAddr()) }

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
	return c.running || len(c.queued) > 0 || c.hasPartialLine() || c.refused != limit.None && !c.ending || c.member.Unsent() > 0
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
	c.dropInput()
	c.mu.Unlock()
	c.srv.guard.Remove(c, c.address())
	c.srv.workers.Submit(c)
}
