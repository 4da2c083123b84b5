package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package that concern its set-up.
var Error = errs.Class("peer")

// ServerOptions configure a Server.
type ServerOptions struct {
	Idle       time.Duration // a connection silent for this time is closed; default 1 s
	WriteLimit time.Duration // an answer not taken within this time closes the connection; default 5 s
}

// shutdownPoll is how often Shutdown looks whether the last call has ended.
const shutdownPoll = 5 * time.Millisecond

// Server serves the project's own services to other hosts.
type Server struct {
	opts    ServerOptions
	rpc     *rpc.Server
	running atomic.Int64

	mu     sync.Mutex // guards the fields below
	lns    []net.Listener
	conns  map[*batchConn]struct{}
	closed bool
}

// NewServer returns a server that answers heartbeats and nothing else yet.
func NewServer(opts ServerOptions) *Server {
	if opts.Idle == 0 {
		opts.Idle = defaultIdle
	}
	if opts.WriteLimit == 0 {
		opts.WriteLimit = defaultWriteLimit
	}
	s := &Server{opts: opts, rpc: rpc.NewServer(), conns: make(map[*batchConn]struct{})}
	if err := s.rpc.RegisterName("Peer", heartbeatService{}); err != nil {
		panic("peer: heartbeat service does not fit net/rpc: " + err.Error())
	}
	return s
}

// Register offers the exported methods of rcvr under the given service name.
// It must be called before Serve.
func (s *Server) Register(name string, rcvr any) error {
	return Error.Wrap(s.rpc.RegisterName(name, rcvr))
}

// Serve accepts connections until the listener is closed.
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
			return Error.Wrap(err)
		}
		go s.run(conn)
	}
}

// run serves one connection until it is closed or goes silent.
func (s *Server) run(conn net.Conn) {
	c := newBatchConn(&liveConn{Conn: conn, idle: s.opts.Idle, writeLimit: s.opts.WriteLimit})
	if !s.addConn(c) {
		_ = c.Close()
		return
	}
	defer s.removeConn(c)
	s.rpc.ServeCodec(newServerCodec(c, &s.running))
}

// Shutdown stops accepting, waits until every running call has been answered
// or ctx ends, then closes the connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListeners()
	err := s.waitIdle(ctx)
	s.closeConns()
	return Error.Wrap(err)
}

func (s *Server) waitIdle(ctx context.Context) error {
	for s.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPoll):
		}
	}
	return nil
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.lns = append(s.lns, ln)
	return true
}

func (s *Server) addConn(conn *batchConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) removeConn(conn *batchConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, ln := range s.lns {
		_ = ln.Close()
	}
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
