package directory

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/arbutusring/arbutusring/internal/statement"
	"golang.org/x/time/rate"
)

const (
	// checkInterval is the longest pause between two checks of all groups.
	// Detection of a lost primary takes FailAfter, so a shorter interval would
	// gain little.
	checkInterval = 50 * time.Millisecond
	// minCheckInterval is the shortest pause: when hundreds of servers start, the
	// state changes more often than all groups can be checked.
	minCheckInterval = 5 * time.Millisecond
	// proposeTimeout bounds a proposal to the log. It is shorter than the timeout
	// of the client, so that the client receives the kind of error.
	proposeTimeout = time.Second
)

// leadership is the state and the work of one term of this host as the leader.
// Nothing in it survives the term except through the replicated state.
type leadership struct {
	opts     Options
	log      *control.Log
	machine  *Machine
	token    uint64 // fencing token: the term of the log, which grows with each leadership
	sessions *sessions

	allowances *allowances
	ctx        context.Context // ends with the leadership
	workers    sync.WaitGroup

	liveHosts   atomic.Int64 // hosts with a lease, as of the last check
	hostList    hostList     // the same hosts
	wholeStates *rate.Limiter
	switchovers atomic.Int64 // in progress

	byGroup        map[string][]directoryrpc.Server // servers of byGroupVersion; used by run only
	byGroupVersion uint64

	mu        sync.Mutex
	monitors  map[string]*primaryMonitor // by group
	inProcess map[string]bool            // groups with a change in progress
}

func newLeadership(ctx context.Context, opts Options, log *control.Log, m *Machine, token uint64) *leadership {
	return &leadership{
		opts: opts, log: log, machine: m, token: token, ctx: ctx,
		sessions:    newSessions(opts.TTL, opts.ClockDrift),
		allowances:  newAllowances(opts, m.AllowanceLedger(), token),
		wholeStates: rate.NewLimiter(wholeStateRate, wholeStateBurst),
		monitors:    make(map[string]*primaryMonitor),
		inProcess:   make(map[string]bool),
	}
}

// run checks the groups until the leadership ends.
func (l *leadership) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var lastAnnounced time.Time
	for l.ctx.Err() == nil {
		changed := l.machine.Changed()
		live := l.sessions.liveHosts()
		l.liveHosts.Store(int64(len(live)))
		l.hostList.update(live)
		l.checkGroups(l.machine.State())
		l.recordHostCount(l.machine.State())
		l.checkAllowances(l.machine.State())
		l.sessions.forgetSilent()
		if time.Since(lastAnnounced) >= l.changeDelay() {
			lastAnnounced = time.Now()
			l.sessions.announceSuspicions()
		}
		select {
		case <-ticker.C:
		case <-changed:
			l.sleep(minCheckInterval)
		case <-l.ctx.Done():
		}
	}
	l.workers.Wait()
}

// hostCount returns the number of entry hosts that share the connections of the
// servers. Until every host has had the time to report, the count of an earlier
// leader is used if it is higher: after a power loss the first hosts to return
// would otherwise each open as many connections as if they were alone and
// overload the servers.
func (l *leadership) hostCount() int {
	n := max(1, int(l.liveHosts.Load()))
	if !l.sessions.earlierLeasesExpired() {
		n = max(n, l.machine.HostCount())
	}
	return n
}

// minHostCountChange is the relative change of the number of entry hosts above
// which the new number is logged.
const minHostCountChange = 0.1

// recordHostCount stores the number of entry hosts in the log for the next leader.
func (l *leadership) recordHostCount(s directoryrpc.State) {
	n := int(l.liveHosts.Load())
	if !l.sessions.earlierLeasesExpired() || n == 0 || math.Abs(float64(n-s.HostCount)) <= minHostCountChange*float64(s.HostCount) {
		return
	}
	err := l.propose(Command{HostCount: &SetHostCount{Count: n}})
	l.opts.Events.Event("hosts_counted").Int("hosts", n).Int("before", s.HostCount).Err(err).Msg("the number of entry hosts has changed")
}

// checkGroups records the primary of each new group and starts switchovers where
// they are needed.
func (l *leadership) checkGroups(s directoryrpc.State) {
	if l.byGroup == nil || l.byGroupVersion != s.Version {
		l.byGroup, l.byGroupVersion = make(map[string][]directoryrpc.Server, len(s.Groups)), s.Version
		for _, srv := range s.Servers {
			l.byGroup[srv.Group] = append(l.byGroup[srv.Group], srv)
		}
	}
	for name, servers := range l.byGroup {
		g, known := s.Groups[name]
		switch {
		case !known:
			l.startAdoption(name, servers)
		case g.Switching:
			l.startSwitchover(g, causeResumed)
		default:
			if c := l.monitor(name).causeOfChange(l, s, g, servers); c != causeNone {
				l.startSwitchover(g, c)
			}
		}
	}
}

