package gateway

import (
	"context"
	"errors"
	"strconv"
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
	// reservedConnections of each server stay unused for the directory.
	reservedConnections = 2
	// borrowed is how many times its equal share of the connections a host may
	// open while the others leave them unused.
	borrowed = 2
	// offered is how many times its slots all hosts together offer to a server:
	// enough to keep it busy while answers travel, few enough that urgent work
	// does not wait behind the rest.
	offered = 3
	// queueLimit is the statements of one rank that wait for one server. The
	// expected wait refuses long before; this bounds memory.
	queueLimit = 500
	// lowestShare is the part of the slots that each rank but the first gets at
	// least, so that a flood of urgent work does not stop the others.
	lowestShare = 0.1
	// firstAvoid and longestAvoid bound the time for which a server that failed
	// gets no work while others can do it.
	firstAvoid   = 50 * time.Millisecond
	longestAvoid = time.Second
	// silence is how long a server may leave all statements unanswered before a
	// fresh connection is tried. Usual statements take less than 150 ms.
	silence = 250 * time.Millisecond
	// probePause and longestProbePause bound the pause between two trials. Each
	// takes a slot of the server for 12 ms, which a busy server lacks.
	probePause        = 100 * time.Millisecond
	longestProbePause = 400 * time.Millisecond
	// probeTimeout bounds a trial.
	probeTimeout = 400 * time.Millisecond
	// drainPrimary is how long a primary that leaves still takes work while its
	// successor is chosen. The servers' contract allows 7 s.
	drainPrimary = 4 * time.Second
	// firstLag and longestLag bound the time for which a replica that lacked a
	// position is left out.
	firstLag   = 20 * time.Millisecond
	longestLag = 500 * time.Millisecond
	// weight of one observation in the smoothed times.
	weight = 8
	// assumedService is the slot time of a statement until the first one has
	// ended: callers that return all at once after a loss of power are refused
	// at once instead of when their time is over. Usual statements take 20 to
	// 50 ms with their way.
	assumedService = 25 * time.Millisecond
	// floorWindow is the time over which the shares of ranks hold.
	floorWindow = time.Second
)

// member is what this host knows of one backend server, and its connections.
type member struct {
	server directoryrpc.Server
	trip   time.Duration // assumed round trip
	charge time.Duration // for leaving the region
	sched  *schedule.Scheduler
	pool   *pool

	mu       sync.Mutex
	service  time.Duration // smoothed time from sending to the answer
	applied  logpos.Position
	answered time.Time // last answer; zero if there was none
	failing  time.Time // since when nothing but failures; zero if it answers
	failures int       // in a row
	avoid    time.Time
	lags     int // in a row
	lagging  time.Time
	probing  bool
	probeAt  time.Time // no connection is tried before
	inflight int       // statements without an answer yet
	progress time.Time // last answer, or the first of them was sent
	leaving  time.Time // when its departure became known; zero if it stays
}

func newMember(opts Options, s directoryrpc.Server) *member {
	m := &member{server: s}
	m.setDraining(s.Draining)
	m.trip, m.charge = opts.Place.distance(s.DataCentre)
	m.pool = newPool(func(ctx context.Context) (Conn, error) { return opts.Connect(ctx, s) })
	m.sched = schedule.New(schedule.Options{Slots: max(1, s.Slots), Ranks: ranks(nil), Window: floorWindow, Service: assumedService})
	return m
}

// rankName is the name of a rank in the scheduler.
func rankName(rank int) string { return strconv.Itoa(rank) }

// ranks returns the ranks of a configuration in order.
func ranks(cfg *database.Config) []schedule.RankSpec {
	highest := 0
	if cfg != nil {
		for _, db := range cfg.Databases {
			highest = max(highest, db.Rank)
		}
	}
	var out []schedule.RankSpec
	for r := 0; r <= highest; r++ {
		spec := schedule.RankSpec{Name: rankName(r), QueueLimit: queueLimit}
		if r > 0 {
			spec.Floor = lowestShare
		}
		out = append(out, spec)
	}
	return out
}

// inProgress returns how many statements of new work one host may have in
// progress at a server. A server works in order of arrival, so the ranks only
// count for what waits at the hosts.
func inProgress(slots, hosts int) int {
	fair := (offered*slots + hosts - 1) / max(1, hosts)
	return max(1, min(slots, fair))
}

// configure applies a configuration and the number of hosts that share the
// connections of the server.
func (m *member) configure(specs []schedule.RankSpec, group database.Group, hosts int) {
	m.sched.Configure(inProgress(m.server.Slots, hosts), specs)
	usable := max(1, group.MaxConnections-reservedConnections)
	share := max(1, usable/max(1, hosts))
	m.pool.setLimits(min(usable, borrowed*share), share)
}

