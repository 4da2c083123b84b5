package caller

import (
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/nbconn"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/lesismal/nbio"
)

// phase is the state of a connection.
type phase uint8

const (
	phaseStartup phase = iota // waiting for the StartupMessage
	phaseOpening              // Handler.Open has to run
	phaseReady                // cycles are accepted
	phaseLinger               // the last message was sent; input is discarded
	phaseClosed               // the socket is closed
)

// lingerTime is how long a connection that the server ends is read and
// discarded. Closing a socket with unread input resets the connection, and
// the caller may lose the error message that is on its way.
const lingerTime = time.Second

// conn is one caller connection. It is kept small, because most connections
// are idle most of the time.
type conn struct {
	srv    *Server
	nc     *nbio.Conn
	pid    uint32 // set by registry.add, then constant
	secret uint32 // like pid

	// unsent is the number of bytes of answers that the socket has not taken.
	unsent atomic.Int64
	// parked is set while the connection waits for unsent to become 0.
	parked atomic.Bool

	mu           sync.Mutex
	phase        phase
	txStatus     byte // after the last cycle
	running      bool // a worker works on the connection
	watching     bool // the timer of the write timeout runs
	paused       bool // not read, because too many cycles wait
	skipping     bool // discard messages up to Sync after a failed flush
	encryption   uint8
	framer       Framer
	waiting      []Cycle
	waitingBytes int
	startup      *pgproto3.StartupMessage // from the StartupMessage to Handler.Open
	negotiate    bool                     // the caller asked for more than protocol 3.0
	fatal        error                    // end the connection after the waiting cycles
	session      any                      // set while Handler.Close is due
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

// read takes what the socket holds, until the session has enough waiting
// cycles. In edge-triggered mode a full drain or a short read is required
// before the next event, so a paused connection is read by the worker that
// makes room. Caller holds c.mu.
func (c *conn) read() {
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
		if c.phase != phaseLinger && c.fatal == nil {
			c.framer.Push((*buf)[:n])
			c.advance()
		}
		if n < len(*buf) {
			return
		}
	}
}

// advance turns buffered bytes into waiting cycles. Caller holds c.mu.
func (c *conn) advance() {
	if c.phase == phaseStartup {
		c.advanceStartup()
	}
	if c.phase != phaseReady {
		// Bytes after the StartupMessage wait for Handler.Open; the pause bounds them.
		c.paused = c.phase == phaseOpening && c.framer.Buffered() > c.srv.opts.MaxWaitingBytes
		return
	}
	for c.fatal == nil {
		c.paused = len(c.waiting) >= c.srv.opts.MaxWaiting || c.waitingBytes >= c.srv.opts.MaxWaitingBytes
		if c.paused {
			break
		}
		cycle, ok, err := c.framer.Next()
		if err != nil {
			c.fatal = err
		}
		if !ok {
			break
		}
		c.waiting = append(c.waiting, cycle)
		c.waitingBytes += len(cycle.Messages)
	}
	if !c.running && (len(c.waiting) > 0 || c.fatal != nil) {
		c.srv.workers.Submit(c)
	}
}

// advanceStartup handles packets before the session. Caller holds c.mu.
func (c *conn) advanceStartup() {
	for c.phase == phaseStartup {
		packet, err := startupPacket(c.framer.buf)
		if err != nil {
			c.end(err)
			return
		}
		if packet == nil {
			return
		}
		code := binary.BigEndian.Uint32(packet)
		switch code {
		case codeSSL, codeGSSENC:
			c.encryption++
			if c.encryption > maxEncryptionRequests {
				c.end(errkind.New(errkind.BadRequest, "too many encryption requests"))
				return
			}
			c.write([]byte{'N'})
		case codeCancel:
			c.cancelRequest(packet)
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
				c.end(err)
				return
			}
			c.startup, c.negotiate, c.phase = msg, negotiate, phaseOpening
			c.srv.workers.Submit(c)
		}
		c.framer.drop(len(packet) + 4)
	}
}

