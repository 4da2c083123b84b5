package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rs/zerolog"
)

// server is a backend server that the host owns. It lives from the first
// heartbeat reply that lists it to the first one that does not, and then for
// as long as work in progress may finish.
type server struct {
	id      string
	group   string
	address string
	limits  Limits
	log     zerolog.Logger
	leases  *leaseTable
	entries *entryTable
	sched   *schedule.Scheduler
	pool    *pool
	monitor *monitor
	permits *permits
	view    atomic.Pointer[serverView]
	stop    context.CancelFunc // ends the loops
	idle    bool               // without a valid lease; used by sweep only, under mu

	running   atomic.Int64 // cycles
	writing   atomic.Int64 // cycles that need the primary role
	successes atomic.Uint64
	failures  atomic.Uint64
	refused   atomic.Uint64

	mu       sync.Mutex
	closed   bool
	txs      map[sessionKey]*transaction
	baseline baseline
}

func newServer(o *Owner, v *serverView) *server {
	s := &server{
		id: v.spec.ID, group: v.spec.Group, address: v.spec.Address,
		limits: o.opts.Limits, leases: o.leases, entries: o.entries,
		log: o.opts.Logger.With().Str("server", v.spec.ID).Str("group", v.spec.Group).Logger(),
		txs: map[sessionKey]*transaction{},
	}
	connect := func(ctx context.Context) (Conn, error) { return o.opts.Connect(ctx, s.address, s.group) }
	s.sched = schedule.New(schedule.Options{Slots: v.slots(), Ranks: v.ranks, Window: s.limits.FloorWindow})
	s.pool = newPool(connect, v.connections(), s.limits.Opening, s.limits.ConnectTimeout)
	s.permits = newPermits(v.transactions())
	leased := func() bool { return s.leased() || o.opts.Disabled.LeaseAtAnswer }
	s.monitor = newMonitor(s.limits, connect, leased, func() {
		s.pool.cutOff(s.limits.SilentGrace)
		s.pool.retire()
	}, s.log)
	s.setView(v)
	return s
}

func (s *server) setView(v *serverView) {
	s.view.Store(v)
	s.sched.Configure(v.slots(), v.ranks)
	s.pool.setLimit(v.connections())
	s.permits.setLimit(v.transactions())
	s.monitor.setMembers(s.id, v.members)
}

// loop keeps connections open ahead of need until ctx ends.
func (s *server) loop(ctx context.Context) {
	ticker := time.NewTicker(s.limits.Sweep)
	defer ticker.Stop()
	for {
		if s.leased() {
			s.pool.warm(ctx, s.view.Load().slots())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// close ends the service of the server: waiting cycles are refused, waiting
// commits become unknown, transactions are rolled back.
func (s *server) close(reason string) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	s.sched.Close(errkind.New(errkind.NotOwner, "%s", reason))
	s.monitor.close()
	s.endTransactions(reason, func(*transaction) bool { return true })
	s.pool.close()
	s.log.Info().Str("reason", reason).Msg("stopped serving the server")
}

// leased reports whether the host may act on the server at all.
func (s *server) leased() bool { return s.leases.finishing(s.id) }

// inProgress reports whether cycles run or transactions are open. With
// writes it looks only at what needs the primary role.
func (s *server) inProgress(writes bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tx := range s.txs {
		if tx.primary || !writes {
			return true
		}
	}
	return s.writing.Load() > 0 || (!writes && s.running.Load() > 0)
}

// finish waits until nothing is in progress, for at most limits.RevokeGrace.
// It does not wait for a server that no longer answers or that is fenced,
// because its writes cannot be confirmed.
func (s *server) finish(writes bool, term uint64) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for end := time.Now().Add(s.limits.RevokeGrace); time.Now().Before(end); <-ticker.C {
		if !s.inProgress(writes) || !s.monitor.responsive() || (writes && s.monitor.fencedAbove(term)) {
			return
		}
	}
}

// endRole ends what is in progress under the primary role up to term. Cycles
// on a server that no longer answers would otherwise keep their callers
// waiting until their deadlines.
func (s *server) endRole(term uint64) {
	s.monitor.endTerm(term)
	if !s.monitor.responsive() {
		s.pool.cutOff(0)
	}
}

// admit checks what must hold when a cycle is about to be sent.
func (s *server) admit(args *ownerrpc.ExecArgs) (controlrpc.HeldLease, error) {
	l, ok := s.leases.valid(s.id)
	if !ok {
		return l, errkind.New(errkind.NotOwner, "the host holds no valid lease for server %s", s.id)
	}
	if since := s.view.Load().drainingSince; !args.InTx && !since.IsZero() &&
		(!l.Primary || time.Since(since) > s.limits.DrainPrimary) {
		return l, errkind.New(errkind.Draining, "server %s is leaving service", s.id)
	}
	if !args.InTx && s.monitor.suspect() {
		// An idle connection may look usable; a cycle sent on it would leave
		// the outcome unknown.
		return l, errkind.New(errkind.ConnectFailed, "server %s is unreachable", s.id)
	}
	if !args.Write {
		return l, nil
	}
	switch {
	case args.Term != l.Term:
		return l, errkind.New(errkind.StaleTerm, "the request names term %d, the lease is for term %d", args.Term, l.Term)
	case !l.Primary:
		return l, errkind.New(errkind.NoPrimary, "server %s is not the primary of term %d", s.id, l.Term)
	case s.monitor.fencedAbove(l.Term):
		return l, errkind.New(errkind.StaleTerm, "server %s is fenced at a later term than %d", s.id, l.Term)
	}
	return l, nil
}

// mayAnswer reports whether the server may still answer as the primary of
// the term of l.
func (s *server) mayAnswer(l controlrpc.HeldLease) bool {
	return s.leases.finishingAsPrimary(s.id, l.Term) && !s.monitor.fencedAbove(l.Term)
}

// load returns what answers report about the server.
func (s *server) load() ownerrpc.Load {
	queued, full, service := s.sched.Load()
	v := s.view.Load()
	s.monitor.mu.Lock()
	applied := s.monitor.applied
	s.monitor.mu.Unlock()
	return ownerrpc.Load{
		Server: s.id, Applied: applied, Queued: queued, Full: full, Service: service,
		Slots: v.spec.Slots, Draining: !v.drainingSince.IsZero(),
	}
}

func (s *server) status(g grant) ownerrpc.ServerStatus {
	s.monitor.mu.Lock()
	heard := time.Since(s.monitor.heard)
	s.monitor.mu.Unlock()
	load := s.load()
	return ownerrpc.ServerStatus{
		Server: s.id, Group: s.group, Epoch: g.Epoch, Term: g.Term, Primary: g.Primary,
		LeaseLeft: max(0, time.Until(g.until)), Reachable: heard <= s.limits.SuspectAfter, HeardAge: heard,
		Applied: load.Applied, Load: load, Connections: s.pool.size(), OpenTx: s.permits.open(),
		Successes: s.successes.Load(), Failures: s.failures.Load(), Refused: s.refused.Load(),
	}
}
