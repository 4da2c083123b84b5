package caller

import (
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/nbconn"
	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/lesismal/nbio"
)

// phase is the state of a connection.
type phase uint8

const (
	phaseStartup phase = iota // waiting for the StartupMessage
	phaseOpening              // Handler.Open is pending or running
	phaseReady                // cycles are accepted
	phaseLinger               // the last message was written; input is discarded
	phaseClosed               // the socket is closed
)

// lingerTimeout limits how long input is read and discarded on a connection
// that the server ends. Closing a socket with unread input resets the
// connection, and the caller may lose the error message that is in flight.
const lingerTimeout = time.Second

// conn is one caller connection. The struct is kept small, because most
// connections are idle most of the time.
type conn struct {
	srv    *Server
	nc     *nbio.Conn
	pid    uint32 // set by registry.add, then constant
	secret uint32 // set by registry.add, then constant

	// member counts, among others, the answer bytes that nbio has not yet written to
	// the socket.
	member limit.Member
	// answerHeld is what the unsent answer has taken from the budget.
	answerHeld atomic.Int64
	// writeBlocked is set while the connection waits until everything is sent.
	writeBlocked atomic.Bool

	mu                 sync.Mutex // guards the fields below
	phase              phase
	txStatus           byte  // transaction status after the last cycle
	running            bool  // a worker serves the connection
	writeTimerActive   bool  // the timer of WriteTimeout runs
	paused             bool  // not read, because the queue is full
	skippingToSync     bool  // discard messages up to Sync after a failed KindFlush cycle
	encryptionRequests uint8 // SSLRequest and GSSENCRequest packets received
	framer             Framer
	queued             []Cycle
	queuedBytes        int
	runningCost        int64                    // cost of the running cycle
	inputHeld          int64                    // what the input has taken from the budget, with the running cycle
	used               bool                     // a cycle has run
	startupMessage     *pgproto3.StartupMessage // set until Handler.Open is called with it
	negotiateVersion   bool                     // the caller requested a protocol version above 3.0
	fatalErr           error                    // ends the connection after the queued cycles
	session            any                      // set from Handler.Open to Handler.Close
}

func (c *conn) secretBytes() []byte {
	return binary.BigEndian.AppendUint32(nil, c.secret)
}

// onRead runs in an event loop of nbio.
func (c *conn) onRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read()
}

// read reads from the socket until it is empty or the queue of cycles is full.
// In edge-triggered mode, the next event comes only after the socket was
// drained or a read was short, so a paused connection is read by the worker
// that makes room in the queue. The caller holds c.mu.
func (c *conn) read() {
	c.readSocket()
	c.member.Incomplete(c.phase == phaseReady && c.framer.Buffered() > 0 && !c.paused)
}

func (c *conn) readSocket() {
	buf := c.srv.buffers.Get().(*[]byte)
	defer c.srv.buffers.Put(buf)
	for !c.paused && c.phase != phaseClosed {
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
		if c.phase != phaseLinger && c.fatalErr == nil {
			c.framer.Push((*buf)[:n])
			c.processPushed()
		}
		if n < len(*buf) {
			return
		}
	}
}

// processPushed processes received bytes, unless there is no memory for them. The caller
// holds c.mu.
func (c *conn) processPushed() {
	known := len(c.queued)
	c.processInput()
	if c.phase >= phaseLinger || c.holdInput() {
		return
	}
	c.srv.guard.Count(limit.Memory)
	c.dropInput(known)
	err := &SQLState{Code: "53200", Detail: "the memory for callers is used up"}
	if c.phase != phaseReady {
		c.endWithError(err)
		return
	}
	c.fatalErr = err
	if !c.running {
		c.srv.workers.Submit(c)
	}
}

// processInput splits buffered bytes into queued cycles. The caller holds c.mu.
func (c *conn) processInput() {
	if c.phase == phaseStartup {
		c.processStartup()
	}
	if c.phase != phaseReady {
		// Bytes after the StartupMessage stay buffered until Handler.Open has
		// returned; pausing limits their number.
		c.paused = c.phase == phaseOpening && c.framer.Buffered() > c.srv.opts.MaxQueuedBytes
		return
	}
	for c.fatalErr == nil {
		c.paused = len(c.queued) >= c.srv.opts.MaxQueuedCycles || c.queuedBytes >= c.srv.opts.MaxQueuedBytes
		if c.paused {
			break
		}
		cycle, ok, err := c.framer.Next()
		if err != nil {
			c.fatalErr = err
		}
		if !ok {
			break
		}
		c.queued = append(c.queued, cycle)
		c.queuedBytes += len(cycle.Messages)
	}
	if !c.running && (len(c.queued) > 0 || c.fatalErr != nil) {
		c.srv.workers.Submit(c)
	}
}

