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

// monitor observes one server on one connection, which all waiting cycles
// share: its status, and on a primary the positions of the replicas.
type monitor struct {
	limits  Limits
	connect func(ctx context.Context) (Conn, error)
	leased  func() bool // without a lease the monitor holds no connection
	silent  func()      // called when a connection was silent while a new one works
	log     zerolog.Logger
	kick    chan struct{} // capacity 1; ends a slow wait

	conn      Conn // used by run only
	wasSilent bool // a connection was silent and no new one has worked since; used by run only

	mu          sync.Mutex
	status      backend.Status
	applied     logpos.Position
	heard       time.Time       // last answer of the server on any connection
	probeFailed bool            // a new connection failed since heard
	polled      time.Time       // start of the last status poll
	started     uint64          // status polls
	finished    uint64          // number of the last status poll that succeeded
	advanced    uint64          // number of the last status poll that started before applied was advanced
	members     map[string]bool // besides the server itself
	alone       bool            // the server is the only member
	confirmed   logpos.Position // received by a majority
	acked       logpos.Position // highest position of an acknowledged write
	commits     int             // cycles that wait for a majority
	reads       int             // cycles that wait for a status
	changed     chan struct{}   // closed at every change that a waiter looks at
	closed      bool
	ended       uint64 // commits of terms up to this one are not confirmed any more
}

func newMonitor(limits Limits, connect func(ctx context.Context) (Conn, error), leased func() bool, silent func(), log zerolog.Logger) *monitor {
	return &monitor{
		limits: limits, connect: connect, leased: leased, silent: silent, log: log,
		kick: make(chan struct{}, 1), changed: make(chan struct{}), heard: time.Now(),
	}
}

// run polls until ctx ends.
func (m *monitor) run(ctx context.Context) {
	defer m.disconnect()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		ok := m.poll(ctx)
		wait, fast := m.pause(ok)
		timer.Reset(wait)
		kick := m.kick
		if fast {
			kick = nil
		}
		select {
		case <-timer.C:
		case <-kick:
		case <-ctx.Done():
			return
		}
	}
}

// pause returns the time until the next poll and whether it may not be cut
// short.
func (m *monitor) pause(ok bool) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !ok:
		return m.limits.StatusTimeout / 3, true
	case m.commits > 0:
		return m.limits.CommitPoll, true
	case m.reads > 0:
		return m.limits.PositionPoll, true
	}
	return m.limits.StatusInterval, false
}

// poll observes the server once. If the present connection fails, it tries a
// new one: only that tells a dead server from a dead connection.
func (m *monitor) poll(ctx context.Context) bool {
	if !m.leased() {
		m.disconnect()
		m.heardTraffic() // nothing was asked, so silence proves nothing
		return false
	}
	if m.conn != nil {
		began := time.Now()
		err := m.observe(ctx)
		if err == nil {
			return true
		}
		m.wasSilent = m.wasSilent || time.Since(began) >= m.limits.StatusTimeout
		m.disconnect()
	}
	if !m.probe(ctx) {
		return false
	}
	if m.wasSilent {
		m.wasSilent = false
		m.log.Warn().Msg("a connection was silent while a new one works; closing the idle connections")
		m.silent()
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

func (m *monitor) observe(ctx context.Context) error {
	m.mu.Lock()
	commits := m.commits > 0
	due := m.reads > 0 || time.Since(m.polled) >= m.limits.StatusInterval
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
	m.started++
	number := m.started
	m.polled = time.Now()
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
	// The status of a server that was rewound lies before earlier ones, so
	// the newest poll counts, not the highest. A poll that was under way when
	// a commit was seen may be older than the commit.
	if number > m.advanced {
		m.applied = status.Applied
	} else {
		m.applied = m.applied.Max(status.Applied)
	}
	m.finished = number
	m.hear()
	m.signal()
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
	m.hear()
	if p, ok := m.majority(replicas); ok && !m.confirmed.Covers(p) {
		m.confirmed = p
		m.signal()
	}
	return nil
}

// majority returns the position that a majority of the members has, with the
// primary itself counted. Servers outside of the group do not count.
func (m *monitor) majority(replicas []backend.Replica) (logpos.Position, bool) {
	best := make(map[string]logpos.Position, len(replicas))
	for _, r := range replicas {
		if m.members[r.ServerID] {
			best[r.ServerID] = best[r.ServerID].Max(r.Received)
		}
	}
	need := (len(m.members) + 1) / 2 // replicas besides the primary
	if need == 0 || len(best) < need {
		return logpos.Position{}, false
	}
	positions := make([]logpos.Position, 0, len(best))
	for _, p := range best {
		positions = append(positions, p)
	}
	slices.SortFunc(positions, func(a, b logpos.Position) int { return b.Compare(a) })
	return positions[need-1], true
}

func (m *monitor) disconnect() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

// hear records an answer of the server. m.mu is held.
func (m *monitor) hear() {
	m.heard = time.Now()
	m.probeFailed = false
}

// signal wakes the waiters. m.mu is held.
func (m *monitor) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// heardTraffic records an answer of the server outside of the polls.
func (m *monitor) heardTraffic() {
	m.mu.Lock()
	m.hear()
	m.mu.Unlock()
}

// responsive reports whether the server has answered lately.
func (m *monitor) responsive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.heard) <= m.limits.StatusInterval+m.limits.StatusTimeout
}

