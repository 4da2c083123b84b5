package standin

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushAfter bounds the rows that are buffered before they are sent.
const flushAfter = 1000

// errTerminated ends a connection whose client has sent Terminate.
var errTerminated = errors.New("terminated by the client")

// conn is one client connection. It is used by its own goroutine, except for
// the fields that mu guards and for stream.
type conn struct {
	srv     *Server
	stream  *faultConn
	backend *pgproto3.Backend
	ctx     context.Context // ends when the server is aborted or the connection is closed
	cancel  context.CancelFunc

	pid         uint32
	secret      uint32
	replication bool
	admitted    bool // counts towards the connection limit; guarded by Server.mu

	tx         *transaction // nil outside a transaction
	statements map[string]*prepared
	portals    map[string]*portal
	skipping   bool // an error occurred; messages are ignored up to Sync
	wrote      bool // the cycle has committed changes
	touched    bool // the cycle has accessed tables
	buffered   int  // rows since the last flush

	mu            sync.Mutex
	idle          bool               // waits for a cycle outside a transaction
	cancelRunning context.CancelFunc // ends the running statement; nil if none runs
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(s.ctx)
	c := &conn{
		srv: s, ctx: ctx, cancel: cancel,
		stream:     newFaultConn(ctx, nc, s.faults),
		statements: make(map[string]*prepared),
		portals:    make(map[string]*portal),
	}
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // never fails
	c.secret = binary.BigEndian.Uint32(secret[:])
	c.backend = pgproto3.NewBackend(c.stream, c.stream)
	return c
}

// run serves the connection until it ends.
func (c *conn) run() {
	defer c.srv.remove(c)
	defer c.cancel()
	stop := context.AfterFunc(c.ctx, func() { _ = c.stream.Close() })
	defer stop()
	defer c.stream.Close()
	defer func() { c.rollback() }()
	if err := c.startup(); err != nil {
		return
	}
	if err := c.loop(); err != nil && !errors.Is(err, errTerminated) {
		c.srv.opts.Log.Debug().Err(err).Uint32("pid", c.pid).Msg("connection ended")
	}
}

// startup answers the startup message.
func (c *conn) startup() error {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.stream.Write([]byte{'N'}); err != nil {
				return err
			}
		case *pgproto3.CancelRequest:
			c.srv.cancelStatement(msg.ProcessID, binary.BigEndian.Uint32(msg.SecretKey))
			return errTerminated
		case *pgproto3.StartupMessage:
			return c.welcome(msg)
		}
	}
}

// welcome completes the startup.
func (c *conn) welcome(msg *pgproto3.StartupMessage) error {
	c.replication = msg.Parameters["replication"] == "true"
	// The handshake of TCP takes one round trip, which the latency of the
	// stream does not include.
	delay := c.srv.faults.delay(FaultConnectDelay) + 2*c.srv.opts.Latency
	if err := sleep(c.ctx, delay); err != nil {
		return err
	}
	if !c.replication {
		if err := c.srv.admit(c); err != nil {
			c.backend.Send(errorResponse(err, "FATAL"))
			return errors.Join(err, c.backend.Flush())
		}
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: binary.BigEndian.AppendUint32(nil, c.secret)})
	return c.ready()
}

// loop reads and answers messages.
func (c *conn) loop() error {
	for {
		if c.awaitCycle(); c.srv.isStopping() && c.isIdle() {
			return c.shutdown()
		}
		msg, err := c.backend.Receive()
		if err != nil {
			if c.srv.isStopping() && c.isIdle() {
				return c.shutdown()
			}
			return err
		}
		if err := c.endIdle(); err != nil {
			return err
		}
		if err := c.handle(msg); err != nil {
			return err
		}
	}
}

