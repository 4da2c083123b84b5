package lineserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// Error is the class of errors of starting and stopping a Server.
var Error = errs.Class("lineserver")

const (
	// acceptPause is the pause after a failed accept, normally for want of file
	// descriptors.
	acceptPause = 50 * time.Millisecond
	// readChunk is how much one read from a socket takes at most.
	readChunk = 16 << 10
	// maxWaiting is the number of lines that wait behind the running one.
	maxWaiting = 16
	// maxWorkers bounds the lines that run at one time. A line holds its worker
	// while it waits for a backend server, so it is near the largest number of
	// callers of one host.
	maxWorkers = 4096
)

// Handler serves the sessions of a protocol. All functions are required. Line
// and Close of one session are never called at the same time.
type Handler struct {
	// Open starts a session for a new connection.
	Open func(remote string) any
	// Line runs one line, without its end. ctx ends when the caller leaves. The
	// connection is closed after the answer unless keep is true.
	Line func(ctx context.Context, session any, line []byte) (answer []byte, keep bool)
	// TooLong returns the answer to a line above the limit; the connection is
	// closed after it.
	TooLong func(session any) []byte
	// Idle reports whether the session may be closed between two lines.
	Idle func(session any) bool
	// Close ends a session.
	Close func(session any)
}

// Options configure a Server.
type Options struct {
	Address string // ip:port to listen on
	Handler Handler
	Logger  zerolog.Logger
	MaxLine int // bytes of one line with its end
	Pollers int // event loops of nbio; default 1
}

// Server accepts callers. Methods are safe for concurrent use.
type Server struct {
	opts     Options
	engine   *nbio.Engine
	listener net.Listener
	workers  *workpool.Pool[*conn]
	buffers  sync.Pool // *[]byte of readChunk bytes
	ctx      context.Context
	cancel   context.CancelFunc
	closing  atomic.Bool
	accepted sync.WaitGroup // the accept loop

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server that is not started.
func New(opts Options) *Server {
	opts.Pollers = max(1, opts.Pollers)
	s := &Server{opts: opts, workers: workpool.New[*conn](maxWorkers), conns: make(map[*conn]struct{})}
	s.buffers.New = func() any {
		b := make([]byte, readChunk)
		return &b
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start listens and serves. Errors are those of listening.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.opts.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	s.listener = ln
	logging.SetLevel(logging.LevelError) // nbio announces every start and stop on stdout
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
	if err := s.engine.Start(); err != nil {
		return Error.Wrap(errors.Join(err, ln.Close()))
	}
	s.accepted.Add(1)
	go s.loop()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// loop accepts connections until the listener is closed.
func (s *Server) loop() {
	defer s.accepted.Done()
	for {
		sock, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.opts.Logger.Warn().Err(err).Str("event", "accept_failed").Msg("accepting a caller failed")
			time.Sleep(acceptPause)
			continue
		}
		s.accept(sock)
	}
}

func (s *Server) accept(sock net.Conn) {
	nc, err := nbio.NBConn(sock)
	if err != nil {
		s.opts.Logger.Warn().Err(err).Str("event", "accept_failed").Msg("preparing a caller connection failed")
		_ = sock.Close()
		return
	}
	// The lock orders these writes before the first event, which nbio hands over
	// without one that the race detector sees.
	c := new(conn)
	c.mu.Lock()
	c.srv, c.nc = s, nc
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.session = s.opts.Handler.Open(sock.RemoteAddr().String())
	c.mu.Unlock()
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	nc.SetSession(c)
	if _, err := s.engine.AddConn(nc); err != nil {
		s.opts.Logger.Warn().Err(err).Str("event", "accept_failed").Msg("registering a caller connection failed")
		c.onClose()
	}
}

// Quiesce closes the connections that are idle and returns how many are left.
// New connections are accepted as before.
func (s *Server) Quiesce() int {
	for _, c := range s.all() {
		c.closeIfIdle()
	}
	return s.Connections()
}

// StopAccepting closes the listener.
func (s *Server) StopAccepting() {
	_ = s.listener.Close()
	s.accepted.Wait()
}

// Close ends all connections at once and waits for the running lines.
func (s *Server) Close() {
	if s.closing.Swap(true) {
		return
	}
	s.StopAccepting()
	s.cancel()
	for _, c := range s.all() {
		_ = c.nc.Close()
	}
	s.engine.Stop()
	s.workers.Close()
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
