package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/rs/zerolog"
)

// monitor polls one server on a connection of its own, on behalf of all waiting
// cycles: the status of the server, and on a primary the positions that its
// replicas have reported.
type monitor struct {
	limits             Limits
	connect            func(ctx context.Context) (Conn, error)
	leased             func() bool // reports whether the host holds a lease; without one the monitor keeps no connection
	onUnresponsiveConn func()      // called when a connection timed out and a new one works
	log                zerolog.Logger
	wake               chan struct{} // capacity 1; starts the next poll early

	conn             Conn // nil if not connected; used by run only
	connUnresponsive bool // a poll timed out and no new connection has worked since; used by run only

	mu                    sync.Mutex
	status                backend.Status
	applied               logpos.Position
	lastAnswer            time.Time       // time of the last answer of the server on any connection
	probeFailed           bool            // a probe failed since lastAnswer
	lastPollStart         time.Time       // start time of the last status poll
	pollsStarted          uint64          // number of status polls started
	lastPollDone          uint64          // number of the last status poll that succeeded
	lastPollBeforeAdvance uint64          // number of the last status poll that started before applied was advanced
	members               map[string]bool // ids of the group members other than the server itself
	soleMember            bool            // the server is the only member of its group
	confirmed             logpos.Position // highest position received by a majority
	acked                 logpos.Position // highest position of an acknowledged write
	commitWaiters         int             // cycles that wait for a majority
	statusWaiters         int             // cycles that wait for a status
	changed               chan struct{}   // closed and replaced at every change that may end a wait
	closed                bool
	endedTerm             uint64 // waits for a majority in terms up to this one have ended
}

func newMonitor(limits Limits, connect func(ctx context.Context) (Conn, error), leased func() bool, onUnresponsiveConn func(), log zerolog.Logger) *monitor {
	return &monitor{
		limits: limits, connect: connect, leased: leased, onUnresponsiveConn: onUnresponsiveConn, log: log,
		wake: make(chan struct{}, 1), changed: make(chan struct{}), lastAnswer: time.Now(),
	}
}

// run polls the server until ctx ends.
func (m *monitor) run(ctx context.Context) {
	defer m.disconnect()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		ok := m.poll(ctx)
		wait, fixed := m.nextPollDelay(ok)
		timer.Reset(wait)
		wake := m.wake
		if fixed {
			wake = nil
		}
		select {
		case <-timer.C:
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

// nextPollDelay returns the time until the next poll, and whether a new waiter
// may not shorten it.
func (m *monitor) nextPollDelay(ok bool) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !ok:
		return m.limits.StatusTimeout / 3, true
	case m.commitWaiters > 0:
		return m.limits.CommitPollInterval, true
	case m.statusWaiters > 0:
		return m.limits.PositionPollInterval, true
	}
	return m.limits.StatusInterval, false
}

// poll observes the server once and reports whether that succeeded. If the
// current connection fails, it tries a new one, to distinguish a dead server
// from a dead connection.
func (m *monitor) poll(ctx context.Context) bool {
	if !m.leased() {
		m.disconnect()
		m.recordTraffic() // nothing was sent, so a missing answer proves nothing
		return false
	}
	if m.conn != nil {
		start := time.Now()
		err := m.observe(ctx)
		if err == nil {
			return true
		}
		m.connUnresponsive = m.connUnresponsive || time.Since(start) >= m.limits.StatusTimeout
		m.disconnect()
	}
	if !m.probe(ctx) {
		return false
	}
	if m.connUnresponsive {
		m.connUnresponsive = false
		m.log.Warn().Msg("a connection to the server stopped answering but a new one works; closing the idle connections")
		m.onUnresponsiveConn()
	}
	return true
}

// probe opens a new connection and observes the server on it.
func (m *monitor) probe(ctx context.Context) bool {
	dial, cancel := context.WithTimeout(ctx, m.limits.StatusTimeout)
	conn, err := m.connect(dial)
	cancel()
	if err == nil {
		m.conn = conn
		if err = m.observe(ctx); err == nil {
			return true
		}
		m.disconnect()
	}
	if ctx.Err() == nil {
		m.mu.Lock()
		m.probeFailed = true
		m.mu.Unlock()
	}
	return false
}

// observe polls the positions of the replicas if commits wait for a majority,
// and the status if a poll is due.
func (m *monitor) observe(ctx context.Context) error {
	m.mu.Lock()
	commits := m.commitWaiters > 0
	due := m.statusWaiters > 0 || time.Since(m.lastPollStart) >= m.limits.StatusInterval
	m.mu.Unlock()
	if commits {
		if err := m.pollReplicas(ctx); err != nil {
			return err
		}
	}
	if due || !commits {
		return m.pollStatus(ctx)
	}
	return nil
}

func (m *monitor) pollStatus(ctx context.Context) error {
	m.mu.Lock()
	m.pollsStarted++
	pollNumber := m.pollsStarted
	m.lastPollStart = time.Now()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, m.limits.StatusTimeout)
	defer cancel()
	status, err := m.conn.Status(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = status
	// A server that was rewound reports a lower position than before, so the
	// newest poll is used, not the highest position. A poll that started
	// before a commit was observed may be older than the commit.
	if pollNumber > m.lastPollBeforeAdvance {
		m.applied = status.Applied
	} else {
		m.applied = m.applied.Max(status.Applied)
	}
	m.lastPollDone = pollNumber
	m.recordAnswer()
	m.wakeWaiters()
	return nil
}

