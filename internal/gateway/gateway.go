package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// trimRounds is the number of maintenance rounds between two trims of the pools.
const trimRounds = 5

// exportRounds is the number of maintenance rounds between two updates of the metrics
// of customers.
const exportRounds = 10

// maintenanceInterval is the interval between two maintenance rounds.
const maintenanceInterval = 100 * time.Millisecond

// Gateway routes the statements of its sessions to backend servers. Methods are
// safe for concurrent use.
type Gateway struct {
	opts               Options
	metrics            *gatewayMetrics
	view               atomic.Pointer[view]
	leaseEnd           atomic.Int64 // end of the lease on clock.Now, in ns since created
	heard              atomic.Int64 // last answer of control on clock.Now, in ns since created
	keysChanged        atomic.Bool  // sessions may have transactions whose key was withdrawn
	created            time.Time
	preparedStatements preparedStatements

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu             sync.Mutex // guards the fields below and serializes SetState
	members        map[string]*member
	groups         map[string]*group
	sessions       map[*Session]struct{}
	hosts          int // hosts that share the connections of each server, including this one
	sharing        *sharing
	draining       bool
	primaryFailing chan struct{} // capacity 1; returned by PrimaryFailing
}

// New returns a gateway without state, which refuses all work until SetState
// and RenewLease have been called. The caller must call Close to stop its
// goroutines.
func New(opts Options) *Gateway {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	g := &Gateway{
		opts: opts, metrics: newMetrics(opts.Registry), created: clock.Now(),
		members:        make(map[string]*member),
		groups:         make(map[string]*group),
		sessions:       make(map[*Session]struct{}),
		hosts:          1,
		primaryFailing: make(chan struct{}, 1),
		sharing:        newSharing(nil, true, opts.Place),
	}
	g.preparedStatements.budget = opts.Memory
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.view.Store(&view{cfg: new(database.Config), changed: make(chan struct{})})
	g.tasks.Go(g.runMaintenance)
	return g
}

// Close stops the goroutines and closes the connections to servers.
func (g *Gateway) Close() {
	g.cancel()
	g.mu.Lock()
	members := slices.Collect(maps.Values(g.members))
	g.mu.Unlock()
	for _, m := range members {
		m.pool.close()
	}
	g.tasks.Wait()
}

// SetState applies a state of the directory and its configuration. A state older
// than the current one is ignored. SetState must be called before RenewLease with
// the lease that came with the state: without a lease, no use of a primary that the
// state replaces may go on.
func (g *Gateway) SetState(s directoryrpc.State, cfg *database.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.view.Load()
	if s.Version < old.state.Version {
		return
	}
	v := &view{state: s, cfg: cfg, ranks: old.ranks, keyOwners: old.keyOwners, groups: make(map[string]*groupView), changed: make(chan struct{})}
	if cfg != old.cfg {
		v.ranks, v.keyOwners = ranksInUse(cfg), cfg.KeyOwners()
	}
	leased := g.hasLease()
	for name := range s.Groups { // also those whose servers have all left
		v.groups[name] = new(groupView)
	}
	g.updateMembers(v)
	for name, gv := range v.groups {
		gv.group = g.group(name)
		cur := s.Groups[name]
		prev := old.state.Groups[name]
		gv.generation, gv.switching = cur.Generation, cur.Switching || cur.Generation == 0
		gv.primary = g.members[cur.Primary]
		aborted := gv.group.update(cur.Generation, cur.Primary, gv.switching, leased)
		if prev.Generation != cur.Generation {
			g.opts.Events.Event("group_changed").Str("group", name).Uint64("generation", cur.Generation).Uint64("state_version", s.Version).
				Str("primary", cur.Primary).Bool("switching", gv.switching).Bool("leased", leased).Int("cut_off", aborted).Msg("directory published a new generation of the group")
		}
	}
	if cfg.Version != old.cfg.Version {
		g.opts.Events.Event("config_in_force").Uint64("config_version", cfg.Version).Uint64("state_version", s.Version).
			Int("databases", len(cfg.Databases)).Msg("applied a new configuration")
		g.logWithdrawnKeys(old, v)
	}
	g.view.Store(v)
	if cfg != old.cfg {
		g.keysChanged.Store(true)
		g.metrics.customers.retain(func(customer string) bool { _, ok := cfg.Customers[customer]; return ok })
	}
	close(old.changed)
}

