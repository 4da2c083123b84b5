package directory

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// sessions are the leases of the entry hosts, in the memory of the leader. A
// lease runs for ttl from when its host sent the request, on the clock of the
// host. The leader counts from its answer and adds the drift, so it never
// takes a lease for run out that its host still acts on.
type sessions struct {
	run   time.Duration // ttl plus drift
	start time.Time     // of the leadership, on clock.Now

	mu    sync.Mutex
	hosts map[string]*session // by host id
}

// session is what the leader knows of one host.
type session struct {
	incarnation string
	granted     time.Time // last answer that carried a lease
	acked       uint64    // state in force at the host
	reports     map[string]directoryrpc.Report
}

func newSessions(ttl time.Duration, drift float64) *sessions {
	return &sessions{
		run:   ttl + time.Duration(float64(ttl)*drift),
		start: clock.Now(),
		hosts: make(map[string]*session),
	}
}

// heard records a request. A new incarnation of a host replaces the old one,
// whose process has ended: both would listen on the same port.
func (s *sessions) heard(args *directoryrpc.SyncArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[args.Host.ID]
	if args.Leaving {
		if h != nil && h.incarnation == args.Host.Incarnation {
			delete(s.hosts, args.Host.ID)
		}
		return
	}
	if h == nil || h.incarnation != args.Host.Incarnation {
		h = &session{incarnation: args.Host.Incarnation, granted: clock.Now()}
		s.hosts[args.Host.ID] = h
	}
	h.acked = args.Version
	h.reports = make(map[string]directoryrpc.Report, len(args.Reports))
	for _, r := range args.Reports {
		h.reports[r.Group] = r
	}
}

// grant records that an answer with a lease is about to be sent.
func (s *sessions) grant(host directoryrpc.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[host.ID]; h != nil && h.incarnation == host.Incarnation {
		h.granted = clock.Now()
	}
}

// live returns the number of hosts whose lease may still be valid.
func (s *sessions) live() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.hosts {
		if clock.Now().Sub(h.granted) <= s.run {
			n++
		}
	}
	return n
}

// settled reports whether the leader has been there for so long that every host
// with a lease has reported to it.
func (s *sessions) settled() bool { return clock.Now().Sub(s.start) > s.run }

// released reports whether no host acts on a state before version any more:
// each has confirmed it or has lost its lease. all tells that each confirmed.
func (s *sessions) released(version uint64) (done, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	done, all = s.settled(), true
	for id, h := range s.hosts {
		switch {
		case h.acked >= version:
		case now.Sub(h.granted) > s.run:
			all = false
			delete(s.hosts, id)
		default:
			return false, false
		}
	}
	return done, all
}

// views returns what the hosts with a lease report about the primary of a
// group in that generation.
func (s *sessions) views(group string, generation uint64) []directoryrpc.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []directoryrpc.Report
	for _, h := range s.hosts {
		if r, ok := h.reports[group]; ok && r.Generation == generation && clock.Now().Sub(h.granted) <= s.run {
			out = append(out, r)
		}
	}
	return out
}

// latest returns the highest position that a host has seen of a primary of the
// group. Positions of an earlier primary are lower, because their term is.
func (s *sessions) latest(group string) logpos.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pos logpos.Position
	for _, h := range s.hosts {
		pos = pos.Max(h.reports[group].Position)
	}
	return pos
}
