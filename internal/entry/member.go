package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

const (
	// queueFullTTL is how long the report of a full queue is relied on. With a
	// longer time, work would be refused after the queue has emptied.
	queueFullTTL = 100 * time.Millisecond
	// suspectMin and suspectMax bound the time for which a failed member is
	// suspect; it doubles with each consecutive failure.
	suspectMin = 100 * time.Millisecond
	suspectMax = 5 * time.Second
	// laggingDuration is how long a replica that did not reach a required
	// position in time counts as lagging, unless it has reported that it has
	// applied the position of the read at hand.
	laggingDuration = 100 * time.Millisecond
)

// member is what the entry knows about one backend server. All of it is only a
// hint, because the owner checks each request. Members are shared by all views.
type member struct {
	server string

	mu           sync.Mutex
	applied      logpos.Position
	load         ownerrpc.Load
	loadAt       time.Time
	rtt          time.Duration // round-trip time to the owner; an estimate until one is measured
	rttMeasured  bool          // rtt is a moving average of measured times
	inflight     int           // attempts of this entry that wait for an answer
	failures     int           // consecutive
	suspectUntil time.Time     // end of the time for which the member is suspect
	laggingUntil time.Time     // end of the time for which the member is lagging
	unreachable  bool          // the owner reports that the server does not answer
	budget       retryBudget
}

// setEstimatedRTT sets the round-trip time that is assumed until one is
// measured.
func (m *member) setEstimatedRTT(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.rttMeasured {
		m.rtt = d
	}
}

// recordRTT adds a measurement to the moving average of the round-trip time.
func (m *member) recordRTT(rtt time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.rttMeasured {
		m.rtt, m.rttMeasured = rtt, true
		return
	}
	m.rtt += (rtt - m.rtt) / 8
}

// recordLoad stores the load that the owner reported for the server. A report
// for another server is ignored.
func (m *member) recordLoad(load ownerrpc.Load, now time.Time) {
	if load.Server != "" && load.Server != m.server {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load, m.loadAt = load, now
	m.applied = m.applied.Max(load.Applied)
}

// setReachable records whether the server answers its owner.
func (m *member) setReachable(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable = !ok
}

func (m *member) startAttempt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inflight++
}

func (m *member) endAttempt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inflight--
}

// recordSuccess clears the suspicion and credits the retry budget.
func (m *member) recordSuccess(retryShare float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures, m.suspectUntil = 0, time.Time{}
	m.budget.credit(retryShare)
}

// recordFailure makes the member suspect for a time that doubles with each
// consecutive failure. It reports whether this is the first of them.
func (m *member) recordFailure(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := min(suspectMin<<min(m.failures, 10), suspectMax)
	m.failures++
	m.suspectUntil = now.Add(wait)
	return m.failures == 1
}

// markLagging records that the member did not reach a required position in
// time.
func (m *member) markLagging(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.laggingUntil = now.Add(laggingDuration)
}

// spendRetry takes a token from the retry budget of the member. It returns false
// if the budget is empty.
func (m *member) spendRetry() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.spend(time.Now())
}

// queueFull reports whether a recent report states that the queue of the rank is
// full.
func (m *member) queueFull(rank string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.loadAt) < queueFullTTL && slices.Contains(m.load.Full, rank)
}

// readSuitability rates a member for a read; smaller is better.
type readSuitability int

const (
	suitabilityApplied  readSuitability = iota // has applied the required position
	suitabilityMayApply                        // may reach the position while the owner waits for it
	suitabilityLagging                         // recently failed to reach a required position in time
	suitabilitySuspect                         // failed recently, is unreachable or draining, or its owner is draining
)

// assessRead rates the member for a read that requires pos, and estimates the
// time until the answer: the round trip, and the service time of the attempts of
// this entry and of the queued work that the owner serves before the read. ahead
// lists the ranks of that work.
func (m *member) assessRead(pos logpos.Position, ahead []string, now time.Time) (readSuitability, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	waiting := m.inflight
	for _, rank := range ahead {
		waiting += m.load.Queued[rank]
	}
	service := max(m.load.Service, 100*time.Microsecond) // so that waiting work counts even if no service time was reported
	cost := m.rtt + service*time.Duration(waiting+1)/time.Duration(max(m.load.Slots, 1))
	switch {
	case now.Before(m.suspectUntil) || m.unreachable || m.load.Draining:
		return suitabilitySuspect, cost
	case m.applied.AtLeast(pos):
		return suitabilityApplied, cost
	case now.Before(m.laggingUntil):
		return suitabilityLagging, cost
	}
	return suitabilityMayApply, cost
}