// updateMembers sets the members of a view. A server that was restarted or has
// changed its address or group gets a new member, with new connections: the old ones
// were opened for the old group. The caller holds
// mu.
func (g *Gateway) updateMembers(v *view) {
	specs := rankSpecs(v.ranks)
	for id, m := range g.members {
		current, known := v.state.Servers[id]
		if known && current.Address == m.server.Address && current.Born == m.server.Born && current.Group == m.server.Group {
			continue
		}
		g.opts.Events.Event("server_left").Str("server", id).Str("group", m.server.Group).Msg("backend server left, restarted or changed its address or group; closing its connections")
		delete(g.members, id)
		m.pool.close()
	}
	for id, s := range v.state.Servers {
		m := g.members[id]
		if m == nil {
			m = newMember(g.opts, s, poolHooks{opened: g.metrics.recordOpened, skipped: func(src statement.Source) { g.recordSkipped(s, src) }})
			g.members[id] = m
			g.opts.Events.Event("server_joined").Str("server", id).Str("group", s.Group).Str("address", s.Address).Int64("born", s.Born).Msg("backend server added")
		}
		m.setDraining(s.Draining)
		g.configureMember(m, specs, v.cfg)
		gv := v.groups[s.Group]
		if gv == nil {
			gv = new(groupView)
			v.groups[s.Group] = gv
		}
		gv.members = append(gv.members, m)
	}
}

// group returns the group with the given name, creating it if necessary. The
// caller holds mu.
func (g *Gateway) group(name string) *group {
	gr := g.groups[name]
	if gr == nil {
		gr = newGroup(name)
		g.groups[name] = gr
	}
	return gr
}

// RenewLease extends the lease of the host to the given time on clock.Now. hosts
// is the number of hosts that share the connections of each server.
func (g *Gateway) RenewLease(until time.Time, hosts int) {
	for end := int64(until.Sub(g.created)); ; {
		old := g.leaseEnd.Load()
		if old >= end || g.leaseEnd.CompareAndSwap(old, end) {
			break
		}
	}
	g.heard.Store(int64(clock.Now().Sub(g.created)))
	g.mu.Lock()
	defer g.mu.Unlock()
	if hosts < 1 || hosts == g.hosts {
		return
	}
	g.hosts = hosts
	g.configureMembers()
}

// hasLease reports whether the lease of the host is valid.
func (g *Gateway) hasLease() bool { return g.leaseLeft() > 0 }

// leaseLeft returns the remaining time of the lease; negative if it has expired.
func (g *Gateway) leaseLeft() time.Duration { return g.leftUntil(g.leaseEnd.Load()) }

// leftUntil returns the remaining time of a lease with the given end.
func (g *Gateway) leftUntil(end int64) time.Duration {
	return time.Duration(end) - clock.Now().Sub(g.created)
}

// Ready reports whether the load balancer should send callers here.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	stopped := g.draining || g.awaitsHosts()
	g.mu.Unlock()
	return !stopped && g.hasLease() && g.view.Load().cfg.Version > 0
}

// Drain makes Ready return false, for a planned stop. Open sessions continue.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Draining reports whether a planned stop has begun.
func (g *Gateway) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Release waits until no work of this host is in progress at a primary that is
// being replaced, and aborts work that does not end in time. The host must not
// confirm the state to the directory before Release returns. All groups are
// released at the same time, because the host renews no lease meanwhile.
func (g *Gateway) Release() {
	var releases sync.WaitGroup
	for _, gv := range g.view.Load().groups {
		if gv.switching && !gv.group.released() {
			releases.Go(func() { g.runRelease(gv) })
		}
	}
	releases.Wait()
}

// runRelease releases one group.
func (g *Gateway) runRelease(gv *groupView) {
	start := time.Now()
	responding := func() bool { return gv.primary == nil || gv.primary.failingFor(clock.Now()) == 0 }
	aborted := gv.group.release(responding)
	g.opts.Events.Event("group_released").Str("group", gv.group.name).Uint64("generation", gv.generation).Int("cut_off", aborted).
		Dur("after_ms", time.Since(start)).Msg("no work is in progress at the primary that is being replaced")
}