// processStartup handles the packets before the session starts. The caller
// holds c.mu.
func (c *conn) processStartup() {
	for c.phase == phaseStartup {
		packet, err := startupPacket(c.framer.buf)
		if err != nil {
			c.endWithError(err)
			return
		}
		if packet == nil {
			return
		}
		code := binary.BigEndian.Uint32(packet)
		switch code {
		case codeSSL, codeGSSENC:
			if len(packet) > 4 {
				c.endWithError(errkind.New(errkind.BadRequest, "encryption request has a body"))
				return
			}
			c.encryptionRequests++
			if c.encryptionRequests > maxEncryptionRequests {
				c.endWithError(errkind.New(errkind.BadRequest, "too many encryption requests"))
				return
			}
			c.write([]byte{'N'})
		case codeCancel:
			c.handleCancelRequest(packet)
			return
		default:
			msg, negotiate, err := decodeStartup(packet)
			switch {
			case err != nil:
			case c.srv.draining.Load():
				err = errkind.New(errkind.Draining, "the proxy is shutting down")
			case c.srv.registry.count() > c.srv.opts.MaxConnections:
				err = &SQLState{Code: "53300", Detail: "too many connections"}
			}
			if err != nil {
				c.endWithError(err)
				return
			}
			c.startupMessage, c.negotiateVersion, c.phase = msg, negotiate, phaseOpening
			c.srv.workers.Submit(c)
		}
		c.framer.drop(len(packet) + 4)
	}
}

// handleCancelRequest forwards a CancelRequest to the handler and closes the
// connection without an answer, as the protocol requires. The caller holds c.mu.
func (c *conn) handleCancelRequest(packet []byte) {
	var msg pgproto3.CancelRequest
	if err := msg.Decode(packet); err == nil {
		if target := c.srv.registry.find(msg.ProcessID, msg.SecretKey); target != nil {
			c.srv.cancelCalls.Add(1)
			go target.runCancel()
		}
	}
	c.phase = phaseLinger
	_ = c.nc.Close()
}

// runCancel calls Handler.Cancel outside the event loop.
func (c *conn) runCancel() {
	defer c.srv.cancelCalls.Done()
	c.mu.Lock()
	session := c.session
	c.mu.Unlock()
	if session != nil {
		workpool.Guard(c.srv.opts.Logger, func() { c.srv.opts.Handler.Cancel(c.srv.ctx, session) })
	}
}

// Work runs on a worker. It runs the queued cycles until none is left, until
// an earlier answer has to be sent first, or until other connections wait for a
// worker.
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
// be more. The caller holds c.mu, which step releases while a Handler function
// runs.
func (c *conn) step() bool {
	switch {
	case c.phase == phaseClosed:
		c.closeSession()
		return false
	case c.phase == phaseStartup:
		return false
	case c.phase == phaseLinger:
		if !c.blockedOnWrite() {
			nbconn.HalfClose(c.nc, lingerTimeout)
		}
		return false
	case c.phase == phaseOpening:
		c.open()
		return true
	case c.blockedOnWrite():
		return false
	case len(c.queued) > 0:
		c.runNext()
		return true
	case c.fatalErr != nil:
		c.endWithError(c.fatalErr)
	case c.srv.draining.Load() && c.txStatus == 'I':
		c.endWithError(errShutdown())
	}
	return false
}

// errShutdown returns the error for a connection that is ended while none of its
// cycles runs.
func errShutdown() error {
	return &SQLState{Code: "57P01", Detail: "terminating connection: the proxy is shutting down"}
}

// errOutcomeUnknown returns the error for a connection that is ended while one
// of its cycles runs.
func errOutcomeUnknown() error {
	return errkind.New(errkind.OutcomeUnknown, "terminating connection: the proxy stopped before the statement had ended")
}

// errPanic returns the error for a connection whose cycle ended in a panic.
func errPanic() error {
	return errkind.New(errkind.OutcomeUnknown, "terminating connection: internal error")
}

