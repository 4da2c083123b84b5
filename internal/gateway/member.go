package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

const (
	// reservedConnections is the number of connections of each server that are
	// left to the directory.
	reservedConnections = 2
	// connectionOvercommit is the multiple of its fair share of a server's
	// connections that a host may open while other hosts leave theirs unused.
	connectionOvercommit = 2
	// slotOvercommit is the number of statements, as a multiple of a server's
	// slots, that all hosts together keep in progress there. It keeps the server
	// busy during network round trips without letting urgent statements wait
	// behind others at the server.
	slotOvercommit = 3
	// rankQueueLimit bounds the statements of one rank that wait for one server.
	// It bounds memory: admission by expected wait refuses statements well before.
	rankQueueLimit = 500
	// minRankShare is the minimum share of slot time of each rank but the first,
	// so that an overload of urgent work does not starve the others.
	minRankShare = 0.1
	// initialBackoff and maxBackoff bound the time for which a failed server gets
	// no reads that another server can run.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// unresponsiveAfter is how long a server may leave all statements unanswered
	// before it is probed with a new connection. Statements usually take less than
	// 150 ms.
	unresponsiveAfter = 250 * time.Millisecond
	// initialProbeInterval and maxProbeInterval bound the interval between two
	// probes. Each occupies a slot of the server for 12 ms, which a busy server
	// can't spare.
	initialProbeInterval = 100 * time.Millisecond
	maxProbeInterval     = 400 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 400 * time.Millisecond
	// primaryDrainTime is how long a draining primary still gets statements while
	// its successor is chosen. A host must stop sending statements to a
	// draining server within 7 s.
	primaryDrainTime = 4 * time.Second
	// initialLagBackoff and maxLagBackoff bound the time for which a replica that
	// had not applied a required position is ranked below the others.
	initialLagBackoff = 20 * time.Millisecond
	maxLagBackoff     = 500 * time.Millisecond
	// smoothingDivisor is the inverse of the weight of one observation in the
	// smoothed answer time.
	smoothingDivisor = 8
	// assumedServiceTime is the assumed slot time of a statement until the first
	// one has ended. With it, when all callers reconnect at once after a power
	// failure, excess statements are refused immediately instead of at their
	// deadline. Statements usually take 20 to 50 ms including the network.
	assumedServiceTime = 25 * time.Millisecond
	// floorWindow is the window over which the minimum shares of the ranks hold.
	floorWindow = time.Second
)

// member holds the connections of this host to one backend server and what the
// host has observed of the server.
type member struct {
	server        directoryrpc.Server
	assumedRTT    time.Duration // round-trip time assumed from the location
	regionPenalty time.Duration // added to the cost if the server is in another region
	sched         *schedule.Scheduler
	pool          *pool

	mu                  sync.Mutex
	answerTime          time.Duration // smoothed time from sending a statement to its answer
	applied             logpos.Position
	lastAnswer          time.Time // time of the last answer; zero if there was none
	failingSince        time.Time // start of the current run of failures; zero if the server answers
	consecutiveFailures int
	backoffUntil        time.Time
	consecutiveLags     int
	lagBackoffUntil     time.Time
	probing             bool
	nextProbe           time.Time // no probe starts earlier
	inflight            int       // statements sent and not yet answered
	lastProgress        time.Time // last answer, or when inflight last became nonzero
	drainingSince       time.Time // when the host learned that the server is draining; zero if it is not
}

// newMember returns a member without connections. opened is called for each connection
// that is opened.
func newMember(opts Options, s directoryrpc.Server, opened func(customer string, exchanged bool)) *member {
	m := &member{server: s}
	m.setDraining(s.Draining)
	m.assumedRTT, m.regionPenalty = opts.Place.distance(s.DataCentre)
	m.pool = newPool(func(ctx context.Context, customer string) (Conn, error) { return opts.Connect(ctx, s, customer) }, opened)
	m.sched = schedule.New(schedule.Options{Slots: max(1, s.Slots), Ranks: rankSpecs(schedule.RankTable{}), Window: floorWindow, AssumedServiceTime: assumedServiceTime})
	return m
}

// ranksInUse returns the table of the ranks in a configuration.
func ranksInUse(cfg *database.Config) schedule.RankTable {
	inUse := make([]int, 0, len(cfg.Databases))
	for _, db := range cfg.Databases {
		inUse = append(inUse, db.Rank)
	}
	return schedule.NewRankTable(inUse)
}

// rankSpecs returns the scheduler ranks of a server.
func rankSpecs(t schedule.RankTable) []schedule.RankSpec {
	return t.Specs(minRankShare, rankQueueLimit)
}

// maxInFlight returns how many statements outside of open transactions one host
// may have in progress at a server. The server runs statements in order of
// arrival, so ranks only take effect on statements queued at the hosts.
func maxInFlight(slots, hosts int) int {
	fair := (slotOvercommit*slots + hosts - 1) / max(1, hosts)
	return max(1, min(slots, fair))
}

// configure applies a configuration and the number of hosts that share the
// connections of the server.
func (m *member) configure(specs []schedule.RankSpec, group database.Group, hosts int) {
	m.sched.Configure(maxInFlight(m.server.Slots, hosts), specs)
	usable := max(1, group.MaxConnections-reservedConnections)
	share := max(1, usable/max(1, hosts))
	m.pool.setLimits(min(usable, connectionOvercommit*share), share, usable < hosts)
}

// setDraining records whether the server is draining.
func (m *member) setDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !draining:
		m.drainingSince = time.Time{}
	case m.drainingSince.IsZero():
		m.drainingSince = clock.Now()
	}
}

