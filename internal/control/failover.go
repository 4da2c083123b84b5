package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rs/zerolog"
)

// Limits of the delay before a planned change that failed is tried again.
// Nothing is broken meanwhile, and each try may interrupt writes.
const (
	minPlannedRetry = 2 * time.Second
	maxPlannedRetry = 30 * time.Second
)

// firstRetry is the shortest delay before a failed attempt is repeated.
const firstRetry = 50 * time.Millisecond

// Failover names the primaries of all groups. At most one attempt for each
// group and Options.Parallel attempts over all groups run at one time. It
// runs during one leadership; what the next leader needs is in the state.
type Failover struct {
	opts     Options
	log      *Log
	machine  *Machine
	sessions *Sessions
	logger   zerolog.Logger

	wake  chan struct{}
	slots chan struct{} // one for each running attempt
	// unreached tells the Assigner which primaries their owners don't reach.
	unreached *unreached

	mu     sync.Mutex
	groups map[string]*groupWork // groups with something to do; guarded by mu
}

// groupWork is what this leader has to do for one group.
type groupWork struct {
	running   bool
	requested Cause     // by an event, empty for none
	failures  int       // attempts that failed since the last success
	notBefore time.Time // next attempt
	leisurely bool      // notBefore is the long delay of a planned change
	lastError string
}

func newFailover(opts Options, log *Log, machine *Machine, sessions *Sessions) *Failover {
	return &Failover{
		opts: opts, log: log, machine: machine, sessions: sessions,
		logger:    opts.Logger.With().Str("part", "failover").Logger(),
		wake:      make(chan struct{}, 1),
		slots:     make(chan struct{}, opts.Parallel),
		groups:    make(map[string]*groupWork),
		unreached: &unreached{byID: make(map[string]*report)},
	}
}

// Request asks for a new primary because of an event. A request that comes
// while an attempt runs is dropped: that attempt names a new primary anyway.
func (f *Failover) Request(group string, cause Cause) {
	f.mu.Lock()
	w := f.work(group)
	if !w.running && (w.requested == "" || cause == CauseSuspect) {
		w.requested = cause
		if w.leisurely {
			// The delay is meant for a group that works.
			w.notBefore = time.Time{}
		}
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Suspect reports that the host cannot reach the server. Only the owner of
// the primary is believed, and the attempt probes the primary itself first.
func (f *Failover) Suspect(h holder, server string) {
	v := f.machine.View()
	l := v.Leases[server]
	g, ok := v.Groups[v.Servers[server].Group]
	if ok && g.Phase == controlrpc.PhaseSteady && g.Primary == server && h == (holder{l.Host, l.Incarnation}) {
		f.Request(g.Name, CauseSuspect)
	}
}

// work returns the entry of a group. The caller holds mu.
func (f *Failover) work(group string) *groupWork {
	w := f.groups[group]
	if w == nil {
		w = new(groupWork)
		f.groups[group] = w
	}
	return w
}

// run works until ctx ends, which is the end of the leadership.
func (f *Failover) run(ctx context.Context) {
	scanUntilEnd(ctx, f.machine, f.wake, f.opts.Tick, f.scan)
}

// scan starts the attempts that are due, as far as there are free slots.
func (f *Failover) scan(ctx context.Context, group *sync.WaitGroup) {
	v := f.machine.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for name, g := range v.Groups {
		cause := f.due(v, g)
		if cause == "" {
			continue
		}
		w := f.work(name)
		if w.running || now.Before(w.notBefore) {
			continue
		}
		select {
		case f.slots <- struct{}{}:
		default:
			return // finish wakes the next scan
		}
		w.running, w.requested = true, ""
		group.Go(func() { f.attempt(ctx, group, name, cause) })
	}
}

// due returns why a group needs an attempt, empty if it needs none. The
// caller holds mu.
func (f *Failover) due(v *View, g controlrpc.Group) Cause {
	requested := Cause("")
	if w := f.groups[g.Name]; w != nil {
		requested = w.requested
	}
	switch g.Phase {
	case controlrpc.PhaseWaiting:
		if n := v.Declared(g.Name); n > 0 && len(g.Members) == n {
			return CauseFirst
		}
		return ""
	case controlrpc.PhaseFencing:
		return CauseResume
	}
	switch {
	case requested != "":
		return requested
	case v.OutOfService(g.Primary):
		return CauseLeaving
	case nextMembers(v, g, func(string) bool { return true }) != nil:
		return CauseMembers
	}
	return ""
}

// attempt runs one attempt and records its end.
func (f *Failover) attempt(ctx context.Context, calls *sync.WaitGroup, group string, cause Cause) {
	logger := f.logger.With().Str("group", group).Str("cause", string(cause)).Logger()
	a := &attempt{
		opts: f.opts, log: f.log, machine: f.machine, sessions: f.sessions, logger: logger, calls: calls,
		group: group, cause: cause,
	}
	start := time.Now()
	err := a.run(ctx)
	if errors.Is(err, errNotNeeded) {
		f.unreached.add(a.was.Primary, f.machine.View().Leases[a.was.Primary].Host)
	}
	switch {
	case err == nil:
		f.opts.meters.named.Inc(1)
		f.opts.meters.changeTime.Update(time.Since(start).Milliseconds())
		logger.Info().Uint64("term", a.term).Dur("took", time.Since(start)).Msg("named a new primary")
	case errors.Is(err, errNotNeeded) || ctx.Err() != nil || errkind.Of(err) == errkind.NotLeader:
		logger.Debug().Err(err).Msg("attempt ended without a new primary")
	default:
		f.opts.meters.failed.Inc(1)
		logger.Warn().Err(err).Uint64("term", a.term).Msg("attempt to name a new primary failed")
	}
	f.finish(group, cause, err)
}

func (f *Failover) finish(group string, cause Cause, err error) {
	f.mu.Lock()
	w := f.work(group)
	w.running = false
	if err == nil || errors.Is(err, errNotNeeded) {
		delete(f.groups, group)
	} else {
		w.lastError = err.Error()
		delay := min(firstRetry<<min(w.failures, 10), f.opts.RetryDelay)
		w.leisurely = cause.planned() && f.machine.View().Groups[group].Phase == controlrpc.PhaseSteady
		if w.leisurely {
			delay = min(minPlannedRetry<<min(w.failures, 10), maxPlannedRetry)
		}
		w.failures++
		w.notBefore = time.Now().Add(delay/2 + rand.N(delay/2+1))
	}
	f.mu.Unlock()
	<-f.slots
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
