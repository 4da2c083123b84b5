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

// session is what the leader knows about a holder from its heartbeats.
type session struct {
	since   time.Time // first heartbeat to this leader
	renewed time.Time // last heartbeat, taken after its receipt
	state   uint64
	config  uint64
}

// Sessions are the host sessions, in the memory of the leader. A lease that a
// heartbeat reply granted runs out ttl after the host sent the heartbeat, on
// the clock of the host. Sessions counts from after the receipt and adds the
// drift, so it never takes a lease for run out that its holder still acts on.
//
// A new leader does not know the heartbeats that its predecessor answered.
// Reset makes it assume that every host has just renewed.
type Sessions struct {
	ttl time.Duration
	run time.Duration // ttl plus drift

	mu    sync.Mutex
	start time.Time // since when this leader answers; guarded by mu
	byKey map[holder]*session
}

// NewSessions returns sessions with a ttl; drift is the largest relative
// difference of the clock rates of a host and a control host.
func NewSessions(ttl time.Duration, drift float64) *Sessions {
	s := &Sessions{ttl: ttl, run: ttl + time.Duration(float64(ttl)*drift)}
	s.Reset()
	return s
}

// Reset forgets all sessions at the start of a leadership.
func (s *Sessions) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start = time.Now()
	s.byKey = make(map[holder]*session)
}

// Complete reports whether the leadership has lasted long enough for every
// live host to have sent a heartbeat.
func (s *Sessions) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.start) > s.run
}

// Renew records a heartbeat. It is called after the receipt and before the
// leases of the reply are read from the state.
func (s *Sessions) Renew(args *controlrpc.HeartbeatArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := holder{args.Host.ID, args.Host.Incarnation}
	now := time.Now()
	e := s.byKey[key]
	if e == nil {
		e = &session{since: now}
		s.byKey[key] = e
	}
	e.renewed, e.state, e.config = now, args.StateVersion, args.ConfigVersion
}

// RunOut returns when the last grant of a holder has surely run out, if it
// gets no further one. unlisted is when the leader saw that the state no
// longer grants it; replies after that moment don't count.
func (s *Sessions) RunOut(h holder, unlisted time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.start
	if e := s.byKey[h]; e != nil {
		last = e.renewed
	}
	if unlisted.Before(last) {
		last = unlisted
	}
	if last.Before(s.start) {
		last = s.start
	}
	return last.Add(s.run)
}

// Live reports whether the holder has renewed within ttl and drift. Until
// that time has passed for a new leader, every host counts as live.
func (s *Sessions) Live(h holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.start
	if e := s.byKey[h]; e != nil {
		last = e.renewed
	}
	return time.Since(last) <= s.run
}

// Known reports whether the holder has sent a heartbeat to this leader.
func (s *Sessions) Known(h holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[h] != nil
}

// Superseded reports whether the registered incarnation of the host of h has
// started to send heartbeats after h did. Then h is a process that has been
// replaced but still runs.
func (s *Sessions) Superseded(h holder, registered string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	mine, other := s.byKey[h], s.byKey[holder{h.host, registered}]
	return mine != nil && other != nil && registered != h.incarnation && other.since.After(mine.since)
}

// Since returns how long the holder has been sending heartbeats to this
// leader, 0 if it has sent none.
func (s *Sessions) Since(h holder) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byKey[h]; e != nil {
		return time.Since(e.since)
	}
	return 0
}

// Report returns what is known about every given host, for answers to
// operators.
func (s *Sessions) Report(hosts map[string]controlrpc.Host) map[string]controlrpc.HostReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]controlrpc.HostReport, len(hosts))
	for id, h := range hosts {
		e := s.byKey[holder{id, h.Incarnation}]
		if e == nil {
			out[id] = controlrpc.HostReport{Age: time.Since(s.start)}
			continue
		}
		age := time.Since(e.renewed)
		out[id] = controlrpc.HostReport{Age: age, StateVersion: e.state, ConfigVersion: e.config, Live: age <= s.run}
	}
	return out
}

// Prune forgets holders that have been silent for keep. It must be longer
// than ttl and drift, because a forgotten holder counts as renewed at the
// start of the leadership.
func (s *Sessions) Prune(keep time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.byKey {
		if time.Since(e.renewed) > keep && time.Since(s.start) > keep {
			delete(s.byKey, key)
		}
	}
}