// setDraining records whether the server is leaving service.
func (m *member) setDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !draining:
		m.leaving = time.Time{}
	case m.leaving.IsZero():
		m.leaving = clock.Now()
	}
}

// drainingFor returns the time since the departure became known; 0 if the
// server stays.
func (m *member) drainingFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving.IsZero() {
		return 0
	}
	return max(clock.Now().Sub(m.leaving), 1)
}

// sending records that a statement is about to be sent.
func (m *member) sending() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inflight == 0 {
		m.progress = clock.Now()
	}
	m.inflight++
}

// ended records that a statement was answered or given up.
func (m *member) ended(answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inflight--
	if answered {
		m.progress = clock.Now()
	}
}

// succeeded records an answer that took d.
func (m *member) succeeded(d time.Duration, pos logpos.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.service == 0 {
		m.service = d
	}
	m.service += (d - m.service) / weight
	m.answered, m.failing, m.avoid, m.failures = clock.Now(), time.Time{}, time.Time{}, 0
	if pos != (logpos.Position{}) {
		m.applied = pos
	}
}

// caughtUp records that a replica had the position that a read required.
func (m *member) caughtUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lags, m.lagging = 0, time.Time{}
}

// failed records that the server could not be reached or did not answer. quiet
// tells that it answers nobody of this host; otherwise it is busy, or only that
// connection is dead. first tells that it is the first failure in a row.
func (m *member) failed(err error) (first, quiet bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	if now.Sub(m.answered) < silence && !errors.Is(err, syscall.ECONNREFUSED) {
		m.avoid = now.Add(firstAvoid)
		return false, false
	}
	if m.failing.IsZero() {
		m.failing = now
		if m.inflight > 0 && m.progress.Before(now) {
			m.failing = m.progress
		}
	}
	m.avoid = now.Add(min(firstAvoid<<min(m.failures, 8), longestAvoid))
	m.probeAt = now.Add(min(probePause<<min(m.failures, 8), longestProbePause))
	m.failures++
	return m.failures == 1, true
}

// behind records that a replica lacked a required position.
func (m *member) behind() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lagging = clock.Now().Add(min(firstLag<<min(m.lags, 8), longestLag))
	m.lags++
}

// expected returns the smoothed time from sending a statement to its answer; 0 if
// there was none yet.
func (m *member) expected() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.service
}

// standing is the class in which a server is chosen for a read.
type standing uint8

const (
	standingGood standing = iota
	standingBehind
	standingAvoided
)

// judge returns the class of the server and the expected time of a statement.
func (m *member) judge(now time.Time) (standing, time.Duration) {
	queued, _, slot := m.sched.Load()
	waiting := 0
	for _, n := range queued {
		waiting += n
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	cost := max(m.service, m.trip) + m.charge
	cost += slot * time.Duration(waiting) / time.Duration(max(1, m.server.Slots))
	switch {
	case now.Before(m.avoid):
		return standingAvoided, cost
	case now.Before(m.lagging):
		return standingBehind, cost
	}
	return standingGood, cost
}

// failingFor returns since when the server has failed; 0 if it answers.
func (m *member) failingFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing.IsZero() {
		return 0
	}
	return max(now.Sub(m.failing), 1)
}

// answeredAgo returns the time since the last answer; 0 if there was none.
func (m *member) answeredAgo(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answered.IsZero() {
		return 0
	}
	return max(now.Sub(m.answered), 1)
}

// probe reports whether a connection should be tried: the server fails, or it
// has not answered any of the statements in progress for a while.
func (m *member) probe() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	silent := m.inflight > 0 && clock.Now().Sub(m.progress) > silence
	if m.failing.IsZero() && !silent || m.probing || clock.Now().Before(m.probeAt) {
		return false
	}
	m.probing = true
	return true
}

// runProbe opens a connection, which is kept if that succeeds.
func (m *member) runProbe(ctx context.Context, raise func()) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := m.pool.probe(ctx)
	m.mu.Lock()
	m.probing = false
	m.mu.Unlock()
	switch {
	case err == nil:
		m.reached()
		m.pool.put(conn)
	case errkind.Of(err) == errkind.NoMember:
		m.reached() // it answers, though with a refusal
	default:
		if _, quiet := m.failed(err); quiet {
			raise()
		}
	}
}

// reached records that the server accepts connections. Statements on older
// connections may still be without an answer.
func (m *member) reached() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing, m.avoid, m.failures = time.Time{}, time.Time{}, 0
	m.answered, m.progress = clock.Now(), clock.Now()
	m.probeAt = clock.Now().Add(longestProbePause)
}