// cancelRequest passes a CancelRequest on and closes the connection without
// an answer, as the protocol requires. Caller holds c.mu.
func (c *conn) cancelRequest(packet []byte) {
	var msg pgproto3.CancelRequest
	if err := msg.Decode(packet); err == nil {
		if target := c.srv.registry.find(msg.ProcessID, msg.SecretKey); target != nil {
			c.srv.cancels.Add(1)
			go target.runCancel()
		}
	}
	c.phase = phaseLinger
	_ = c.nc.Close()
}

// runCancel calls Handler.Cancel outside of the event loop.
func (c *conn) runCancel() {
	defer c.srv.cancels.Done()
	c.mu.Lock()
	session := c.session
	c.mu.Unlock()
	if session != nil {
		c.srv.opts.Handler.Cancel(c.srv.ctx, session)
	}
}

// Work runs on a worker. It runs the waiting cycles until none is left, until
// an answer has to be sent first, or until other connections wait for a
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
		if c.srv.workers.Crowded() && c.srv.workers.Submit(c) {
			return
		}
	}
}

// step does one piece of work and reports whether there may be more. Caller
// holds c.mu, which step releases while a Handler function runs.
func (c *conn) step() bool {
	switch {
	case c.phase == phaseClosed:
		c.closeSession()
		return false
	case c.phase == phaseStartup:
		return false
	case c.phase == phaseLinger:
		if !c.mustPark() {
			nbconn.HalfClose(c.nc, lingerTime)
		}
		return false
	case c.phase == phaseOpening:
		c.open()
		return true
	case c.mustPark():
		return false
	case len(c.waiting) > 0:
		c.runNext()
		return true
	case c.fatal != nil:
		c.end(c.fatal)
	case c.srv.draining.Load() && c.txStatus == 'I':
		c.end(errShutdown())
	}
	return false
}

func errShutdown() error {
	return &SQLState{Code: "57P01", Detail: "terminating connection: the proxy is shutting down"}
}

// errCutOff is for a connection whose cycle is still running.
func errCutOff() error {
	return errkind.New(errkind.OutcomeUnknown, "terminating connection: the proxy stopped before the statement had ended")
}

// mustPark reports whether an earlier answer has to be sent first. onWritten
// submits a parked connection again. Caller holds c.mu.
func (c *conn) mustPark() bool {
	if c.unsent.Load() == 0 {
		return false
	}
	c.parked.Store(true)
	if c.unsent.Load() > 0 {
		c.watchWrites()
		return true
	}
	// The last byte was sent in between. If onWritten has already taken the
	// flag, its extra submission is harmless.
	c.parked.Store(false)
	return false
}

// watchWrites closes the connection if the number of unsent bytes is the same
// after WriteTimeout. Caller holds c.mu.
func (c *conn) watchWrites() {
	if c.watching {
		return
	}
	c.watching = true
	unsent := c.unsent.Load()
	time.AfterFunc(c.srv.opts.WriteTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.watching = false
		switch left := c.unsent.Load(); {
		case left == 0 || c.phase == phaseClosed:
		case left == unsent:
			_ = c.nc.Close()
		default:
			c.watchWrites()
		}
	})
}

// onWritten runs with the lock of nbio.Conn held, so it must not take c.mu.
func (c *conn) onWritten(n int) {
	if c.unsent.Add(-int64(n)) == 0 && c.parked.CompareAndSwap(true, false) {
		c.srv.workers.Submit(c)
	}
}

