package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

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
	if m.role() == roleSender {
		return m.probeRelayed(ctx)
	}
	conn, err := m.pool.dialIgnoringLimits(ctx)
	m.endProbe()
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