// blockedOnWrite reports whether an earlier answer has to be sent first. If so,
// onWritten submits the connection to the workers again. The caller holds c.mu.
func (c *conn) blockedOnWrite() bool {
	if c.member.Unsent() == 0 {
		return false
	}
	c.writeBlocked.Store(true)
	if c.member.Unsent() > 0 {
		c.startWriteTimer()
		return true
	}
	// The last byte was sent between the two checks. If onWritten has already
	// cleared the flag, its additional submission is harmless.
	c.writeBlocked.Store(false)
	return false
}

// startWriteTimer starts a timer, unless one is active, that closes the
// connection if the number of unsent bytes has not changed after WriteTimeout and
// restarts while bytes are sent. The caller holds c.mu.
func (c *conn) startWriteTimer() {
	if c.writeTimerActive {
		return
	}
	c.writeTimerActive = true
	before := c.member.Unsent()
	time.AfterFunc(c.srv.opts.WriteTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writeTimerActive = false
		switch remaining := c.member.Unsent(); {
		case remaining == 0 || c.phase == phaseClosed:
		case remaining == before:
			_ = c.nc.Close()
		default:
			c.startWriteTimer()
		}
	})
}

// onWritten accounts for n bytes written to the socket. It runs with the lock
// of nbio.Conn held, so it must not lock c.mu.
func (c *conn) onWritten(n int) {
	if c.member.AddUnsent(-n) > 0 {
		return
	}
	c.giveAnswer()
	if c.writeBlocked.CompareAndSwap(true, false) {
		c.srv.workers.Submit(c)
	}
}

// giveAnswer returns what the answer has taken from the budget.
func (c *conn) giveAnswer() { c.srv.guard.Give(c, c.answerHeld.Swap(0)) }

// open runs Handler.Open and completes the startup. The caller holds c.mu.
func (c *conn) open() {
	startup := Startup{Parameters: c.startupMessage.Parameters, ProcessID: c.pid, Remote: c.nc.RemoteAddr().String()}
	c.startupMessage = nil
	c.mu.Unlock()
	var opened Opened
	var err error = errkind.New(errkind.Internal, "starting the session failed")
	workpool.Guard(c.srv.opts.Logger, func() { opened, err = c.srv.opts.Handler.Open(c.srv.ctx, startup) })
	c.mu.Lock()
	if err != nil {
		c.endWithError(err)
		return
	}
	c.session = opened.Session
	if c.phase == phaseClosed {
		return // step calls closeSession next
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	c.phase, c.txStatus = phaseReady, 'I'
	c.srv.guard.Start(c)
	c.write(c.startupResponse(opened.Parameters))
	c.processInput()
	c.read()
}

// startupResponse returns the answer to the StartupMessage, up to ReadyForQuery.
func (c *conn) startupResponse(params []Parameter) []byte {
	var out []byte
	if c.negotiateVersion {
		out = mustEncode((&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: pgproto3.ProtocolVersion30}).Encode(out))
	}
	out = mustEncode((&pgproto3.AuthenticationOk{}).Encode(out))
	for _, p := range params {
		out = mustEncode((&pgproto3.ParameterStatus{Name: p.Name, Value: p.Value}).Encode(out))
	}
	out = mustEncode((&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secretBytes()}).Encode(out))
	return AppendReady(out, 'I')
}

// runNext runs the first queued cycle. The caller holds c.mu.
func (c *conn) runNext() {
	cycle := c.queued[0]
	c.queued[0] = Cycle{}
	c.queued = c.queued[1:]
	c.queuedBytes -= len(cycle.Messages)
	if len(c.queued) == 0 {
		c.queued = nil
	}
	c.runningCost = cycleCopies*int64(len(cycle.Messages)) + cycleOverhead
	defer func() { c.runningCost = 0 }()
	if c.paused {
		c.processInput()
		c.read()
	}
	if !c.used {
		c.used = true
		c.srv.guard.Use(c)
	}
	switch {
	case cycle.Kind == kindTerminate:
		_ = c.nc.Close()
		return
	case c.skippingToSync:
		if cycle.Kind == KindExtended { // only a Sync ends it; a Query is skipped without an answer
			c.skippingToSync = false
			c.write(AppendReady(nil, c.txStatus))
		}
		return
	}
	session := c.session
	c.mu.Unlock()
	var answer Answer
	returned := workpool.Guard(c.srv.opts.Logger, func() { answer = c.srv.opts.Handler.Run(c.srv.ctx, session, cycle) })
	c.mu.Lock()
	if !returned {
		c.endWithError(errPanic())
		return
	}
	if c.runningCost = 0; c.phase < phaseLinger {
		_ = c.holdInput() // never fails: less is held than before
	}
	c.txStatus = answer.TxStatus
	c.skippingToSync = cycle.Kind == KindFlush && answer.Failed
	if c.phase != phaseReady {
		return
	}
	c.write(answer.Messages)
	if answer.Close {
		c.linger()
	}
}

