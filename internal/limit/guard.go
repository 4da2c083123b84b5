package limit

import (
	"cmp"
	"container/list"
	"math/bits"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// sweepInterval is how often the time limits are checked.
	sweepInterval = time.Second
	// reportInterval is the shortest time between two log lines about refused and
	// closed connections, which bounds the log under any load.
	reportInterval = 5 * time.Second
	// reclaimPause is the shortest time between two searches for connections to close:
	// a search looks at all of them.
	reclaimPause = 20 * time.Millisecond
	// unusedAge is the age from which on a session that has not run a statement makes
	// room for a new connection. A caller that opens a session for a statement sends it
	// within a round trip.
	unusedAge = time.Second
	// reclaimFraction is the fraction of the budget that a search frees at least, so
	// that searches are rare.
	reclaimFraction = 0.125
)

// GuardOptions configures a Guard. Member and Abort are required.
type GuardOptions[C comparable] struct {
	Name     string // of the clients, for metrics and the log; default "callers"
	Limits   Limits
	Budget   *Budget
	Member   func(C) *Member
	Abort    func(C, Reason) // closes a connection; must not wait for the locks of a connection that calls Take
	Logger   zerolog.Logger
	Registry metrics.Registry // nil: New creates a private registry
}

// Guard keeps the connections of one listener within its limits. Its methods are safe
// for concurrent use.
type Guard[C comparable] struct {
	opts     GuardOptions[C]
	counters map[Reason]metrics.Counter
	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	conns      map[C]struct{}
	perAddress map[netip.Addr]int
	starting   list.List // of C: connections without a session, oldest first
	unused     list.List // of C: sessions that have not run a statement for unusedAge, oldest first

	reclaimMu   sync.Mutex
	nextReclaim time.Time // guarded by reclaimMu
}

// NewGuard returns a guard without connections. StartChecks starts its checks.
func NewGuard[C comparable](opts GuardOptions[C]) *Guard[C] {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	if opts.Name == "" {
		opts.Name = "callers"
	}
	g := &Guard[C]{
		opts: opts, conns: make(map[C]struct{}), perAddress: make(map[netip.Addr]int),
		counters: make(map[Reason]metrics.Counter), stop: make(chan struct{}),
	}
	for r := TooManyConnections; r <= TooLarge; r++ {
		g.counters[r] = metrics.GetOrRegisterCounter(opts.Name+".refused."+r.String(), opts.Registry)
	}
	registerGauge(opts.Registry, opts.Name+".connections", func() int64 { return int64(g.Len()) })
	return g
}

// StartChecks starts the checks of the time limits.
func (g *Guard[C]) StartChecks() {
	g.done.Add(1)
	go g.loop()
}

// Close ends the checks.
func (g *Guard[C]) Close() {
	g.stopOnce.Do(func() { close(g.stop) })
	g.done.Wait()
}

// Len returns the number of connections.
func (g *Guard[C]) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// All returns the connections.
func (g *Guard[C]) All() []C {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]C, 0, len(g.conns))
	for c := range g.conns {
		out = append(out, c)
	}
	return out
}

// Add adds a connection from address. It returns the reason if the connection is
// refused. Abort may be called for the connection once Member.Open was called.
func (g *Guard[C]) Add(c C, address netip.Addr) (Reason, bool) {
	l := g.opts.Limits
	g.mu.Lock()
	var victim C
	evict := false
	switch {
	case l.MaxPerAddress > 0 && g.perAddress[address] >= l.MaxPerAddress:
		g.mu.Unlock()
		return g.Count(TooManyPerAddress), false
	case l.MaxConnections > 0 && len(g.conns) >= l.MaxConnections:
		if victim, evict = g.leastUseful(); !evict {
			g.mu.Unlock()
			return g.Count(TooManyConnections), false
		}
		g.removeUnused(victim)
	}
	m := g.opts.Member(c)
	m.unused = g.starting.PushBack(c)
	g.conns[c] = struct{}{}
	if l.MaxPerAddress > 0 {
		g.perAddress[address]++
	}
	g.mu.Unlock()
	if evict {
		g.abort(victim, Unused)
	}
	return None, true
}

// Remove removes a connection that has been closed, and returns what it holds.
func (g *Guard[C]) Remove(c C, address netip.Addr) {
	g.mu.Lock()
	if _, ok := g.conns[c]; ok {
		delete(g.conns, c)
		g.removeUnused(c)
		if g.opts.Limits.MaxPerAddress > 0 {
			if g.perAddress[address]--; g.perAddress[address] <= 0 {
				delete(g.perAddress, address)
			}
		}
	}
	g.mu.Unlock()
	g.GiveAll(c)
}

// leastUseful returns the connection that makes room for a new one: the oldest without a
// session, which had the most time for its start-up, or else the newest session that has
// not run a statement for unusedAge, because older ones may belong to callers that open them ahead. The
// caller holds mu.
func (g *Guard[C]) leastUseful() (c C, ok bool) {
	e := g.starting.Front()
	if e == nil {
		e = g.unused.Back()
	}
	if e == nil {
		return c, false
	}
	return e.Value.(C), true
}

// Start tells that the session of a connection has started.
func (g *Guard[C]) Start(c C) {
	m := g.opts.Member(c)
	m.progress.Store(now())
	m.flags.Or(flagStarted)
	m.begun.Store(0)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeUnused(c)
}

// Use tells that a connection runs a statement. It makes room for no other one after
// that.
func (g *Guard[C]) Use(c C) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeUnused(c)
	g.opts.Member(c).used = true
}