// open runs Handler.Open and completes the startup. Caller holds c.mu.
func (c *conn) open() {
	startup := Startup{Parameters: c.startup.Parameters, ProcessID: c.pid, Remote: c.nc.RemoteAddr().String()}
	c.startup = nil
	c.mu.Unlock()
	opened, err := c.srv.opts.Handler.Open(c.srv.ctx, startup)
	c.mu.Lock()
	if err != nil {
		c.end(err)
		return
	}
	c.session = opened.Session
	if c.phase == phaseClosed {
		return // step calls closeSession next
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	c.phase, c.txStatus = phaseReady, 'I'
	c.write(c.welcome(opened.Parameters))
	c.advance()
	c.read()
}

func (c *conn) welcome(params []Parameter) []byte {
	var out []byte
	if c.negotiate {
		out = must((&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: pgproto3.ProtocolVersion30}).Encode(out))
	}
	out = must((&pgproto3.AuthenticationOk{}).Encode(out))
	for _, p := range params {
		out = must((&pgproto3.ParameterStatus{Name: p.Name, Value: p.Value}).Encode(out))
	}
	out = must((&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secretBytes()}).Encode(out))
	return AppendReady(out, 'I')
}

// runNext runs the first waiting cycle. Caller holds c.mu.
func (c *conn) runNext() {
	cycle := c.waiting[0]
	c.waiting[0] = Cycle{}
	c.waiting = c.waiting[1:]
	c.waitingBytes -= len(cycle.Messages)
	if len(c.waiting) == 0 {
		c.waiting = nil
	}
	if c.paused {
		c.advance()
		c.read()
	}
	switch {
	case cycle.Kind == kindTerminate:
		_ = c.nc.Close()
		return
	case c.skipping:
		if cycle.Kind != KindFlush {
			c.skipping = false
			c.write(AppendReady(nil, c.txStatus))
		}
		return
	}
	session := c.session
	c.mu.Unlock()
	answer := c.srv.opts.Handler.Run(c.srv.ctx, session, cycle)
	c.mu.Lock()
	c.txStatus = answer.TxStatus
	c.skipping = cycle.Kind == KindFlush && answer.Failed
	if c.phase != phaseReady {
		return
	}
	c.write(answer.Messages)
	if answer.Close {
		c.linger()
	}
}

// closeSession calls Handler.Close once. Caller holds c.mu.
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

// write sends b, or lets nbio keep what the socket does not take now.
func (c *conn) write(b []byte) {
	if len(b) == 0 {
		return
	}
	c.unsent.Add(int64(len(b)))
	_, _ = c.nc.Write(b) // a failed write closes the connection
}

// end sends a FATAL ErrorResponse and disconnects. Caller holds c.mu.
func (c *conn) end(err error) {
	if c.phase >= phaseLinger {
		return
	}
	c.write(AppendError(nil, SeverityFatal, err))
	c.linger()
}

// linger ends the connection after the pending answer: input is discarded from
// now on. Caller holds c.mu.
func (c *conn) linger() {
	c.phase, c.paused = phaseLinger, false
	c.waiting, c.waitingBytes = nil, 0
	c.framer.buf = nil
	if !c.mustPark() {
		nbconn.HalfClose(c.nc, lingerTime)
	}
	c.read()
}

// endIfIdle ends a connection that has no cycle, no transaction and no unsent
// answer.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.phase == phaseReady && !c.running && len(c.waiting) == 0 && c.txStatus == 'I' && c.unsent.Load() == 0
	if idle || c.phase == phaseStartup {
		c.end(errShutdown())
	}
}

// endNow ends a connection whatever it does.
func (c *conn) endNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase >= phaseLinger || c.phase == phaseStartup:
	case c.running && c.phase == phaseReady:
		c.end(errCutOff())
	default:
		c.end(errShutdown())
	}
	_ = c.nc.Close()
}

// onClose is called by nbio once, after the socket was closed.
func (c *conn) onClose() {
	c.mu.Lock()
	c.phase = phaseClosed
	c.waiting, c.waitingBytes = nil, 0
	c.framer.buf = nil
	submit := c.session != nil
	c.mu.Unlock()
	c.srv.registry.remove(c)
	if submit {
		c.srv.workers.Submit(c)
	}
}