// startAdoption records a server that announced itself as the primary of a new group. It
// does so in the background, because hundreds of groups may be new at the same time and a
// proposal takes tens of milliseconds.
func (l *leadership) startAdoption(name string, servers []directoryrpc.Server) {
	var announced []directoryrpc.Server
	for _, s := range servers {
		if s.Role == statement.Primary {
			announced = append(announced, s)
		}
	}
	if len(announced) == 0 {
		return
	}
	l.startChange(name, func() {
		primary, term := l.newestPrimary(announced)
		l.sessions.recordPrimary(name)
		err := l.propose(Command{Group: &SetGroup{Group: directoryrpc.Group{Name: name, Primary: primary, Term: term}}})
		l.opts.Events.Event("primary_adopted").Str("group", name).Str("server", primary).Uint64("term", term).Err(err).Msg("recording the announced primary of a new group")
	})
}

// newestPrimary returns the server that leads the latest term among those that announced
// themselves as the primary, and the term. If none of them answers as a primary, it returns
// the first one and 0.
func (l *leadership) newestPrimary(announced []directoryrpc.Server) (id string, term uint64) {
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	answers := make(chan statusResult, len(announced))
	for _, srv := range announced {
		l.workers.Go(func() { l.runStatusCall(ctx, srv, answers) })
	}
	id = announced[0].ID
	for range announced {
		if c := <-answers; c.err == nil && c.status.Role == statement.Primary && c.status.Term > term {
			id, term = c.server.ID, c.status.Term
		}
	}
	return id, term
}

// runStatusCall asks a server for its status.
func (l *leadership) runStatusCall(ctx context.Context, srv directoryrpc.Server, answers chan<- statusResult) {
	st, err := l.opts.Members.Status(ctx, srv)
	answers <- statusResult{srv, st, err}
}

// recordedTerm returns the term of the recorded primary of a group, as far as it is known:
// the state of an earlier release doesn't hold it, but hosts report positions.
func (l *leadership) recordedTerm(g directoryrpc.Group) uint64 {
	return max(g.Term, l.sessions.highestPosition(g.Name).Term)
}

// monitor returns the monitor of a group, which it creates on first use.
func (l *leadership) monitor(group string) *primaryMonitor {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.monitors[group]
	if m == nil {
		m = new(primaryMonitor)
		l.monitors[group] = m
	}
	return m
}

// While a group switches, its primary takes no statements. When hundreds of hosts
// start at the same time, primaries are too busy for new connections and look lost;
// without a bound on the switchovers in progress all groups would be stopped at once.
const (
	// alwaysSwitchovers is how many may always be in progress. A switchover takes
	// about a second.
	alwaysSwitchovers = 32
	// maxSwitchoverFraction is the fraction of the groups that may switch at the same
	// time if that is more: the primaries of one of nine data centres.
	maxSwitchoverFraction = 1.0 / 9
)

// startSwitchover starts a switchover in the background, unless too many are in
// progress. The next check of the groups tries again.
func (l *leadership) startSwitchover(g directoryrpc.Group, c cause) {
	limit := max(alwaysSwitchovers, int64(maxSwitchoverFraction*float64(len(l.byGroup))))
	if l.switchovers.Add(1) > limit {
		l.switchovers.Add(-1)
		return
	}
	sw := &switchover{leadership: l, group: g.Name, cause: c, refusedAt: make(map[string]time.Time), requests: make(map[string]int)}
	if c == causeSuperseded {
		sw.successor = l.monitor(g.Name).others.known()
	}
	started := l.startChange(g.Name, func() {
		defer l.switchovers.Add(-1)
		sw.run()
	})
	if !started {
		l.switchovers.Add(-1)
	}
}

// startChange runs a change of a group in the background, unless one is in progress.
// It reports whether the change was started.
func (l *leadership) startChange(group string, run func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inProcess[group] {
		return false
	}
	l.inProcess[group] = true
	l.workers.Go(func() {
		run()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.inProcess, group)
	})
	return true
}

// propose proposes a command to the log and waits until it is applied.
func (l *leadership) propose(c Command) error {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	return propose(ctx, l.log, c)
}

// propose appends a command to the log and returns its error, once it is applied.
func propose(ctx context.Context, log *control.Log, c Command) error {
	data, err := log.Propose(ctx, EncodeCommand(c))
	if err != nil {
		return err
	}
	var r result
	if err := msgpack.Decode(data, &r, "the result of a log entry"); err != nil {
		return err
	}
	return r.err()
}

// sleep waits for d. It returns false if the leadership ended first.
func (l *leadership) sleep(d time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
