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

// drainPoll is the interval at which Drain looks whether anything runs.
const drainPoll = 5 * time.Millisecond

// Owner executes cycles on the backend servers that the host owns.
type Owner struct {
	opts     Options
	leases   *leaseTable
	entries  *entryTable
	outcomes *outcomeStore
	tokens   *tokenTable
	meters   *meters
	ctx      context.Context // of the server loops and of waiting cycles
	cancel   context.CancelFunc
	loops    sync.WaitGroup

	mu       sync.Mutex
	state    *controlrpc.State
	cfg      *policy.Config
	servers  map[string]*server
	closed   bool
	draining bool
	noTx     bool // the time for open transactions has passed
	running  int  // cycles in Exec
}

// New returns an owner without servers. Run must be called for it to work.
func New(opts Options) *Owner {
	opts = opts.withDefaults()
	o := &Owner{
		opts:     opts,
		leases:   newLeaseTable(),
		entries:  newEntryTable(),
		outcomes: newOutcomeStore(opts.Limits, opts.Disabled.Outcomes),
		tokens:   newTokenTable(),
		meters:   newMeters(opts.Registry),
		servers:  map[string]*server{},
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// Run checks transactions, leases and outcomes until ctx ends. It then ends
// all servers and returns when their loops have ended.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(o.opts.Limits.Sweep)
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
	closeAll(ended)
	for _, s := range o.list() {
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
	o.loops.Wait()
}

// SetState takes over a new state and its parsed configuration.
func (o *Owner) SetState(state controlrpc.State, cfg *policy.Config) {
	o.mu.Lock()
	o.state, o.cfg = &state, cfg
	ended := o.reconcile(true)
	o.mu.Unlock()
	closeAll(ended)
}

// SetLeases takes over the reply to a heartbeat that was sent at sentAt, which
// must carry the monotonic clock reading of time.Now. It ignores replies that
// are older than the newest one, and errors.
func (o *Owner) SetLeases(sentAt time.Time, reply *controlrpc.HeartbeatReply) {
	if reply.Kind != errkind.OK || !o.leases.set(sentAt, reply) {
		return
	}
	o.mu.Lock()
	ended := o.reconcile(false)
	o.mu.Unlock()
	closeAll(ended)
	for _, s := range o.list() {
		s.sweep()
	}
}

// reconcile makes the servers match the leases and the state. It returns the
// servers that are over, which are closed without o.mu.
func (o *Owner) reconcile(changed bool) []*server {
	if o.closed || o.state == nil || o.cfg == nil {
		return nil
	}
	var ended []*server
	held := o.leases.listed()
	for id, s := range o.servers {
		_, ok := held[id]
		ok = ok || (s.leased() && s.inProgress(false))
		if !ok || o.state.Servers[id].Address != s.address {
			delete(o.servers, id)
			ended = append(ended, s)
		}
	}
	for id := range held {
		s := o.servers[id]
		if s != nil && !changed {
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
			o.servers[id] = o.start(v)
		default:
			s.setView(v)
		}
	}
	return ended
}

func (o *Owner) start(v *serverView) *server {
	s := newServer(o, v)
	ctx, cancel := context.WithCancel(o.ctx)
	s.stop = cancel
	o.loops.Go(func() { s.monitor.run(ctx) })
	o.loops.Go(func() { s.loop(ctx) })
	s.log.Info().Str("address", s.address).Int("slots", v.slots()).Int("connections", v.connections()).Msg("serving the server")
	return s
}

func closeAll(servers []*server) {
	for _, s := range servers {
		s.close("the lease of the server has ended")
	}
}

func (o *Owner) server(id string) *server {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.servers[id]
}

func (o *Owner) list() []*server {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		all = append(all, s)
	}
	return all
}

// Suspects returns the owned servers that are unreachable.
func (o *Owner) Suspects() []string {
	var ids []string
	for _, s := range o.list() {
		if s.monitor.suspect() {
			ids = append(ids, s.id)
		}
	}
	return ids
}

// Leases returns the leases that are valid now.
func (o *Owner) Leases() []controlrpc.HeldLease {
	var leases []controlrpc.HeldLease
	for _, g := range o.leases.listed() {
		if g.inTime() {
			leases = append(leases, g.HeldLease)
		}
	}
	return leases
}

// revoke ends a lease or a primary role: at once for new work, and after a
// short time for work in progress. When it returns, nothing more is
// acknowledged under it.
func (o *Owner) revoke(args *ownerrpc.RevokeArgs) {
	o.leases.demote(args.Server, args.Epoch, args.Term)
	if s := o.server(args.Server); s != nil {
		s.finish(args.Epoch == 0, args.Term)
	}
	o.leases.revoke(args.Server, args.Epoch, args.Term)
	o.mu.Lock()
	ended := o.reconcile(false)
	s := o.servers[args.Server]
	o.mu.Unlock()
	closeAll(ended)
	if s != nil {
		if !o.opts.Disabled.LeaseAtAnswer {
			s.endRole(args.Term)
		}
		s.sweep()
	}
}

// enter counts a cycle as running, unless the host is draining.
func (o *Owner) enter(args *ownerrpc.ExecArgs) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.draining && !args.InTx:
		return errkind.New(errkind.Draining, "the host is being shut down")
	case o.noTx:
		return errkind.New(errkind.TransactionLost, "the host is being shut down; the transaction was rolled back")
	}
	o.running++
	return nil
}

func (o *Owner) leave() {
	o.mu.Lock()
	o.running--
	o.mu.Unlock()
}

// Drain stops the owner as planned. Cycles that were taken are executed, and
// open transactions may go on for Limits.DrainTx before they are rolled back.
// It returns when nothing runs, or with the error of ctx.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	end := time.Now().Add(o.opts.Limits.DrainTx)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		if o.drained(!time.Now().Before(end)) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// drained reports whether nothing runs. A cycle that runs may leave a
// transaction open, and a transaction may admit another cycle, so it looks
// at the cycles before and after it looks at the transactions.
func (o *Owner) drained(endTx bool) bool {
	if o.busy(endTx) {
		return false
	}
	for _, s := range o.list() {
		if s.openTransactions() > 0 {
			return false
		}
	}
	return !o.busy(false)
}

// busy reports whether a cycle runs. With endTx it ends open transactions.
func (o *Owner) busy(endTx bool) bool {
	o.mu.Lock()
	o.noTx = o.noTx || endTx
	running := o.running
	o.mu.Unlock()
	if endTx {
		for _, s := range o.list() {
			s.endTransactions("the host is being shut down", func(*transaction) bool { return true })
		}
	}
	return running > 0
}
