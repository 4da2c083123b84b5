package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// Error is the class of errors of registering services, serving and shutting
// down.
var Error = errs.Class("peer")

// ServerOptions configures a Server.
type ServerOptions struct {
	IdleTimeout  time.Duration // a connection that receives no data for this time is closed; default 1 s
	WriteTimeout time.Duration // limit for one write, after which the connection is closed; default 5 s
	Logger       zerolog.Logger

	MaxConnections int              // 0 for no limit
	Memory         *limit.Budget    // for messages that are read; nil for no limit
	Registry       metrics.Registry // nil: New creates a private registry
}

// acceptRetryDelay is the delay after a failed accept, whose usual cause is a lack of
// file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// shutdownPollInterval is how often Shutdown checks whether calls are running.
const shutdownPollInterval = 5 * time.Millisecond

// Server serves RPC services to other hosts.
type Server struct {
	opts         ServerOptions
	rpc          *rpc.Server
	runningCalls atomic.Int64 // calls that have been read but not answered yet

	mu        sync.Mutex // guards the fields below
	listeners []net.Listener
	closed    bool // set by Shutdown

	guard *limit.Guard[*serverConn]
}

// serverConn is a connection from another host.
type serverConn struct {
	*batchConn
	net    net.Conn
	member limit.Member
}

// abort closes the connection at once.
func (c *serverConn) abort(limit.Reason) {
	_ = c.Close()
	_ = c.net.Close()
}

// NewServer returns a server that answers only heartbeats until services are
// registered.
func NewServer(opts ServerOptions) *Server {
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}
	s := &Server{opts: opts, rpc: rpc.NewServer()}
	s.guard = limit.NewGuard(limit.GuardOptions[*serverConn]{
		Name: "peers", Limits: limit.Limits{MaxConnections: opts.MaxConnections}, Logger: opts.Logger, Registry: opts.Registry,
		Member: func(c *serverConn) *limit.Member { return &c.member },
		Abort:  (*serverConn).abort,
	})
	if err := s.rpc.RegisterName("Peer", heartbeatService{}); err != nil {
		panic("peer: registering the heartbeat service failed: " + err.Error())
	}
	return s
}

// Register registers the exported methods of rcvr under the service name name.
// It must be called before Serve.
func (s *Server) Register(name string, rcvr any) error {
	return Error.Wrap(s.rpc.RegisterName(name, rcvr))
}

// Serve accepts connections on ln until it is closed, and then returns nil. After any
// other error of an accept it tries again.
func (s *Server) Serve(ln net.Listener) error {
	if !s.addListener(ln) {
		return Error.Wrap(ln.Close())
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.opts.Logger.Warn().Err(err).Str("event", "accept_failed").Msg("accepting a peer connection failed; trying again")
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.run(conn)
	}
}

// run serves one connection until it is closed or its idle timeout expires.
func (s *Server) run(conn net.Conn) {
	c := &serverConn{batchConn: newBatchConn(&timeoutConn{Conn: conn, idleTimeout: s.opts.IdleTimeout, writeTimeout: s.opts.WriteTimeout}), net: conn}
	if !s.addConn(c) {
		c.abort(limit.None)
		return
	}
	defer s.removeConn(c)
	in := newServerCodec(c, &s.runningCalls, s.opts.Memory)
	in.onRequest = sync.OnceFunc(func() {
		s.guard.Start(c)
		s.guard.Use(c)
	})
	workpool.Guard(s.opts.Logger, func() { s.rpc.ServeCodec(in) })
	if in.in.invalid != nil {
		s.opts.Logger.Warn().Str("event", "protocol_violation").Stringer("remote", conn.RemoteAddr()).Err(in.in.invalid).
			Msg("a connection of another host ended because of what it sent")
	}
}

// Shutdown stops accepting connections, waits until every running call has been
// answered or ctx ends, and then closes the connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListeners()
	err := s.waitIdle(ctx)
	s.closeConns()
	return Error.Wrap(err)
}

// waitIdle waits until no call is running or ctx ends.
func (s *Server) waitIdle(ctx context.Context) error {
	for s.runningCalls.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
	return nil
}

// addListener adds ln to the listeners. It returns false after Shutdown.
func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners = append(s.listeners, ln)
	return true
}

// addConn adds a connection. It returns false after Shutdown, and if there are too many
// connections that have sent a request.
func (s *Server) addConn(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	_, ok := s.guard.Add(c, netip.Addr{})
	return ok
}

func (s *Server) removeConn(c *serverConn) {
	s.guard.Remove(c, netip.Addr{})
	_ = c.Close()
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
}

func (s *Server) closeConns() {
	for _, c := range s.guard.All() {
		_ = c.Close()
	}
}
