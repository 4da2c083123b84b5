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

// Limits of the delay before a failed planned change is retried. They are
// longer than those of other attempts, because the group still works and each
// attempt may interrupt writes.
const (
	minPlannedRetryDelay = 2 * time.Second
	maxPlannedRetryDelay = 30 * time.Second
)

// minRetryDelay is the delay, without jitter, before the first retry of a failed
// attempt.
const minRetryDelay = 50 * time.Millisecond

// Failover names the primaries of all groups. At most one attempt per group and
// Options.MaxConcurrentAttempts over all groups run at a time. It lives for one
// leadership; everything that the next leader needs is in the state.
type Failover struct {
	opts     Options
	log      *Log
	machine  *Machine
	sessions *Sessions
	logger   zerolog.Logger

	wake  chan struct{}
	slots chan struct{} // holds a value for each running attempt
	// unreachable records for the Assigner which primaries their owners can't reach.
	unreachable *unreachableReports

	mu     sync.Mutex
	groups map[string]*groupWork // groups that need an attempt or had a failed one; guarded by mu
}

// groupWork is the state of the attempts for one group.
type groupWork struct {
	running      bool
	requested    Cause     // cause of a requested attempt, empty for none
	failures     int       // attempts failed since the last success
	notBefore    time.Time // earliest start of the next attempt
	plannedDelay bool      // notBefore is from the longer delay of a planned change
	lastError    string
}

func newFailover(opts Options, log *Log, machine *Machine, sessions *Sessions) *Failover {
	return &Failover{
		opts: opts, log: log, machine: machine, sessions: sessions,
		logger:      opts.Logger.With().Str("part", "failover").Logger(),
		wake:        make(chan struct{}, 1),
		slots:       make(chan struct{}, opts.MaxConcurrentAttempts),
		groups:      make(map[string]*groupWork),
		unreachable: &unreachableReports{byServer: make(map[string]*unreachableReport)},
	}
}

// Request asks for a new primary because of an event. A request that arrives
// while an attempt runs is dropped: that attempt names a new primary anyway.
func (f *Failover) Request(group string, cause Cause) {
	f.mu.Lock()
	w := f.groupWorkFor(group)
	if !w.running && (w.requested == "" || cause == CauseSuspect) {
		w.requested = cause
		if w.plannedDelay {
			// The longer delay applies only while the group works.
			w.notBefore = time.Time{}
		}
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Suspect handles a report that the host cannot reach the server. It ignores
// reports of hosts other than the primary's owner, and the attempt first probes
// the primary itself.
func (f *Failover) Suspect(h holder, server string) {
	v := f.machine.View()
	l := v.Leases[server]
	g, ok := v.Groups[v.Servers[server].Group]
	if ok && g.Phase == controlrpc.PhaseSteady && g.Primary == server && h == (holder{l.Host, l.Incarnation}) {
		f.Request(g.Name, CauseSuspect)
	}
}

// groupWorkFor returns the entry of a group and creates it if needed. The
// caller holds mu.
func (f *Failover) groupWorkFor(group string) *groupWork {
	w := f.groups[group]
	if w == nil {
		w = new(groupWork)
		f.groups[group] = w
	}
	return w
}

// run starts attempts until ctx ends with the leadership.
func (f *Failover) run(ctx context.Context) {
	scanUntilEnd(ctx, f.machine, f.wake, f.opts.ScanInterval, f.scan)
}

// scan starts the attempts that are due while there are free slots.
func (f *Failover) scan(ctx context.Context, wg *sync.WaitGroup) {
	v := f.machine.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for name, g := range v.Groups {
		cause := f.dueCause(v, g)
		if cause == "" {
			continue
		}
		w := f.groupWorkFor(name)
		if w.running || now.Before(w.notBefore) {
			continue
		}
		select {
		case f.slots <- struct{}{}:
		default:
			return // finish wakes the next scan
		}
		w.running, w.requested = true, ""
		wg.Go(func() { f.attempt(ctx, wg, name, cause) })
	}
}

// dueCause returns why a group needs an attempt, empty if it needs none. The
// caller holds mu.
func (f *Failover) dueCause(v *View, g controlrpc.Group) Cause {
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

// attempt runs one attempt and records its result.
func (f *Failover) attempt(ctx context.Context, calls *sync.WaitGroup, group string, cause Cause) {
	logger := f.logger.With().Str("group", group).Str("cause", string(cause)).Logger()
	a := &attempt{
		opts: f.opts, log: f.log, machine: f.machine, sessions: f.sessions, logger: logger, calls: calls,
		group: group, cause: cause,
	}
	start := time.Now()
	err := a.run(ctx)
	if errors.Is(err, errNotNeeded) {
		f.unreachable.add(a.oldGroup.Primary, f.machine.View().Leases[a.oldGroup.Primary].Host)
	}
	switch {
	case err == nil:
		f.opts.metrics.primariesNamed.Inc(1)
		f.opts.metrics.changeDuration.Update(time.Since(start).Milliseconds())
		logger.Info().Uint64("term", a.term).Dur("took", time.Since(start)).Msg("named a new primary")
	case errors.Is(err, errNotNeeded) || ctx.Err() != nil || errkind.Of(err) == errkind.NotLeader:
		logger.Debug().Err(err).Msg("attempt ended without a new primary")
	default:
		f.opts.metrics.attemptsFailed.Inc(1)
		logger.Warn().Err(err).Uint64("term", a.term).Msg("attempt to name a new primary failed")
	}
	f.finish(group, cause, err)
}

// finish records the result of an attempt, sets the delay before the next one
// and frees its slot.
func (f *Failover) finish(group string, cause Cause, err error) {
	f.mu.Lock()
	w := f.groupWorkFor(group)
	w.running = false
	if err == nil || errors.Is(err, errNotNeeded) {
		delete(f.groups, group)
	} else {
		w.lastError = err.Error()
		delay := min(minRetryDelay<<min(w.failures, 10), f.opts.MaxRetryDelay)
		w.plannedDelay = cause.planned() && f.machine.View().Groups[group].Phase == controlrpc.PhaseSteady
		if w.plannedDelay {
			delay = min(minPlannedRetryDelay<<min(w.failures, 10), maxPlannedRetryDelay)
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
