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

// maxBufferedRows is the number of rows after which the send buffer is flushed.
const maxBufferedRows = 1000

// errTerminated ends a connection without a log message, for example after the
// client has sent Terminate.
var errTerminated = errors.New("connection terminated")

// conn is one client connection. Only the goroutine of the connection uses it,
// except for stream and the fields that mu guards. A query cycle comprises the
// messages up to the next ReadyForQuery.
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

	tx                  *transaction // nil outside a transaction
	statements          map[string]*prepared
	portals             map[string]*portal
	ignoreTillSync      bool   // after an error, messages are ignored up to Sync
	cycleCommitted      bool   // the query cycle has committed changes
	cycleAccessedTables bool   // the query cycle has accessed tables
	bufferedRows        int    // rows since the last flush
	repeat              []byte // answer that is sent again before the next answer to a statement on a table

	mu            sync.Mutex
	idle          bool               // waits for a query cycle outside a transaction
	cancelRunning context.CancelFunc // cancels the running statement; nil if none runs
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

// run serves the connection until it is closed.
func (c *conn) run() {
	defer c.srv.removeConn(c)
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

// startup handles the messages up to the first ReadyForQuery, or a cancel
// request.
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
			return c.completeStartup(msg)
		}
	}
}

// completeStartup answers the startup message.
func (c *conn) completeStartup(msg *pgproto3.StartupMessage) error {
	c.replication = msg.Parameters["replication"] == "true"
	// The TCP handshake takes one round trip, which latencyConn does not delay.
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
	return c.endCycle()
}

// loop reads and handles messages until the connection ends.
func (c *conn) loop() error {
	for {
		if c.updateIdle(); c.srv.isStopping() && c.isIdle() {
			return c.shutdown()
		}
		msg, err := c.backend.Receive()
		if err != nil {
			if c.srv.isStopping() && c.isIdle() {
				return c.shutdown()
			}
			return err
		}
		if err := c.markBusy(); err != nil {
			return err
		}
		if err := c.handle(msg); err != nil {
			return err
		}
	}
}

// handle processes one message. An error ends the connection.
func (c *conn) handle(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		if c.ignoreTillSync {
			return nil // as PostgreSQL does: only Sync ends the skipped sequence
		}
		if c.replication && msg.String == "START_REPLICATION" {
			return c.runSender()
		}
		return c.handleQuery(msg.String)
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.Terminate:
		return errTerminated
	}
	if c.ignoreTillSync {
		return nil
	}
	if err := c.handleExtended(msg); err != nil {
		c.fail(err)
		c.ignoreTillSync = true
	}
	return nil
}

// updateIdle marks the connection as idle if it has no transaction and is not
// within a query cycle, and as busy otherwise.
func (c *conn) updateIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = c.tx == nil && len(c.portals) == 0 && !c.ignoreTillSync
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// markBusy marks the connection as busy. It also clears the read deadline that
// interruptIdle may have set just after a message arrived.
func (c *conn) markBusy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.stream.SetReadDeadline(time.Time{})
}

// interruptIdle unblocks the read of an idle client connection so that it
// notices the shutdown.
func (c *conn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.replication {
		_ = c.stream.SetReadDeadline(time.Now()) // fails only on a closed connection
	}
}

// shutdown notifies the client that the server is shutting down. It then
// discards what the client sends: closing a connection with unread data resets
// it, and the client could lose the notice.
func (c *conn) shutdown() error {
	c.backend.Send(errorResponse(sqlErrorf(codeAdminShutdown, "terminating connection due to administrator command"), "FATAL"))
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

// shutdownLinger is the time that a client has to read the shutdown notice and
// to close the connection.
const shutdownLinger = 200 * time.Millisecond

// endCycle ends a query cycle: it sends ReadyForQuery and resets the state of
// the cycle.
func (c *conn) endCycle() error {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	if c.cycleCommitted && c.srv.faults.consumeAnswer(FaultDropAnswer) {
		return errTerminated
	}
	err := c.flush()
	c.cycleCommitted, c.cycleAccessedTables, c.ignoreTillSync = false, false, false
	clear(c.portals)
	if c.stream.keep {
		c.repeat, c.stream.kept, c.stream.keep = c.stream.kept, nil, false
	}
	c.stream.cutAfter, c.stream.stallAfter = -1, -1
	return err
}

// flush sends the buffered messages, subject to the answer faults. Once the server
// is aborted nothing more is sent, not even the error of the statement that the
// abort ended.
func (c *conn) flush() error {
	if c.ctx.Err() != nil {
		return errTerminated
	}
	c.bufferedRows = 0
	if c.cycleAccessedTables {
		if c.repeat != nil {
			c.stream.late, c.repeat = c.repeat, nil
		}
		if !c.stream.keep {
			c.stream.keep = c.srv.faults.consumeAnswer(FaultRepeatAnswer)
		}
		if n := c.srv.faults.consumeByteCount(FaultCutAnswer); n > 0 {
			c.stream.cutAfter = n
		}
		if n := c.srv.faults.consumeByteCount(FaultStallAnswer); n > 0 {
			c.stream.stallAfter = n
		}
	}
	return c.backend.Flush()
}

// fail sends an error and rolls the transaction back. An explicit transaction
// stays open as failed.
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

// cancelStatement cancels the running statement, if there is one.
func (c *conn) cancelStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelRunning != nil {
		c.cancelRunning()
	}
}

// statementContext returns a context that ends when the statement is
// cancelled. The returned function must be called when the statement has ended.
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
		return sqlErrorf(codeQueryCancelled, "canceling statement due to user request")
	}
}