func (m *monitor) pollReplicas(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.limits.StatusTimeout)
	defer cancel()
	replicas, err := m.conn.Replicas(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordAnswer()
	if p, ok := m.majority(replicas); ok && !m.confirmed.AtLeast(p) {
		m.confirmed = p
		m.wakeWaiters()
	}
	return nil
}

// majority returns the highest position that a majority of the group members,
// including the primary, has received. Servers that are not members are
// ignored. m.mu is held.
func (m *monitor) majority(replicas []backend.Replica) (logpos.Position, bool) {
	received := make(map[string]logpos.Position, len(replicas))
	for _, r := range replicas {
		if m.members[r.ServerID] {
			received[r.ServerID] = received[r.ServerID].Max(r.Received)
		}
	}
	required := (len(m.members) + 1) / 2 // number of replicas needed besides the primary
	if required == 0 || len(received) < required {
		return logpos.Position{}, false
	}
	positions := make([]logpos.Position, 0, len(received))
	for _, p := range received {
		positions = append(positions, p)
	}
	slices.SortFunc(positions, func(a, b logpos.Position) int { return b.Compare(a) })
	return positions[required-1], true
}

func (m *monitor) disconnect() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

// recordAnswer records that the server answered. m.mu is held.
func (m *monitor) recordAnswer() {
	m.lastAnswer = time.Now()
	m.probeFailed = false
}

// wakeWaiters makes all waiters check their condition. m.mu is held.
func (m *monitor) wakeWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// recordTraffic records an answer of the server outside of the polls.
func (m *monitor) recordTraffic() {
	m.mu.Lock()
	m.recordAnswer()
	m.mu.Unlock()
}

// responsive reports whether the server has answered within the last status
// interval plus the timeout of one poll.
func (m *monitor) responsive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastAnswer) <= m.limits.StatusInterval+m.limits.StatusTimeout
}

// suspect reports whether the server is unreachable: it has not answered on any
// connection for longer than Limits.SuspectAfter, and a probe on a new
// connection failed.
func (m *monitor) suspect() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probeFailed && time.Since(m.lastAnswer) > m.limits.SuspectAfter
}

// setMembers sets the members of the group. If the server itself is not among
// them, the group is regarded as unknown and no majority can be confirmed.
func (m *monitor) setMembers(self string, members []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.soleMember = len(members) == 1 && members[0] == self
	if !slices.Contains(members, self) {
		members = nil
	}
	m.members = make(map[string]bool, len(members))
	for _, id := range members {
		if id != self {
			m.members[id] = true
		}
	}
}

// advanceApplied records that the server has applied p.
func (m *monitor) advanceApplied(p logpos.Position) {
	m.mu.Lock()
	m.applied = m.applied.Max(p)
	m.lastPollBeforeAdvance = m.pollsStarted
	m.mu.Unlock()
}

// advanceAcked records that a write at p is about to be acknowledged.
func (m *monitor) advanceAcked(p logpos.Position) {
	m.mu.Lock()
	m.acked = m.acked.Max(p)
	m.mu.Unlock()
}

// wait blocks until ready, which is called with m.mu held, returns true. It
// returns false if ctx ends or the monitor is closed before that. While it
// waits it is counted in waiters, which shortens the poll interval.
func (m *monitor) wait(ctx context.Context, waiters *int, ready func() bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ready() {
		return true
	}
	*waiters++
	defer func() { *waiters-- }()
	select {
	case m.wake <- struct{}{}:
	default:
	}
	for !m.closed {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		m.mu.Lock()
		if ready() {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// waitMajority waits until a majority has received p. It returns early if the
// term of p ends: its commits can no longer be confirmed, and their callers
// should learn that before their deadlines.
func (m *monitor) waitMajority(ctx context.Context, p logpos.Position) error {
	confirmed := func() bool { return m.soleMember || m.confirmed.AtLeast(p) }
	done := false
	ok := m.wait(ctx, &m.commitWaiters, func() bool {
		done = confirmed()
		return done || m.endedTerm >= p.Term
	})
	switch {
	case !ok:
		return errkind.New(errkind.OutcomeUnknown, "no majority confirmed position %v in time", p)
	case !done:
		return errkind.New(errkind.OutcomeUnknown, "the primary was superseded before a majority confirmed position %v", p)
	}
	return nil
}

// endTerm ends the waits for a majority in terms up to term.
func (m *monitor) endTerm(term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endedTerm = max(m.endedTerm, term)
	m.wakeWaiters()
}

// waitApplied waits until the server has applied p.
func (m *monitor) waitApplied(ctx context.Context, p logpos.Position) error {
	if !m.wait(ctx, &m.statusWaiters, func() bool { return m.applied.AtLeast(p) }) {
		return contextError(ctx, errkind.PositionNotReached, "the server has not applied position "+p.String())
	}
	return nil
}

// waitStatus returns a status whose poll started after the call.
func (m *monitor) waitStatus(ctx context.Context) (backend.Status, error) {
	m.mu.Lock()
	pollNumber := m.pollsStarted + 1
	m.mu.Unlock()
	if !m.wait(ctx, &m.statusWaiters, func() bool { return m.lastPollDone >= pollNumber }) {
		return backend.Status{}, errkind.New(errkind.ServerLost, "the server did not report its status in time")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status, nil
}

// close makes all waits fail.
func (m *monitor) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.wakeWaiters()
}

// fencedAbove reports whether the server is known to be fenced at a term later
// than term.
func (m *monitor) fencedAbove(term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status.Term > term
}