// suspect reports whether the server is unreachable: it was silent on every
// connection for the suspicion time, and a new connection failed.
func (m *monitor) suspect() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probeFailed && time.Since(m.heard) > m.limits.SuspectAfter
}

// setMembers sets the members of the group. Without the server itself among
// them the group is not known, and no majority can be confirmed.
func (m *monitor) setMembers(self string, members []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alone = len(members) == 1 && members[0] == self
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
	m.advanced = m.started
	m.mu.Unlock()
}

// advanceAcked records that a write at p is about to be acknowledged.
func (m *monitor) advanceAcked(p logpos.Position) {
	m.mu.Lock()
	m.acked = m.acked.Max(p)
	m.mu.Unlock()
}

// wait blocks until ready, called with m.mu held, is true. Meanwhile count
// makes the polls fast.
func (m *monitor) wait(ctx context.Context, count *int, ready func() bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ready() {
		return true
	}
	*count++
	defer func() { *count-- }()
	select {
	case m.kick <- struct{}{}:
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

// waitMajority waits until a majority has received p, or until the term of p
// ends: its commits can't be confirmed any more, and their callers learn that
// now rather than at their deadlines.
func (m *monitor) waitMajority(ctx context.Context, p logpos.Position) error {
	confirmed := func() bool { return m.alone || m.confirmed.Covers(p) }
	done := false
	ok := m.wait(ctx, &m.commits, func() bool {
		done = confirmed()
		return done || m.ended >= p.Term
	})
	switch {
	case !ok:
		return errkind.New(errkind.OutcomeUnknown, "no majority confirmed position %v in time", p)
	case !done:
		return errkind.New(errkind.OutcomeUnknown, "the primary was superseded before a majority confirmed position %v", p)
	}
	return nil
}

// endTerm ends the waits for majorities of the terms up to term.
func (m *monitor) endTerm(term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = max(m.ended, term)
	m.signal()
}

// waitApplied waits until the server has applied p.
func (m *monitor) waitApplied(ctx context.Context, p logpos.Position) error {
	if !m.wait(ctx, &m.reads, func() bool { return m.applied.Covers(p) }) {
		return endOf(ctx, errkind.PositionNotReached, "the server has not applied position "+p.String())
	}
	return nil
}

// waitStatus returns a status whose poll started after the call.
func (m *monitor) waitStatus(ctx context.Context) (backend.Status, error) {
	m.mu.Lock()
	number := m.started + 1
	m.mu.Unlock()
	if !m.wait(ctx, &m.reads, func() bool { return m.finished >= number }) {
		return backend.Status{}, errkind.New(errkind.ServerLost, "the server did not report its status in time")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status, nil
}

// close ends all waits without success.
func (m *monitor) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.signal()
}

// fencedAbove reports whether the server is known to be fenced at a term
// after term.
func (m *monitor) fencedAbove(term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status.Term > term
}
