package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Times of the knowledge about members.
const (
	// fullFresh is how long a report of a full queue holds. A longer time
	// would refuse work after the queue has emptied.
	fullFresh = 100 * time.Millisecond
	// suspectMin and suspectMax bound the time for which a failed member is
	// avoided; it doubles with each failure in a row.
	suspectMin = 100 * time.Millisecond
	suspectMax = 5 * time.Second
	// behindTime is how long a replica that did not reach a position in time
	// is passed over, unless it reports that it has applied the position.
	behindTime = 100 * time.Millisecond
)

// member is what the entry knows about one backend server. Everything is a
// hint: the owner decides. It is shared by all views.
type member struct {
	server string

	mu          sync.Mutex
	applied     logpos.Position
	load        ownerrpc.Load
	loadAt      time.Time
	distance    time.Duration // estimated round trip to the owner
	measured    bool          // distance was measured
	inflight    int           // cycles of this entry that wait for an answer
	failures    int           // in a row
	suspect     time.Time     // avoided until then
	behind      time.Time     // passed over until then, see behindTime
	unreachable bool          // the owner reports that the server does not answer
	budget      budget
}

// place sets the distance that holds until one is measured.
func (m *member) place(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.measured {
		m.distance = d
	}
}

// measure takes a round trip time into account.
func (m *member) measure(rtt time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.measured {
		m.distance, m.measured = rtt, true
		return
	}
	m.distance += (rtt - m.distance) / 8
}

// report takes over what the owner reported.
func (m *member) report(load ownerrpc.Load, now time.Time) {
	if load.Server != "" && load.Server != m.server {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load, m.loadAt = load, now
	m.applied = m.applied.Max(load.Applied)
}

// reachable takes over whether the owner reaches the server.
func (m *member) reachable(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable = !ok
}

func (m *member) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inflight++
}

func (m *member) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inflight--
}

// succeeded ends a suspicion.
func (m *member) succeeded(retryShare float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures, m.suspect = 0, time.Time{}
	m.budget.earn(retryShare)
}

// failed makes the member avoided for a time. It returns true for the first
// failure in a row.
func (m *member) failed(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := min(suspectMin<<min(m.failures, 10), suspectMax)
	m.failures++
	m.suspect = now.Add(wait)
	return m.failures == 1
}

// lagged records that the member did not reach a position in time.
func (m *member) lagged(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behind = now.Add(behindTime)
}

// spendRetry takes a token from the retry budget of the member.
func (m *member) spendRetry() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.spend(time.Now())
}

// full reports whether the queue of the rank is known to be full right now.
func (m *member) full(rank string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.loadAt) < fullFresh && slices.Contains(m.load.Full, rank)
}

// standing is the suitability of a member for a read; smaller is better.
type standing int

const (
	standingCovers  standing = iota // has applied the required position
	standingMay                     // may reach the position while the owner waits
	standingBehind                  // did not reach a position lately
	standingSuspect                 // failed lately, or is being shut down
)

// judge returns the standing for a read that requires pos, and the estimated
// time until the answer: the round trip and the service of the cycles of this
// entry and of the queues that are served before the read.
func (m *member) judge(pos logpos.Position, ahead []string, now time.Time) (standing, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	waiting := m.inflight
	for _, rank := range ahead {
		waiting += m.load.Queued[rank]
	}
	service := max(m.load.Service, 100*time.Microsecond)
	cost := m.distance + service*time.Duration(waiting+1)/time.Duration(max(m.load.Slots, 1))
	switch {
	case now.Before(m.suspect) || m.unreachable || m.load.Draining:
		return standingSuspect, cost
	case m.applied.Covers(pos):
		return standingCovers, cost
	case now.Before(m.behind):
		return standingBehind, cost
	}
	return standingMay, cost
}