// drainingFor returns how long the server has been known to be draining; 0 if
// it is not.
func (m *member) drainingFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.drainingSince.IsZero() {
		return 0
	}
	return max(clock.Now().Sub(m.drainingSince), 1)
}

// startStatement records that a statement is about to be sent.
func (m *member) startStatement() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inflight == 0 {
		m.lastProgress = clock.Now()
	}
	m.inflight++
}

// endStatement records that a statement was answered or abandoned.
func (m *member) endStatement(answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inflight--
	if answered {
		m.lastProgress = clock.Now()
	}
}

// recordAnswer records an answer that took the given time, and the log position
// returned with it.
func (m *member) recordAnswer(took time.Duration, pos logpos.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answerTime == 0 {
		m.answerTime = took
	}
	m.answerTime += (took - m.answerTime) / smoothingDivisor
	m.lastAnswer, m.failingSince, m.backoffUntil, m.consecutiveFailures = clock.Now(), time.Time{}, time.Time{}, 0
	if pos != (logpos.Position{}) {
		m.applied = pos
	}
}

// recordCaughtUp records that a replica had applied the position that a read
// required.
func (m *member) recordCaughtUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.consecutiveLags, m.lagBackoffUntil = 0, time.Time{}
}

// recordFailure records that the server could not be reached or did not answer.
// unresponsive reports whether the server answers no statement of this host;
// otherwise it is busy or only that connection is broken. first reports whether
// this is the first of consecutive failures.
func (m *member) recordFailure(err error) (first, unresponsive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	if now.Sub(m.lastAnswer) < unresponsiveAfter && !errors.Is(err, syscall.ECONNREFUSED) {
		m.backoffUntil = now.Add(initialBackoff)
		return false, false
	}
	if m.failingSince.IsZero() {
		m.failingSince = now
		if m.inflight > 0 && m.lastProgress.Before(now) {
			m.failingSince = m.lastProgress
		}
	}
	m.backoffUntil = now.Add(min(initialBackoff<<min(m.consecutiveFailures, 8), maxBackoff))
	m.nextProbe = now.Add(min(initialProbeInterval<<min(m.consecutiveFailures, 8), maxProbeInterval))
	m.consecutiveFailures++
	return m.consecutiveFailures == 1, true
}

// recordLag records that a replica had not applied a required position.
func (m *member) recordLag() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lagBackoffUntil = clock.Now().Add(min(initialLagBackoff<<min(m.consecutiveLags, 8), maxLagBackoff))
	m.consecutiveLags++
}

// expectedAnswerTime returns the smoothed time from sending a statement to its
// answer; 0 before the first answer.
func (m *member) expectedAnswerTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answerTime
}

// readClass ranks a server for reads; lower classes are preferred.
type readClass uint8

const (
	classHealthy readClass = iota
	classLagging           // recently lacked a required position
	classBackoff           // recently failed
)

// classify returns the read class of the server and the cost of a read there: its
// expected time, including the wait in the queue, plus the region penalty.
func (m *member) classify(now time.Time) (readClass, time.Duration) {
	queued, _, slotTime := m.sched.Load()
	waiting := 0
	for _, n := range queued {
		waiting += n
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	cost := max(m.answerTime, m.assumedRTT) + m.regionPenalty
	cost += slotTime * time.Duration(waiting) / time.Duration(max(1, m.server.Slots))
	switch {
	case now.Before(m.backoffUntil):
		return classBackoff, cost
	case now.Before(m.lagBackoffUntil):
		return classLagging, cost
	}
	return classHealthy, cost
}

// failingFor returns how long the server has been failing; 0 if it answers.
func (m *member) failingFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failingSince.IsZero() {
		return 0
	}
	return max(now.Sub(m.failingSince), 1)
}

// sinceLastAnswer returns the time since the last answer; 0 if there was none.
func (m *member) sinceLastAnswer(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastAnswer.IsZero() {
		return 0
	}
	return max(now.Sub(m.lastAnswer), 1)
}

// claimProbe reports whether the caller must probe the server: the server is
// failing, or it has answered none of the statements in progress for
// unresponsiveAfter. At most one probe runs at a time.
func (m *member) claimProbe() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	unresponsive := m.inflight > 0 && clock.Now().Sub(m.lastProgress) > unresponsiveAfter
	if m.failingSince.IsZero() && !unresponsive || m.probing || clock.Now().Before(m.nextProbe) {
		return false
	}
	m.probing = true
	return true
}

// probe opens a connection and adds it to the pool if that succeeds. It reports
// false if the server answers no statement of this host.
func (m *member) probe(ctx context.Context) (responds bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := m.pool.dialIgnoringLimits(ctx)
	m.mu.Lock()
	m.probing = false
	m.mu.Unlock()
	switch {
	case err == nil:
		m.recordReachable()
		m.pool.putProbe(conn)
	case errkind.Of(err) == errkind.NoMember:
		m.recordReachable() // the server answered, although it refused the connection
	default:
		_, unresponsive := m.recordFailure(err)
		return !unresponsive
	}
	return true
}

// recordReachable records that the server answers connection attempts.
// Statements on older connections may still be unanswered.
func (m *member) recordReachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failingSince, m.backoffUntil, m.consecutiveFailures = time.Time{}, time.Time{}, 0
	m.lastAnswer, m.lastProgress = clock.Now(), clock.Now()
	m.nextProbe = clock.Now().Add(maxProbeInterval)
}
