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

// server is a backend server that the host owns. It exists from the first
// heartbeat reply that lists its lease until a reply no longer does, and then
// until its work in progress has finished or may no longer continue.
type server struct {
	id           string
	group        string
	address      string
	limits       Limits
	log          zerolog.Logger
	leases       *leaseTable
	entries      *entryTable
	sched        *schedule.Scheduler
	pool         *pool
	monitor      *monitor
	permits      *permits
	view         atomic.Pointer[serverView]
	cancelLoops  context.CancelFunc // ends the monitor and the warm-up loop
	leaseExpired bool               // used by sweep only, under mu

	runningCycles atomic.Int64 // cycles being executed
	runningWrites atomic.Int64 // cycles being executed that need the primary role
	successes     atomic.Uint64
	failures      atomic.Uint64
	refused       atomic.Uint64

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
	s.pool = newPool(connect, v.poolLimit(), s.limits.MaxConcurrentDials, s.limits.ConnectTimeout)
	s.permits = newPermits(v.transactionLimit())
	leased := func() bool { return s.leased() || o.opts.Disabled.LeaseAtAnswer }
	s.monitor = newMonitor(s.limits, connect, leased, func() {
		s.pool.closeStuckAfter(s.limits.UnresponsiveConnGrace)
		s.pool.retire()
	}, s.log)
	s.setView(v)
	return s
}

func (s *server) setView(v *serverView) {
	s.view.Store(v)
	s.sched.Configure(v.slots(), v.ranks)
	s.pool.setLimit(v.poolLimit())
	s.permits.setLimit(v.transactionLimit())
	s.monitor.setMembers(s.id, v.members)
}

// runWarmup opens connections in advance until ctx ends.
func (s *server) runWarmup(ctx context.Context) {
	ticker := time.NewTicker(s.limits.SweepInterval)
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

// close stops serving the server: waiting cycles are refused, commits that wait
// for a majority get an unknown outcome, and transactions are rolled back.
func (s *server) close(reason string) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancelLoops()
	s.sched.Close(errkind.New(errkind.NotOwner, "%s", reason))
	s.monitor.close()
	s.endTransactions(reason, func(*transaction) bool { return true })
	s.pool.close()
	s.log.Info().Str("reason", reason).Msg("stopped serving the backend server")
}

// leased reports whether the host has a lease under which at least work in
// progress may finish.
func (s *server) leased() bool { return s.leases.mayFinish(s.id) }

// workInProgress reports whether cycles run or transactions are open. If writes
// is true, it considers only those that need the primary role.
func (s *server) workInProgress(writes bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tx := range s.txs {
		if tx.primary || !writes {
			return true
		}
	}
	return s.runningWrites.Load() > 0 || (!writes && s.runningCycles.Load() > 0)
}

// waitForWorkInProgress waits until no work is in progress, for at most
// limits.RevokeGrace. It does not wait for a server that no longer answers or,
// if writes is true, that is fenced: its writes cannot be confirmed.
func (s *server) waitForWorkInProgress(writes bool, term uint64) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(s.limits.RevokeGrace); time.Now().Before(deadline); <-ticker.C {
		if !s.workInProgress(writes) || !s.monitor.responsive() || (writes && s.monitor.fencedAbove(term)) {
			return
		}
	}
}

// endPrimaryRole ends the waits for a majority in terms up to term. If the
// server no longer answers, it also closes the connections with a request in
// progress, whose callers would otherwise wait until their deadlines.
func (s *server) endPrimaryRole(term uint64) {
	s.monitor.endTerm(term)
	if !s.monitor.responsive() {
		s.pool.closeStuckAfter(0)
	}
}

// admit checks whether a cycle may be sent now: lease, drain state,
// reachability and, for writes, the primary role and its term. It returns the
// lease.
func (s *server) admit(args *ownerrpc.ExecArgs) (controlrpc.HeldLease, error) {
	l, ok := s.leases.validLease(s.id)
	if !ok {
		return l, errkind.New(errkind.NotOwner, "the host holds no valid lease for server %s", s.id)
	}
	if drainingSince := s.view.Load().drainingSince; !args.InTx && !drainingSince.IsZero() &&
		(!l.Primary || time.Since(drainingSince) > s.limits.DrainPrimaryTimeout) {
		return l, errkind.New(errkind.Draining, "server %s is draining", s.id)
	}
	if !args.InTx && s.monitor.suspect() {
		// An idle connection may look usable, but a cycle sent on it would
		// end with an unknown outcome.
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
	return s.leases.mayFinishAsPrimary(s.id, l.Term) && !s.monitor.fencedAbove(l.Term)
}

// load returns the load of the server as reported with every answer.
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
	answerAge := time.Since(s.monitor.lastAnswer)
	s.monitor.mu.Unlock()
	load := s.load()
	return ownerrpc.ServerStatus{
		Server: s.id, Group: s.group, Epoch: g.Epoch, Term: g.Term, Primary: g.Primary,
		LeaseLeft: max(0, time.Until(g.validUntil)), Reachable: answerAge <= s.limits.SuspectAfter, LastAnswerAge: answerAge,
		Applied: load.Applied, Load: load, Connections: s.pool.size(), OpenTx: s.permits.inUse(),
		Successes: s.successes.Load(), Failures: s.failures.Load(), Refused: s.refused.Load(),
	}
}
