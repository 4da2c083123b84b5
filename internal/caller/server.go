package caller

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
	"github.com/zeebo/errs"
)

// Error is the class of errors of starting and stopping a Server.
var Error = errs.Class("caller")

// acceptRetryDelay is the delay after a failed accept, whose usual cause is a
// lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// readBufferBytes is the size of the buffer for one read from a socket.
const readBufferBytes = 32 << 10

// Server accepts callers and runs their cycles on a Handler.
type Server struct {
	opts        Options
	engine      *nbio.Engine
	listener    net.Listener
	workers     *workpool.Pool[*conn]
	registry    registry
	guard       *limit.Guard[*conn]
	buffers     sync.Pool // *[]byte of readBufferBytes bytes
	ctx         context.Context
	cancel      context.CancelFunc
	draining    atomic.Bool    // set by Shutdown and Close
	closing     atomic.Bool    // set by stop
	acceptLoop  sync.WaitGroup // goroutine that accepts connections
	cancelCalls sync.WaitGroup // running Handler.Cancel calls
}

// New returns a server that is not started.
func New(opts Options) *Server {
	opts.setDefaults()
	s := &Server{opts: opts, workers: workpool.New[*conn](opts.MaxWorkers)}
	s.guard = limit.NewGuard(limit.GuardOptions[*conn]{
		Limits: limit.Limits{MaxConnections: opts.MaxConnections, MaxPerAddress: opts.MaxPerAddress, MessageTimeout: opts.MessageTimeout},
		Budget: opts.Memory, Logger: opts.Logger, Registry: opts.Registry,
		Member: func(c *conn) *limit.Member { return &c.member },
		Abort:  (*conn).abort,
	})
	s.registry.conns = make(map[uint32]*conn)
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
		Name:           "caller",
		NPoller:        s.opts.Pollers,
		ReadBufferSize: 1, // the package reads into its own buffers
		EpollMod:       nbio.EPOLLET,
	})
	s.engine.OnOpen(func(nc *nbio.Conn) {
		// The deadline is set before the first read event, so that it cannot
		// overwrite the cleared deadline of a completed startup.
		_ = nc.SetReadDeadline(time.Now().Add(s.opts.StartupTimeout))
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
	s.opts.Logger.Info().Stringer("address", ln.Addr()).Msg("accepting caller connections")
	s.guard.StartChecks()
	s.acceptLoop.Add(1)
	go s.loop()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.registry.count() }

// loop accepts connections until the listener is closed.
func (s *Server) loop() {
	defer s.acceptLoop.Done()
	for {
		sock, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.opts.Logger.Warn().Err(err).Msg("accepting a caller connection failed; trying again")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(sock)
	}
}

func (s *Server) accept(sock net.Conn) {
	c := &conn{srv: s}
	address := addressOf(sock.RemoteAddr())
	if reason, ok := s.guard.Add(c, address); !ok {
		s.refuse(sock, reason)
		return
	}
	nc, err := nbio.NBConn(sock)
	if err != nil {
		s.guard.Remove(c, address)
		_ = sock.Close()
		return
	}
	c.nc = nc
	c.framer.MaxMessageBytes, c.framer.MaxCycleBytes = s.opts.MaxMessageBytes, s.opts.MaxCycleBytes
	s.registry.add(c)
	nc.SetSession(c)
	c.member.Open()
	if _, err := s.engine.AddConn(nc); err != nil {
		s.registry.remove(c)
		s.guard.Remove(c, address)
		s.opts.Logger.Warn().Err(err).Msg("adding a caller connection to the event loop failed")
	}
}

// refuseTimeout bounds the write of a refusal. The send buffer of a new socket has room
// for it, so the accept loop does not wait.
const refuseTimeout = 10 * time.Millisecond

// refuse answers a connection that is not served, and closes it.
func (s *Server) refuse(sock net.Conn, reason limit.Reason) {
	_ = sock.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = sock.Write(AppendError(nil, SeverityFatal, &SQLState{Code: "53300", Detail: "the host is at its limit of " + reason.String()})) // the caller may be gone
	_ = sock.Close()
}

// addressOf returns the IP address of a, or the zero address.
func addressOf(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Shutdown stops accepting connections, ends idle connections with SQLSTATE
// 57P01 and waits for the cycles and transactions in progress. If ctx ends
// first, connections with a running cycle are ended with an error of kind
// OutcomeUnknown, the others with 57P01, and the error of ctx is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	_ = s.listener.Close()
	s.acceptLoop.Wait()
	var err error
	for s.registry.count() > 0 {
		for _, c := range s.registry.all() {
			c.endIfIdle()
		}
		select {
		case <-ctx.Done():
			err = Error.Wrap(ctx.Err())
			s.opts.Logger.Warn().Int("connections", s.registry.count()).Msg("ending caller connections that are still in use")
		case <-time.After(5 * time.Millisecond):
			continue
		}
		break
	}
	s.stop()
	return err
}

// Close stops accepting connections, cancels the running cycles and ends all
// connections.
func (s *Server) Close() error {
	s.draining.Store(true)
	err := s.listener.Close()
	s.acceptLoop.Wait()
	s.stop()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	return Error.Wrap(err)
}

// stop ends the remaining connections and stops all goroutines. It waits for
// running Handler functions, whose context is cancelled.
func (s *Server) stop() {
	if s.closing.Swap(true) {
		return
	}
	s.cancel()
	for _, c := range s.registry.all() {
		c.endNow()
	}
	s.engine.Stop()
	s.workers.Close()
	s.cancelCalls.Wait()
	s.guard.Close()
}
