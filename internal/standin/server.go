package standin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"os"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Server is one stand-in database server.
type Server struct {
	opts   Options
	faults *faults
	node   *node
	locks  *rowLocks
	slots  slots

	listener  net.Listener
	ctx       context.Context // cancelled by Abort
	cancel    context.CancelFunc
	wg        sync.WaitGroup // goroutines started by goRun
	abortOnce sync.Once

	mu        sync.Mutex // guards the fields below
	conns     map[*conn]struct{}
	nextPID   uint32
	departing bool // the departure has been announced; connections are still served
	stopping  bool
}

// New opens the data folder, if one is set, and returns a server that is not
// started yet.
func New(opts Options) (*Server, error) {
	opts = opts.withDefaults()
	id := opts.ID
	if id == "" {
		var random [6]byte
		_, _ = rand.Read(random[:]) // never fails
		id = "server-" + hex.EncodeToString(random[:])
	}
	if opts.DataFolder != "" {
		if err := os.MkdirAll(opts.DataFolder, 0o700); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	n, err := openNode(id, opts)
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:   opts,
		faults: newFaults(opts),
		node:   n,
		locks:  &rowLocks{held: make(map[rowKey]*rowLock)},
		slots:  newSlots(opts.Slots),
		conns:  make(map[*conn]struct{}),
	}
	n.applyDelay = func() time.Duration { return s.faults.delay(FaultApplyDelay) }
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Start opens the listener and starts the server, which runs until Stop or
// Abort.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return Error.Wrap(err)
	}
	s.listener = ln
	s.goRun(s.runAccept)
	s.goRun(func() { s.node.applyLoop(s.ctx) })
	r := &receiver{srv: s}
	s.goRun(func() { r.loop(s.ctx) })
	if len(s.opts.AnnounceTo) > 0 {
		a := &announcer{srv: s}
		s.goRun(func() { a.loop(s.ctx) })
	}
	s.opts.Log.Info().Str("server", s.ID()).Str("address", s.Address()).Msg("stand-in server started")
	return nil
}

// goRun runs f in a goroutine that Abort, and so Stop, waits for.
func (s *Server) goRun(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// ID returns the server id.
func (s *Server) ID() string { return s.node.status().meta.ID }

// Address returns the advertised address, or the listen address if none is set.
func (s *Server) Address() string {
	if s.opts.Advertise != "" {
		return s.opts.Advertise
	}
	return s.listener.Addr().String()
}

// SetFault sets a fault or a delay. See the Fault constants for the values.
func (s *Server) SetFault(name Fault, value string) error {
	if err := s.faults.set(name, value); err != nil {
		return err
	}
	s.opts.Log.Info().Str("fault", string(name)).Str("value", value).Msg("fault setting changed")
	if name == FaultSilent && value != "off" {
		s.silenceConns(nil)
	}
	return nil
}

// silenceConns makes all connections other than except permanently silent.
func (s *Server) silenceConns(except *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c != except {
			c.stream.silent.Store(true)
		}
	}
}

// Announcement returns the announcement that the server sends to entry hosts.
func (s *Server) Announcement() controlrpc.Server {
	st := s.node.status()
	s.mu.Lock()
	departing := s.departing || s.stopping
	s.mu.Unlock()
	return controlrpc.Server{
		ID: st.meta.ID, Group: s.opts.Group, Address: s.Address(), DataCentre: s.opts.DataCentre, Labels: s.opts.Labels,
		Slots: s.opts.Slots, Connections: s.opts.Connections,
		Term: st.received.Term, LSN: st.received.LSN, Departing: departing,
	}
}

// Positions returns the positions of the last received and the last applied
// record.
func (s *Server) Positions() (received, applied logpos.Position) {
	st := s.node.status()
	return st.received, st.applied
}

// Primary reports whether the server is a primary, and returns its fenced term.
func (s *Server) Primary() (primary bool, term uint64) {
	m := s.node.status().meta
	return m.isPrimary(), m.FencedTerm
}

