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

	listener net.Listener
	ctx      context.Context // ends when the server is aborted
	cancel   context.CancelFunc
	wg       sync.WaitGroup // every goroutine of the server
	ended    sync.Once

	mu        sync.Mutex // guards the fields below
	conns     map[*conn]struct{}
	nextPID   uint32
	departing bool // announced; connections are still served
	stopping  bool
}

// New opens the data folder, if there is one, and returns a server that has
// not started yet.
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

// Start listens and returns; the server runs until Stop or Abort.
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
	s.opts.Log.Info().Str("server", s.ID()).Str("address", s.Address()).Msg("started")
	return nil
}

// goRun runs f in a goroutine that Stop and Abort wait for.
func (s *Server) goRun(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// ID returns the server id.
func (s *Server) ID() string { return s.node.status().meta.ID }

// Address returns the address that clients connect to.
func (s *Server) Address() string {
	if s.opts.Advertise != "" {
		return s.opts.Advertise
	}
	return s.listener.Addr().String()
}

// SetFault changes a fault switch. See the Fault constants for the values.
func (s *Server) SetFault(name Fault, value string) error {
	if err := s.faults.set(name, value); err != nil {
		return err
	}
	s.opts.Log.Info().Str("fault", string(name)).Str("value", value).Msg("fault switched")
	if name == FaultSilent && value != "off" {
		s.silence(nil)
	}
	return nil
}

// silence makes every connection but except silent for ever.
func (s *Server) silence(except *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c != except {
			c.stream.silent.Store(true)
		}
	}
}

// Announcement returns what the server announces about itself.
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

// Positions returns the end of the log and the last applied position.
func (s *Server) Positions() (received, applied logpos.Position) {
	st := s.node.status()
	return st.received, st.applied
}

// Primary reports whether the server is a primary, and its fenced term.
func (s *Server) Primary() (primary bool, term uint64) {
	m := s.node.status().meta
	return m.primary(), m.Fenced
}

// runAccept accepts connections until the listener is closed.
func (s *Server) runAccept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.faults.on(FaultRefuse) {
			if tcp, ok := nc.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // closes with a reset
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

// admit counts a connection that has sent its startup message, and refuses it
// beyond the limit.
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
		return sqlErrorf(codeTooMany, "sorry, too many clients already: the limit is %d", s.opts.Connections)
	}
	c.admitted = true
	return nil
}

// remove forgets a closed connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// cancelStatement ends the running statement of a connection.
func (s *Server) cancelStatement(pid, secret uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pid == pid && c.secret == secret {
			c.cancelStatement()
		}
	}
}

// handoverTimeout limits the wait of a departing primary. A planned change of
// the primary takes well below a second.
const handoverTimeout = 5 * time.Second

// isStopping reports whether Stop has been called.
func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Stop shuts the server down: it announces its departure, as a primary waits
// until another server has taken over, accepts no new connections, closes connections as soon as they have no open transaction,
// and returns when all are closed and connected replicas have received the end
// of the log. When ctx ends first, it closes the rest and returns the error of
// ctx. A replica that does not proceed delays the end by replicationTimeout.
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
	if err := poll(ctx, func() bool { return s.clients() == 0 }); err != nil {
		return Error.New("%d connections left: %w", s.clients(), err)
	}
	replicasCtx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	if err := poll(replicasCtx, s.node.replicasCurrent); err != nil {
		s.opts.Log.Warn().Msg("stopped before every replica had received the end of the log")
	}
	return nil
}

// depart announces the departure. A primary goes on until it is fenced, for at
// most handoverTimeout: commits in progress are confirmed through its
// connections, and their outcome would be unknown without them.
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
	replaced := func() bool { primary, _ := s.Primary(); return !primary }
	if err := poll(ctx, replaced); err != nil {
		s.opts.Log.Warn().Msg("stopping although no other server has taken over as the primary")
	}
}

// clients returns the number of client connections.
func (s *Server) clients() int {
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

// poll waits until f is true or ctx ends.
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

// Abort ends the server at once, as a kill of the process does. The data
// folder keeps what was synced.
func (s *Server) Abort() { s.ended.Do(s.abort) }

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
		s.opts.Log.Error().Err(err).Msg("closing the log")
	}
}
