package owner

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// drainPollInterval is the interval at which a drain or a revocation checks
// whether work is still in progress.
const drainPollInterval = 5 * time.Millisecond

// Owner executes cycles on the backend servers that the host owns.
type Owner struct {
	opts        Options
	leases      *leaseTable
	entries     *entryTable
	outcomes    *outcomeStore
	tokens      *tokenTable
	metrics     *ownerMetrics
	ctx         context.Context // parent of the contexts of the server loops and of cycles
	cancel      context.CancelFunc
	serverLoops sync.WaitGroup

	mu               sync.Mutex
	state            *controlrpc.State
	cfg              *policy.Config
	servers          map[string]*server
	closed           bool
	draining         bool
	txDeadlinePassed bool // Limits.DrainTxTimeout has passed since Drain
	runningCycles    int  // cycles being executed, waits included
}

// New returns an owner without servers. Run must be called for it to work: Run
// checks leases, transactions and stored outcomes.
func New(opts Options) *Owner {
	opts = opts.withDefaults()
	o := &Owner{
		opts:     opts,
		leases:   newLeaseTable(),
		entries:  newEntryTable(),
		outcomes: newOutcomeStore(opts.Limits, opts.Disabled.Outcomes),
		tokens:   newTokenTable(),
		metrics:  newMetrics(opts.Registry),
		servers:  map[string]*server{},
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// Run checks transactions, leases and stored outcomes periodically until ctx
// ends. It then stops serving all servers and returns when their loops have
// ended.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(o.opts.Limits.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.sweep()
		case <-ctx.Done():
			o.shutdown()
			return
		}
	}
}

func (o *Owner) sweep() {
	o.outcomes.sweep()
	o.entries.sweep()
	o.mu.Lock()
	ended := o.reconcile(false)
	o.mu.Unlock()
	closeServers(ended)
	for _, s := range o.listServers() {
		s.sweep()
	}
}

func (o *Owner) shutdown() {
	o.mu.Lock()
	o.closed = true
	servers := o.servers
	o.servers = map[string]*server{}
	o.mu.Unlock()
	for _, s := range servers {
		s.close("the host is stopping")
	}
	o.cancel()
	o.serverLoops.Wait()
}

// SetState applies a new control state and its parsed configuration.
func (o *Owner) SetState(state controlrpc.State, cfg *policy.Config) {
	o.mu.Lock()
	o.state, o.cfg = &state, cfg
	ended := o.reconcile(true)
	o.mu.Unlock()
	closeServers(ended)
}

// SetLeases applies the reply to a heartbeat that was sent at sentAt, which
// must carry the monotonic clock reading of time.Now. It ignores error replies
// and replies to heartbeats that are not newer than the last one applied.
func (o *Owner) SetLeases(sentAt time.Time, reply *controlrpc.HeartbeatReply) {
	if reply.Kind != errkind.OK || !o.leases.set(sentAt, reply) {
		return
	}
	o.mu.Lock()
	ended := o.reconcile(false)
	o.mu.Unlock()
	closeServers(ended)
	for _, s := range o.listServers() {
		s.sweep()
	}
}

// reconcile adds and removes servers to match the leases, and rebuilds the views
// of the leased servers if the state changed. It returns the removed servers,
// which the caller closes after it has released o.mu.
func (o *Owner) reconcile(stateChanged bool) []*server {
	if o.closed || o.state == nil || o.cfg == nil {
		return nil
	}
	var ended []*server
	held := o.leases.listed()
	for id, s := range o.servers {
		_, ok := held[id]
		ok = ok || (s.leased() && s.workInProgress(false))
		if !ok || o.state.Servers[id].Address != s.address {
			delete(o.servers, id)
			ended = append(ended, s)
		}
	}
	for id := range held {
		s := o.servers[id]
		if s != nil && !stateChanged {
			continue
		}
		var old *serverView
		if s != nil {
			old = s.view.Load()
		}
		v, ok := buildView(o.state, o.cfg, id, old, &o.opts)
		switch {
		case !ok:
		case s == nil:
			o.servers[id] = o.startServer(v)
		default:
			s.setView(v)
		}
	}
	return ended
}