// runAccept accepts connections until the listener is closed.
func (s *Server) runAccept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.faults.isOn(FaultRefuse) {
			if tcp, ok := nc.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // makes Close send a reset
			}
			_ = nc.Close()
			continue
		}
		if s.opts.Latency > 0 {
			nc = newLatencyConn(nc, s.opts.Latency)
		}
		c := newConn(s, nc)
		s.mu.Lock()
		if s.stopping {
			s.mu.Unlock()
			_ = nc.Close()
			continue
		}
		s.nextPID++
		c.pid = s.nextPID
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.goRun(c.run)
	}
}

// admit counts c towards the connection limit, or returns an error if the limit
// is reached.
func (s *Server) admit(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for other := range s.conns {
		if other.admitted {
			count++
		}
	}
	if count >= s.opts.Connections {
		return sqlErrorf(codeTooManyConnections, "sorry, too many clients already: the limit is %d", s.opts.Connections)
	}
	c.admitted = true
	return nil
}

// removeConn removes a closed connection.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// cancelStatement cancels the running statement of the connection with the given
// process id and secret key.
func (s *Server) cancelStatement(pid, secret uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pid == pid && c.secret == secret {
			c.cancelStatement()
		}
	}
}

// handoverTimeout limits how long a departing primary waits for its successor. A
// planned change of the primary takes well below a second.
const handoverTimeout = 5 * time.Second

// isStopping reports whether the server is shutting down and accepts no new
// connections. While it waits for a successor, it is departing only.
func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Stop shuts the server down gracefully. It announces the departure and, on a
// primary, waits until another server has taken over. It then accepts no new
// connections, closes each connection as soon as it has no open transaction, and
// returns when all are closed and the connected replicas have received the end
// of the log. If ctx ends first, it closes the remaining connections and returns
// the error of ctx. A replica that makes no progress delays Stop by at most
// replicationTimeout.
func (s *Server) Stop(ctx context.Context) error {
	s.depart(ctx)
	s.mu.Lock()
	s.stopping = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	for _, c := range conns {
		c.interruptIdle()
	}
	defer s.Abort()
	if err := poll(ctx, func() bool { return s.clientCount() == 0 }); err != nil {
		return Error.New("%d client connections are still open: %w", s.clientCount(), err)
	}
	replicasCtx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	if err := poll(replicasCtx, s.node.replicasCaughtUp); err != nil {
		s.opts.Log.Warn().Msg("stopped before every replica had received the end of the log")
	}
	return nil
}

// depart announces the departure. A primary keeps serving until it is fenced, for
// at most handoverTimeout: commits in progress are confirmed over its
// connections, and without them their outcome would be unknown.
func (s *Server) depart(ctx context.Context) {
	if len(s.opts.AnnounceTo) == 0 {
		return
	}
	s.mu.Lock()
	s.departing = true
	s.mu.Unlock()
	a := &announcer{srv: s}
	a.announce(ctx)
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	demoted := func() bool { primary, _ := s.Primary(); return !primary }
	if err := poll(ctx, demoted); err != nil {
		s.opts.Log.Warn().Msg("stopping although no other server has taken over as the primary")
	}
}

// clientCount returns the number of client connections, without those for
// replication.
func (s *Server) clientCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.admitted {
			n++
		}
	}
	return n
}

// poll calls f repeatedly until it returns true or ctx ends.
func poll(ctx context.Context, f func() bool) error {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !f() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// Abort stops the server immediately, as if the process were killed. The data
// folder keeps all synced data.
func (s *Server) Abort() { s.abortOnce.Do(s.abort) }

func (s *Server) abort() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.cancel()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.wg.Wait()
	if err := s.node.close(); err != nil {
		s.opts.Log.Error().Err(err).Msg("cannot close the log file")
	}
}