// handle answers one message. An error ends the connection.
func (c *conn) handle(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		if c.skipping {
			return nil // as PostgreSQL does: only Sync ends the skipping
		}
		if c.replication && msg.String == "START_REPLICATION" {
			return c.runSender()
		}
		return c.query(msg.String)
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.Terminate:
		return errTerminated
	}
	if c.skipping {
		return nil
	}
	if err := c.extended(msg); err != nil {
		c.fail(err)
		c.skipping = true
	}
	return nil
}

// awaitCycle marks the connection as idle if it has no transaction and is
// not within a cycle.
func (c *conn) awaitCycle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = c.tx == nil && len(c.portals) == 0 && !c.skipping
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// endIdle marks the connection as busy. It also clears the deadline that an
// interrupt may have set just after the message arrived.
func (c *conn) endIdle() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.stream.SetReadDeadline(time.Time{})
}

// interruptIdle wakes an idle connection so that it notices the shutdown.
func (c *conn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.replication {
		_ = c.stream.SetReadDeadline(time.Now()) // fails only on a closed connection
	}
}

// shutdown tells the client that the server stops. It discards what the client
// sends meanwhile: closing a connection with unread data resets it, and the
// client could lose the message.
func (c *conn) shutdown() error {
	c.backend.Send(errorResponse(sqlErrorf(codeShutdown, "terminating connection due to administrator command"), "FATAL"))
	if err := c.backend.Flush(); err != nil {
		return err
	}
	if err := c.stream.SetReadDeadline(time.Now().Add(shutdownLinger)); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, c.stream)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// shutdownLinger is the time that a client has to read the last message and to
// close.
const shutdownLinger = 200 * time.Millisecond

// ready ends a cycle.
func (c *conn) ready() error {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	if c.wrote && c.srv.faults.takeDrop() {
		return errTerminated
	}
	err := c.flush()
	c.wrote, c.touched, c.skipping = false, false, false
	clear(c.portals)
	c.stream.cutAfter, c.stream.stallAfter = -1, -1
	return err
}

// flush sends what is buffered, as far as the faults allow.
func (c *conn) flush() error {
	c.buffered = 0
	if c.touched {
		if n := c.srv.faults.takeBytes(FaultCutAnswer); n > 0 {
			c.stream.cutAfter = n
		}
		if n := c.srv.faults.takeBytes(FaultStallAnswer); n > 0 {
			c.stream.stallAfter = n
		}
	}
	return c.backend.Flush()
}

// fail sends an error and ends or fails the transaction.
func (c *conn) fail(err error) {
	c.backend.Send(errorResponse(err, "ERROR"))
	if c.tx == nil {
		return
	}
	explicit := c.tx.explicit
	c.rollback()
	if explicit {
		c.tx = newTransaction()
		c.tx.explicit, c.tx.failed = true, true
	}
}

// txStatus returns the status byte of ReadyForQuery.
func (c *conn) txStatus() byte {
	switch {
	case c.tx == nil || !c.tx.explicit:
		return 'I'
	case c.tx.failed:
		return 'E'
	}
	return 'T'
}

// cancelStatement ends the running statement, if there is one.
func (c *conn) cancelStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelRunning != nil {
		c.cancelRunning()
	}
}

// statementContext returns a context that ends when the statement is
// cancelled. The returned function has to be called after the statement.
func (c *conn) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancelRunning = cancel
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		c.cancelRunning = nil
		c.mu.Unlock()
		cancel()
	}
}

// sendCopy sends a replication message.
func (c *conn) sendCopy(v any) error {
	data, err := marshal(v)
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.CopyData{Data: data})
	return c.backend.Flush()
}

// receiveCopy receives a replication message.
func (c *conn) receiveCopy(v any) error {
	msg, err := c.backend.Receive()
	if err != nil {
		return err
	}
	if data, ok := msg.(*pgproto3.CopyData); ok {
		return unmarshal(data.Data, v)
	}
	return Error.New("unexpected message %T", msg)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return sqlErrorf(codeCancelled, "canceling statement due to user request")
	}
}