// removeUnused removes a connection from the starting or unused ones. The caller holds
// mu.
func (g *Guard[C]) removeUnused(c C) {
	m := g.opts.Member(c)
	if m.unused == nil {
		return
	}
	list := &g.starting
	if m.listed {
		list = &g.unused
	}
	list.Remove(m.unused)
	m.unused, m.listed = nil, false
}

// listUnused adds the sessions to the unused ones that have become old enough. The caller
// holds mu.
func (g *Guard[C]) listUnused(at int64) {
	if 4*len(g.conns) < 3*g.opts.Limits.MaxConnections || g.opts.Limits.MaxConnections == 0 {
		return // an element of the list takes memory
	}
	var found []C
	for c := range g.conns {
		m := g.opts.Member(c)
		if m.Started() && !m.used && !m.listed && at-m.progress.Load() >= int64(unusedAge) {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b C) int {
		return cmp.Compare(g.opts.Member(a).progress.Load(), g.opts.Member(b).progress.Load())
	})
	for _, c := range found {
		m := g.opts.Member(c)
		m.unused, m.listed = g.unused.PushBack(c), true
	}
}

// Count counts a refusal and returns its reason.
func (g *Guard[C]) Count(r Reason) Reason {
	g.counters[r].Inc(1)
	return r
}

func (g *Guard[C]) abort(c C, r Reason) {
	if g.opts.Member(c).flags.Or(flagClosing)&flagClosing == 0 {
		g.Count(r)
		g.opts.Abort(c, r)
	}
}

// Take takes n bytes for a connection, if necessary after others were closed. It takes
// nothing and returns false if there is no room.
func (g *Guard[C]) Take(c C, n int64) bool {
	m := g.opts.Member(c)
	if !g.opts.Budget.Take(n, m.held.Load()) {
		g.reclaim(c, n)
		if !g.opts.Budget.Take(n, m.held.Load()) {
			return false
		}
	}
	m.held.Add(n)
	return true
}

// Give returns n bytes of a connection, or all if it holds less, because the guard is
// closing it.
func (g *Guard[C]) Give(c C, n int64) {
	held := &g.opts.Member(c).held
	for n > 0 {
		h := held.Load()
		if held.CompareAndSwap(h, h-min(n, h)) {
			g.opts.Budget.Give(min(n, h))
			return
		}
	}
}

// GiveAll returns everything that a connection holds.
func (g *Guard[C]) GiveAll(c C) { g.opts.Budget.Give(g.opts.Member(c).held.Swap(0)) }

// candidate is a connection that may be closed to free memory.
type candidate[C comparable] struct {
	conn  C
	held  int64
	since int64
}

// reclaim closes connections that hold memory without being able to use it, other than
// asker, the largest first and the newest first among those of about the same size, all
// larger than n. What they hold is returned at once; nbio frees it within a moment.
func (g *Guard[C]) reclaim(asker C, n int64) {
	g.reclaimMu.Lock()
	defer g.reclaimMu.Unlock()
	at := time.Now()
	if at.Before(g.nextReclaim) {
		return
	}
	g.nextReclaim = at.Add(reclaimPause)
	own := g.opts.Member(asker).held.Load() + n
	var list []candidate[C]
	for _, c := range g.All() {
		m := g.opts.Member(c)
		if since, ok := m.useless(); ok && c != asker && m.held.Load() >= own {
			list = append(list, candidate[C]{c, m.held.Load(), since})
		}
	}
	slices.SortFunc(list, func(a, b candidate[C]) int {
		if d := bits.Len64(uint64(b.held)) - bits.Len64(uint64(a.held)); d != 0 {
			return d
		}
		return int(max(-1, min(1, b.since-a.since)))
	})
	want := max(n, int64(reclaimFraction*float64(g.opts.Budget.limit)))
	var freed int64
	for _, v := range list {
		if freed >= want {
			break
		}
		freed += v.held
		g.abort(v.conn, Evicted)
		g.GiveAll(v.conn)
	}
}

// loop checks the time limits until Close.
func (g *Guard[C]) loop() {
	defer g.done.Done()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	reported := make(map[Reason]int64)
	var next time.Time
	for {
		select {
		case <-g.stop:
			return
		case at := <-ticker.C:
			g.sweep()
			if !at.Before(next) && g.report(reported) {
				next = at.Add(reportInterval)
			}
		}
	}
}

// sweep closes the connections that have exceeded a time limit.
func (g *Guard[C]) sweep() {
	at := now()
	g.mu.Lock()
	g.listUnused(at)
	var overdue []C
	var why []Reason
	for c := range g.conns {
		if r, ok := g.opts.Member(c).overdue(g.opts.Limits, at); ok {
			overdue, why = append(overdue, c), append(why, r)
		}
	}
	g.mu.Unlock()
	for i, c := range overdue {
		g.abort(c, why[i])
	}
}

// report logs what was refused or closed since the last report. It reports whether there
// was anything.
func (g *Guard[C]) report(reported map[Reason]int64) bool {
	var total int64
	delta := make(map[Reason]int64)
	for r := TooManyConnections; r <= TooLarge; r++ {
		count := g.counters[r].Count()
		delta[r] = count - reported[r]
		total += delta[r]
		reported[r] = count
	}
	if total == 0 {
		return false
	}
	e := g.opts.Logger.Warn().Str("event", g.opts.Name+"_refused").Int("connections", g.Len()).Int64("memory_bytes", g.opts.Budget.Used())
	for r := TooManyConnections; r <= TooLarge; r++ {
		if delta[r] > 0 {
			e = e.Int64(r.String(), delta[r])
		}
	}
	e.Msg("connections were refused or closed, by limit")
	return true
}