// closeSession calls Handler.Close if there is a session, at most once. The
// caller holds c.mu.
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

// write sends b; nbio buffers what does not fit into the socket's send buffer.
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
	c.answerHeld.Add(left)
	if c.member.Unsent() == 0 {
		c.giveAnswer() // it was sent before answerHeld was set
	}
}

// cycleCopies is how often a cycle is held while it runs: as received, as planned, as
// sent to the owner, as received there, and as sent to the server. cycleOverhead is what
// an empty cycle takes in the queue.
const (
	cycleCopies   = 5
	cycleOverhead = 64
)

// holdInput takes from the budget what the input of the connection occupies, or returns
// what it no longer does. It reports whether there was room. The caller holds c.mu.
func (c *conn) holdInput() bool {
	want := int64(cap(c.framer.buf)) + cycleCopies*int64(c.queuedBytes) + cycleOverhead*int64(len(c.queued)) + c.runningCost
	switch more := want - c.inputHeld; {
	case more > 0:
		if !c.srv.guard.Take(c, more) {
			return false
		}
	case more < 0:
		c.srv.guard.Give(c, -more)
	}
	c.inputHeld = want
	return true
}

// dropInput discards the input from the queued cycle i on. The caller holds c.mu.
func (c *conn) dropInput(i int) {
	for _, cycle := range c.queued[i:] {
		c.queuedBytes -= len(cycle.Messages)
	}
	clear(c.queued[i:])
	if c.queued = c.queued[:i]; i == 0 {
		c.queued = nil
	}
	c.framer.drop(len(c.framer.buf))
	if c.phase != phaseClosed {
		_ = c.holdInput() // never fails: less is held than before
	}
}

// abort closes the connection on behalf of the guard, which may hold up callers that
// have a lock: it must not lock c.mu.
func (c *conn) abort(limit.Reason) { _ = c.nc.Close() }

// endWithError sends a FATAL ErrorResponse and disconnects. The caller holds
// c.mu.
func (c *conn) endWithError(err error) {
	if c.phase >= phaseLinger {
		return
	}
	c.write(AppendError(nil, SeverityFatal, err))
	c.linger()
}

// linger ends the connection once the pending answer has been sent, and
// discards all further input. The caller holds c.mu.
func (c *conn) linger() {
	c.phase, c.paused = phaseLinger, false
	c.dropInput(0)
	if !c.blockedOnWrite() {
		nbconn.HalfClose(c.nc, lingerTimeout)
	}
	c.read()
}

// endIfIdle ends a connection that has no cycle, no transaction and no unsent
// answer, or that has not sent its StartupMessage.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.phase == phaseReady && !c.running && len(c.queued) == 0 && c.txStatus == 'I' && c.member.Unsent() == 0
	if idle || c.phase == phaseStartup {
		c.endWithError(errShutdown())
	}
}

// endNow ends a connection in any state, without waiting for the caller to read
// the error.
func (c *conn) endNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase >= phaseLinger || c.phase == phaseStartup:
	case c.running && c.phase == phaseReady:
		c.endWithError(errOutcomeUnknown())
	default:
		c.endWithError(errShutdown())
	}
	_ = c.nc.Close()
}

// onClose is called by nbio once, after the socket has been closed.
func (c *conn) onClose() {
	c.mu.Lock()
	c.phase = phaseClosed
	c.dropInput(0)
	submit := c.session != nil
	c.mu.Unlock()
	c.srv.registry.remove(c)
	c.srv.guard.Remove(c, addressOf(c.nc.RemoteAddr()))
	if submit {
		c.srv.workers.Submit(c)
	}
}