// runMaintenance trims the pools, probes failing servers and rolls back idle
// transactions until the gateway is closed.
func (g *Gateway) runMaintenance() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		members := slices.Collect(maps.Values(g.members))
		g.mu.Unlock()
		sessions := g.allSessions()
		g.endDeniedTransactions(sessions)
		if round%trimRounds == 0 {
			g.countConnections(members)
		}
		if round%exportRounds == 0 {
			g.metrics.customers.export()
		}
		for _, m := range members {
			if round%trimRounds == 0 {
				m.pool.trim()
			}
			if m.claimProbe() {
				g.tasks.Go(func() { g.runProbe(m) })
			}
		}
		if limit := g.view.Load().cfg.TransactionIdle; limit > 0 {
			for _, s := range sessions {
				s.expireTransaction(limit)
			}
		}
	}
}

// countConnections updates the metrics of connections.
func (g *Gateway) countConnections(members []*member) {
	open, logical := 0, 0
	for _, m := range members {
		n, _ := m.pool.size()
		open, logical = open+n, logical+m.pool.logicalInUse()
	}
	g.metrics.connections.Update(int64(open))
	g.metrics.logicalConnections.Update(int64(logical))
}

// runProbe probes a member, and signals PrimaryFailing if it is a primary that
// does not respond.
func (g *Gateway) runProbe(m *member) {
	if responds := m.probe(g.ctx); responds {
		return
	}
	if gv := g.view.Load().groups[m.server.Group]; gv != nil && gv.primary == m {
		g.signalPrimaryFailing()
	}
}

// maxElectionTime is how long the directory may be without a leader. A host
// without a lease waits that long before it refuses callers: during an election
// the other hosts can't serve them better.
const maxElectionTime = 1700 * time.Millisecond

// CutOff reports whether this host has been without a lease for longer than an
// election takes, so that callers should connect to another host.
func (g *Gateway) CutOff() bool { return g.leaseLeft() < -maxElectionTime }

// awaitLease waits until the host has a lease and a configuration. It returns
// false if ctx or the gateway ends first, or as soon as CutOff returns true.
func (g *Gateway) awaitLease(ctx context.Context) bool {
	for !g.hasLease() || g.view.Load().cfg.Version == 0 {
		if g.CutOff() || ctx.Err() != nil || g.ctx.Err() != nil {
			return false
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-g.view.Load().changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return true
}

// Open starts a session for a database, with the key of the caller, which may be
// empty. If the database is unknown, for instance because the host has just started,
// Open first waits for a valid lease, and for a known key as well. The error has kind
// errkind.Denied if the key is not known.
func (g *Gateway) Open(ctx context.Context, name, key string) (*Session, error) {
	if !g.view.Load().declares(name) {
		if !g.awaitLease(ctx) {
			return nil, errkind.New(errkind.ConfigStale, "the configuration of this host may be out of date")
		}
		if v := g.view.Load(); !v.declares(name) {
			return nil, errkind.New(errkind.UnknownGroup, "database %q is not declared in version %d", name, v.cfg.Version)
		}
	}
	id, err := g.identify(ctx, name, key)
	if err != nil {
		return nil, err
	}
	if g.opts.Expect != nil && id.customer != "" {
		g.opts.Expect(id.customer)
	}
	s := &Session{gateway: g, name: name, identity: id, settings: make(map[string]string), prepared: make(map[string]*preparedStatement)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions[s] = struct{}{}
	return s, nil
}

// AbortTransactions rolls back every open transaction that has no statement in
// progress, for a planned stop.
func (g *Gateway) AbortTransactions() {
	for _, s := range g.allSessions() {
		s.expireTransaction(0)
	}
}

// AbortStatements closes the connections that statements use, for the end of a
// planned stop: a read is refused then, and the outcome of a write is unknown.
func (g *Gateway) AbortStatements() {
	g.mu.Lock()
	members := slices.Collect(maps.Values(g.members))
	g.mu.Unlock()
	for _, m := range members {
		m.pool.abortInUse()
	}
}

// Sessions returns the number of open sessions.
func (g *Gateway) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}
