package lineserver

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// Error is the class of errors of starting and stopping a Server.
var Error = errs.Class("lineserver")

const (
	// acceptRetryDelay is the delay after a failed accept, whose usual cause is a
	// lack of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// readBufferBytes is the size of the buffer for one read from a socket.
	readBufferBytes = 16 << 10
	// maxQueuedLines is the number of lines of one connection that wait for the
	// running one.
	maxQueuedLines = 16
	// maxWorkers limits the lines that run concurrently. A line occupies its
	// worker while it waits for a backend server, so the limit is close to the
	// largest number of callers of one host.
	maxWorkers = 4096
)

// Handler implements the sessions of a protocol. All functions are required.
// Line and Close of one session are never called concurrently.
type Handler struct {
	// Open starts a session for a new connection.
	Open func(remote string) any
	// Line runs one line. ctx is
	// cancelled when the connection is closed, and by Server.CancelLines. The
	// connection is closed after the answer unless keep is true. A panic of Line
	// ends the connection without an answer.
	Line func(ctx context.Context, session any, line Line) (answer []byte, keep bool)
	// Refuse returns the answer to a line that is not run, or to a new connection
	// that is not served; the connection is closed after it.
	Refuse func(reason limit.Reason) []byte
	// Idle reports whether the session may be closed between two lines.
	Idle func(session any) bool
	// Close ends a session. It is called once for every Open, after the connection
	// has been closed.
	Close func(session any)
}

// Line is one line of a caller.
type Line struct {
	Text       []byte // without the CR LF that ends it
	Begin, End int64  // offsets in the input of the connection, with the line ending
}

// Options configures a Server.
type Options struct {
	Address      string // ip:port to listen on
	Handler      Handler
	Logger       zerolog.Logger
	MaxLineBytes int // maximum bytes of one line with its line ending, at most 64 MiB
	Pollers      int // number of nbio event loops; default 1

	Limits         limit.Limits
	MaxQueuedBytes int              // bytes of queued lines from which on the connection is not read; 0 for no limit
	Memory         *limit.Budget    // nil for no limit
	Registry       metrics.Registry // nil: New creates a private registry
}

// Server accepts callers and runs their lines on a Handler. Its methods are safe
// for concurrent use.
type Server struct {
	opts       Options
	engine     *nbio.Engine
	listener   net.Listener
	workers    *workpool.Pool[*conn]
	buffers    sync.Pool // *[]byte of readBufferBytes bytes
	ctx        context.Context
	cancel     context.CancelFunc
	closing    atomic.Bool    // set by Close
	acceptLoop sync.WaitGroup // goroutine that accepts connections
	guard      *limit.Guard[*conn]
}

// New returns a server that is not started.
func New(opts Options) *Server {
	opts.Pollers = max(1, opts.Pollers)
	s := &Server{opts: opts, workers: workpool.New[*conn](maxWorkers)}
	s.guard = limit.NewGuard(limit.GuardOptions[*conn]{
		Limits: opts.Limits, Budget: opts.Memory, Logger: opts.Logger, Registry: opts.Registry,
		Member: func(c *conn) *limit.Member { return &c.member },
		Abort:  (*conn).abort,
	})
	s.buffers.New = func() any {
		b := make([]byte, readBufferBytes)
		return &b
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start opens the listener and serves connections in the background. It returns
// an error if the listener or the event loops cannot be started.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.opts.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	s.listener = ln
	logging.SetLevel(logging.LevelError) // nbio logs every start and stop on stdout
	s.engine = nbio.NewEngine(nbio.Config{
		Name:           "lineserver",
		NPoller:        s.opts.Pollers,
		ReadBufferSize: 1, // the package reads into its own buffers
		EpollMod:       nbio.EPOLLET,
	})
	s.engine.OnClose(func(nc *nbio.Conn, _ error) {
		if c, ok := nc.Session().(*conn); ok {
			c.onClose()
		}
	})
	s.engine.OnRead(func(nc *nbio.Conn) {
		if c, ok := nc.Session().(*conn); ok {
			c.onRead()
		}
	})
	s.engine.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c, ok := nc.Session().(*conn); ok {
			c.onWritten(n)
		}
	})
	if err := s.engine.Start(); err != nil {
		return Error.Wrap(errors.Join(err, ln.Close()))
	}
	s.guard.StartChecks()
	s.acceptLoop.Add(1)
	go s.loop()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.guard.Len() }

// loop accepts connections until the listener is closed.
func (s *Server) loop() {
	defer s.acceptLoop.Done()
	for {
		sock, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.opts.Logger.Warn().Err(err).Str("event", "accept_failed").Msg("accepting a caller connection failed; trying again")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(sock)
	}
}

func (s *Server) accept(sock net.Conn) {
	// The lock orders these writes before the first event: nbio passes the
	// connection to its event loop without synchronization that the race detector
	// recognizes.
	c := new(conn)
	c.mu.Lock()
	c.srv = s
	c.input.MaxBytes = s.opts.MaxLineBytes
	if reason, ok := s.guard.Add(c, addressOf(sock.RemoteAddr())); !ok {
		c.mu.Unlock()
		s.refuse(sock, reason)
		return
	}
	nc, err := nbio.NBConn(sock)
	if err != nil {
		c.mu.Unlock()
		s.opts.Logger.Warn().Err(err).Str("event", "accept_failed").Msg("converting a caller connection to an nbio connection failed")
		s.guard.Remove(c, addressOf(sock.RemoteAddr()))
		_ = sock.Close()
		return
	}
	c.nc = nc
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.session = s.opts.Handler.Open(sock.RemoteAddr().String())
	c.member.Open()
	c.mu.Unlock()
	nc.SetSession(c)
	if _, err := s.engine.AddConn(nc); err != nil {
		s.opts.Logger.Warn().Err(err).Str("event", "accept_failed").Msg("adding a caller connection to the event loop failed")
		c.onClose()
	}
}

// refuseTimeout bounds the write of a refusal. The send buffer of a new socket has room
// for it, so the accept loop does not wait.
const refuseTimeout = 10 * time.Millisecond

// refuse answers a connection that is not served, and closes it.
func (s *Server) refuse(sock net.Conn, reason limit.Reason) {
	_ = sock.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = sock.Write(s.opts.Handler.Refuse(reason)) // the caller may be gone
	_ = sock.Close()
}

// addressOf returns the IP address of a, or the zero address.
func addressOf(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Quiesce closes the idle connections and returns the number of remaining ones.
// New connections are still accepted.
func (s *Server) Quiesce() int {
	for _, c := range s.guard.All() {
		c.closeIfIdle()
	}
	return s.Connections()
}

// CancelLines cancels the context of all lines, present and future, so that the
// Handler refuses what it has not started. Lines in progress still get their
// answers.
func (s *Server) CancelLines() { s.cancel() }

// StopAccepting closes the listener and waits for the end of the accept loop.
func (s *Server) StopAccepting() {
	_ = s.listener.Close()
	s.acceptLoop.Wait()
}

// Close closes the listener and all connections, cancels the running lines and
// waits for their end.
func (s *Server) Close() {
	if s.closing.Swap(true) {
		return
	}
	s.StopAccepting()
	s.cancel()
	for _, c := range s.guard.All() {
		_ = c.nc.Close()
	}
	s.engine.Stop()
	s.workers.Close()
	s.guard.Close()
}
