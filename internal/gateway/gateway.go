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
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// trimEvery is the number of rounds between two looks at idle connections.
const trimEvery = 5

// upkeep is the pause between two rounds of work on the connections.
const upkeep = 100 * time.Millisecond

// Gateway routes the statements of its sessions. Methods are safe for
// concurrent use.
type Gateway struct {
	opts    Options
	meters  *meters
	view    atomic.Pointer[view]
	until   atomic.Int64 // end of the lease, in ns since created on clock.Now
	created time.Time
	shapes  shapes

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex // guards the fields below and serializes SetState
	members  map[string]*member
	groups   map[string]*group
	sessions map[*Session]struct{}
	hosts    int
	draining bool
	alarm    chan struct{} // a primary began to fail
}

// New returns a gateway without state, which refuses all work until SetState
// and Renew have been called. Close ends its goroutines.
func New(opts Options) *Gateway {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	g := &Gateway{
		opts: opts, meters: newMeters(opts.Registry), created: clock.Now(),
		members:  make(map[string]*member),
		groups:   make(map[string]*group),
		sessions: make(map[*Session]struct{}),
		hosts:    1,
		alarm:    make(chan struct{}, 1),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.view.Store(&view{cfg: new(database.Config), changed: make(chan struct{})})
	g.tasks.Go(g.loopUpkeep)
	return g
}

// Close ends the goroutines and the connections to servers.
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

// SetState puts a state of the directory and its configuration into force. A
// state older than the one in force is ignored.
func (g *Gateway) SetState(s directoryrpc.State, cfg *database.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.view.Load()
	if s.Version < old.state.Version {
		return
	}
	v := &view{state: s, cfg: cfg, groups: make(map[string]*groupView), changed: make(chan struct{})}
	g.takeServers(v)
	for name, gv := range v.groups {
		gv.group = g.group(name)
		d := s.Groups[name]
		was := old.state.Groups[name]
		gv.generation, gv.switching = d.Generation, d.Switching || d.Generation == 0
		gv.primary = g.members[d.Primary]
		gv.group.update(d.Generation, gv.switching, was.Primary == d.Primary)
		if was.Generation != d.Generation {
			g.opts.Events.Event("group_changed").Str("group", name).Uint64("generation", d.Generation).Uint64("state_version", s.Version).
				Str("primary", d.Primary).Bool("switching", gv.switching).Msg("the directory names the primary")
		}
	}
	if cfg.Version != old.cfg.Version {
		g.opts.Events.Event("config_in_force").Uint64("config_version", cfg.Version).Uint64("state_version", s.Version).
			Int("databases", len(cfg.Databases)).Msg("a configuration is in force")
	}
	g.view.Store(v)
	close(old.changed)
}

// takeServers makes the members of a view. A server that was started anew or
// has moved gets fresh connections. The caller holds mu.
func (g *Gateway) takeServers(v *view) {
	specs := ranks(v.cfg)
	for id, m := range g.members {
		now, known := v.state.Servers[id]
		if known && now.Address == m.server.Address && now.Born == m.server.Born {
			continue
		}
		g.opts.Events.Event("server_left").Str("server", id).Str("group", m.server.Group).Msg("connections to the server are closed")
		delete(g.members, id)
		m.pool.close()
	}
	for id, s := range v.state.Servers {
		m := g.members[id]
		if m == nil {
			m = newMember(g.opts, s)
			g.members[id] = m
			g.opts.Events.Event("server_joined").Str("server", id).Str("group", s.Group).Str("address", s.Address).Int64("born", s.Born).Msg("the server may be used")
		}
		m.setDraining(s.Draining)
		m.configure(specs, v.cfg.Groups[s.Group], g.hosts)
		gv := v.groups[s.Group]
		if gv == nil {
			gv = new(groupView)
			v.groups[s.Group] = gv
		}
		gv.members = append(gv.members, m)
	}
}

// group returns what is kept about a group. The caller holds mu.
func (g *Gateway) group(name string) *group {
	gr := g.groups[name]
	if gr == nil {
		gr = newGroup(name)
		g.groups[name] = gr
	}
	return gr
}

// Renew extends the lease of the host to until, on clock.Now. hosts is the
// number of hosts that share the connections of each server.
func (g *Gateway) Renew(until time.Time, hosts int) {
	for end := int64(until.Sub(g.created)); ; {
		old := g.until.Load()
		if old >= end || g.until.CompareAndSwap(old, end) {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if hosts < 1 || hosts == g.hosts {
		return
	}
	g.hosts = hosts
	v := g.view.Load()
	specs := ranks(v.cfg)
	for _, m := range g.members {
		m.configure(specs, v.cfg.Groups[m.server.Group], hosts)
	}
}

// leased reports whether the lease of the host is valid.
func (g *Gateway) leased() bool { return g.leaseLeft() > 0 }

// leaseLeft returns how long the lease is still valid; negative if it ran out.
func (g *Gateway) leaseLeft() time.Duration {
	return time.Duration(g.until.Load()) - clock.Now().Sub(g.created)
}

// Ready reports whether the load balancer should send callers here.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	draining := g.draining
	g.mu.Unlock()
	return !draining && g.leased() && g.view.Load().cfg.Version > 0
}

// Drain makes Ready false for a planned stop. Open sessions go on.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Release waits until nothing of this host is in progress at a primary that is
// being changed, and cuts off what does not end in time. The host must not
// confirm the state before.
func (g *Gateway) Release() {
	for name, gv := range g.view.Load().groups {
		if !gv.switching {
			continue
		}
		start := time.Now()
		answers := func() bool { return gv.primary == nil || gv.primary.failingFor(clock.Now()) == 0 }
		cut := gv.group.release(answers)
		g.opts.Events.Event("group_released").Str("group", name).Uint64("generation", gv.generation).Int("cut_off", cut).
			Dur("after_ms", time.Since(start)).Msg("nothing is in progress at the primary")
	}
}

// Alarm is signalled when a primary begins to fail, so that the directory
// learns it at once.
func (g *Gateway) Alarm() <-chan struct{} { return g.alarm }

func (g *Gateway) raise() {
	select {
	case g.alarm <- struct{}{}:
	default:
	}
}

// reachableWithin is how recently a server must have answered to count as
// reachable.
const reachableWithin = 3 * time.Second

// Reports returns what the host observes of each primary.
func (g *Gateway) Reports() []directoryrpc.Report {
	now := clock.Now()
	var out []directoryrpc.Report
	for name, gv := range g.view.Load().groups {
		r := directoryrpc.Report{Group: name, Generation: gv.generation}
		gv.group.mu.Lock()
		r.Position = gv.group.latest
		gv.group.mu.Unlock()
		if gv.primary != nil {
			r.Failing, r.Answered = gv.primary.failingFor(now), gv.primary.answeredAgo(now)
		}
		for _, m := range gv.members {
			if ago := m.answeredAgo(now); m != gv.primary && ago > 0 && ago < reachableWithin && m.failingFor(now) == 0 && r.Failing > 0 {
				r.Reachable = append(r.Reachable, m.server.ID)
			}
		}
		out = append(out, r)
	}
	return out
}

// loopUpkeep trims the pools, ends transactions that were left open, and tries
// the servers that fail.
func (g *Gateway) loopUpkeep() {
	ticker := time.NewTicker(upkeep)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		members := slices.Collect(maps.Values(g.members))
		sessions := slices.Collect(maps.Keys(g.sessions))
		g.mu.Unlock()
		for _, m := range members {
			if round%trimEvery == 0 {
				m.pool.trim()
			}
			if m.probe() {
				g.tasks.Go(func() { m.runProbe(g.ctx, g.raise) })
			}
		}
		if limit := g.view.Load().cfg.TransactionIdle; limit > 0 {
			for _, s := range sessions {
				s.expire(limit)
			}
		}
	}
}

// electionTime is how long control may be without a leader. A host without a
// lease waits as long before it refuses callers: at that moment no other host
// serves them better.
const electionTime = 1700 * time.Millisecond

// CutOff reports whether this host has been without a lease for longer than an
// election takes, so that callers should turn to another one.
func (g *Gateway) CutOff() bool { return g.leaseLeft() < -electionTime }

// awaitLease waits until the host has a lease and a configuration, and reports
// whether it has.
func (g *Gateway) awaitLease(ctx context.Context) bool {
	for !g.leased() || g.view.Load().cfg.Version == 0 {
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

// Open starts a session for a database. A host that has just started waits for
// its lease.
func (g *Gateway) Open(ctx context.Context, name string) (*Session, error) {
	if !g.view.Load().declares(name) {
		if !g.awaitLease(ctx) {
			return nil, errkind.New(errkind.ConfigStale, "this host can't be sure of its configuration")
		}
		if v := g.view.Load(); !v.declares(name) {
			return nil, errkind.New(errkind.UnknownGroup, "database %q is not declared in version %d", name, v.cfg.Version)
		}
	}
	s := &Session{gateway: g, name: name, values: make(map[string]string), prepared: make(map[string]*shape)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions[s] = struct{}{}
	return s, nil
}

// AbortTransactions rolls back every open transaction that is not running a
// statement, for a planned stop.
func (g *Gateway) AbortTransactions() {
	g.mu.Lock()
	sessions := slices.Collect(maps.Keys(g.sessions))
	g.mu.Unlock()
	for _, s := range sessions {
		s.expire(0)
	}
}

// Sessions returns the number of open sessions.
func (g *Gateway) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}
