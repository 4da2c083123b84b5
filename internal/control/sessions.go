package control

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// holder is one incarnation of an entry host.
type holder struct {
	host        string
	incarnation string
}

// session is the information from the heartbeats of a holder.
type session struct {
	firstHeartbeat time.Time // receipt of the first heartbeat by this leader
	lastHeartbeat  time.Time // latest heartbeat; the clock is read after its receipt
	stateVersion   uint64
	configVersion  uint64
}

// Sessions holds the host sessions in the memory of the leader. A lease that a
// heartbeat reply granted expires one TTL after the host sent the heartbeat, on
// the clock of the host. Sessions counts from after the receipt and adds the
// drift, so it never considers a lease expired that its holder still acts on.
//
// A new leader does not know the heartbeats that its predecessor answered, so
// Reset makes it assume that every host has just renewed its session.
type Sessions struct {
	ttl           time.Duration
	grantLifetime time.Duration // TTL plus drift

	mu       sync.Mutex
	start    time.Time // start of the leadership; guarded by mu
	byHolder map[holder]*session
}

// NewSessions returns an empty Sessions. drift is the largest relative
// difference between the clock rates of a host and a control host.
func NewSessions(ttl time.Duration, drift float64) *Sessions {
	s := &Sessions{ttl: ttl, grantLifetime: ttl + time.Duration(float64(ttl)*drift)}
	s.Reset()
	return s
}

// Reset removes all sessions at the start of a leadership.
func (s *Sessions) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start = time.Now()
	s.byHolder = make(map[holder]*session)
}

// GracePeriodOver reports whether the leadership has lasted long enough for
// every live host to have sent a heartbeat.
func (s *Sessions) GracePeriodOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.start) > s.grantLifetime
}

// Renew records a heartbeat. It must be called after the receipt and before the
// leases of the reply are read from the state.
func (s *Sessions) Renew(args *controlrpc.HeartbeatArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := holder{args.Host.ID, args.Host.Incarnation}
	now := time.Now()
	e := s.byHolder[key]
	if e == nil {
		e = &session{firstHeartbeat: now}
		s.byHolder[key] = e
	}
	e.lastHeartbeat, e.stateVersion, e.configVersion = now, args.StateVersion, args.ConfigVersion
}

// GrantExpiry returns the time when the last grant of a holder has certainly
// expired. revokedAt is when the leader first saw that the state no longer
// grants the lease; later replies don't extend it.
func (s *Sessions) GrantExpiry(h holder, revokedAt time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.start
	if e := s.byHolder[h]; e != nil {
		last = e.lastHeartbeat
	}
	if revokedAt.Before(last) {
		last = revokedAt
	}
	if last.Before(s.start) {
		last = s.start
	}
	return last.Add(s.grantLifetime)
}

// Live reports whether the holder has renewed its session within the TTL plus
// drift. Until the leadership has lasted that long, every host is assumed live.
func (s *Sessions) Live(h holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.start
	if e := s.byHolder[h]; e != nil {
		last = e.lastHeartbeat
	}
	return time.Since(last) <= s.grantLifetime
}

// HasHeartbeat reports whether the holder has sent a heartbeat to this leader.
func (s *Sessions) HasHeartbeat(h holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byHolder[h] != nil
}

// Superseded reports whether the registered incarnation of h's host sent its
// first heartbeat after h did. Then h is a process that has been replaced but
// still runs.
func (s *Sessions) Superseded(h holder, registered string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	mine, other := s.byHolder[h], s.byHolder[holder{h.host, registered}]
	return mine != nil && other != nil && registered != h.incarnation && other.firstHeartbeat.After(mine.firstHeartbeat)
}

// HeartbeatsFor returns how long the holder has been sending heartbeats to this
// leader, 0 if it has sent none.
func (s *Sessions) HeartbeatsFor(h holder) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byHolder[h]; e != nil {
		return time.Since(e.firstHeartbeat)
	}
	return 0
}

// Report returns the session of every given host, for operators. The age of a
// host without a session counts from the start of the leadership.
func (s *Sessions) Report(hosts map[string]controlrpc.Host) map[string]controlrpc.HostReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]controlrpc.HostReport, len(hosts))
	for id, h := range hosts {
		e := s.byHolder[holder{id, h.Incarnation}]
		if e == nil {
			out[id] = controlrpc.HostReport{Age: time.Since(s.start)}
			continue
		}
		age := time.Since(e.lastHeartbeat)
		out[id] = controlrpc.HostReport{Age: age, StateVersion: e.stateVersion, ConfigVersion: e.configVersion, Live: age <= s.grantLifetime}
	}
	return out
}

// Prune removes holders without a heartbeat for the given time. It must be
// longer than the TTL plus drift, because a removed holder is assumed to have
// renewed at the start of the leadership.
func (s *Sessions) Prune(retention time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.byHolder {
		if time.Since(e.lastHeartbeat) > retention && time.Since(s.start) > retention {
			delete(s.byHolder, key)
		}
	}
}