func (o *Owner) startServer(v *serverView) *server {
	s := newServer(o, v)
	ctx, cancel := context.WithCancel(o.ctx)
	s.cancelLoops = cancel
	o.serverLoops.Go(func() { s.monitor.run(ctx) })
	o.serverLoops.Go(func() { s.runWarmup(ctx) })
	s.log.Info().Str("address", s.address).Int("slots", v.slots()).Int("connections", v.poolLimit()).Msg("started serving the backend server")
	return s
}

func closeServers(servers []*server) {
	for _, s := range servers {
		s.close("the lease of the server has ended or its address has changed")
	}
}

func (o *Owner) server(id string) *server {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.servers[id]
}

func (o *Owner) listServers() []*server {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		all = append(all, s)
	}
	return all
}

// Suspects returns the ids of the owned servers that are unreachable.
func (o *Owner) Suspects() []string {
	var ids []string
	for _, s := range o.listServers() {
		if s.monitor.suspect() {
			ids = append(ids, s.id)
		}
	}
	return ids
}

// Leases returns the leases that have not expired.
func (o *Owner) Leases() []controlrpc.HeldLease {
	var leases []controlrpc.HeldLease
	for _, g := range o.leases.listed() {
		if g.valid() {
			leases = append(leases, g.HeldLease)
		}
	}
	return leases
}

// revoke ends a lease or a primary role: immediately for new work, and after
// at most Limits.RevokeGrace for work in progress. When it returns, nothing
// more is acknowledged under the lease or role.
func (o *Owner) revoke(args *ownerrpc.RevokeArgs) {
	o.leases.revokeForNewWork(args.Server, args.Epoch, args.Term)
	if s := o.server(args.Server); s != nil {
		s.waitForWorkInProgress(args.Epoch == 0, args.Term)
	}
	o.leases.revoke(args.Server, args.Epoch, args.Term)
	o.mu.Lock()
	ended := o.reconcile(false)
	s := o.servers[args.Server]
	o.mu.Unlock()
	closeServers(ended)
	if s != nil {
		if !o.opts.Disabled.LeaseAtAnswer {
			s.endPrimaryRole(args.Term)
		}
		s.sweep()
	}
}

// beginCycle counts a cycle as running. It returns an error if the host is
// draining and the cycle does not continue an open transaction.
func (o *Owner) beginCycle(args *ownerrpc.ExecArgs) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.draining && !args.InTx:
		return errkind.New(errkind.Draining, "the host is being shut down")
	case o.txDeadlinePassed:
		return errkind.New(errkind.TransactionLost, "the host is being shut down; the transaction was rolled back")
	}
	o.runningCycles++
	return nil
}

func (o *Owner) endCycle() {
	o.mu.Lock()
	o.runningCycles--
	o.mu.Unlock()
}

// Drain performs a planned stop. Cycles that were accepted are executed, and
// open transactions may continue for Limits.DrainTxTimeout before they are
// rolled back. It returns nil when no cycle runs and no transaction is open,
// or the error of ctx.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	txDeadline := time.Now().Add(o.opts.Limits.DrainTxTimeout)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if o.drained(!time.Now().Before(txDeadline)) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// drained reports whether no cycle runs and no transaction is open. A running
// cycle may leave a transaction open, and an open transaction may admit
// another cycle, so the cycles are checked before and after the transactions.
func (o *Owner) drained(endTx bool) bool {
	if o.cyclesRunning(endTx) {
		return false
	}
	for _, s := range o.listServers() {
		if s.openTransactions() > 0 {
			return false
		}
	}
	return !o.cyclesRunning(false)
}

// cyclesRunning reports whether a cycle runs. If endTx is true, it also rolls
// back open transactions and refuses further cycles.
func (o *Owner) cyclesRunning(endTx bool) bool {
	o.mu.Lock()
	o.txDeadlinePassed = o.txDeadlinePassed || endTx
	running := o.runningCycles
	o.mu.Unlock()
	if endTx {
		for _, s := range o.listServers() {
			s.endTransactions("the host is being shut down", func(*transaction) bool { return true })
		}
	}
	return running > 0
}
