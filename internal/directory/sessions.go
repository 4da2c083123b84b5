package directory

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// sessions holds the leases and reports of the entry hosts, in the memory of the
// leader. The host counts the TTL of its lease from when it sent the request, on
// its own clock. The leader counts from its reply and adds the clock drift, so it
// never takes a lease as expired that the host still relies on.
type sessions struct {
	leaseTimeout time.Duration // lease TTL plus clock drift
	startedAt    time.Time     // of the leadership, on clock.Now

	mu    sync.Mutex
	hosts map[string]*session // by host id
}

// session is the state of one host.
type session struct {
	incarnation  string
	grantedAt    time.Time                      // time of the last reply that granted a lease
	ackedVersion uint64                         // version of the state in force at the host
	reports      map[string]directoryrpc.Report // by group
}

func newSessions(ttl time.Duration, drift float64) *sessions {
	return &sessions{
		leaseTimeout: ttl + time.Duration(float64(ttl)*drift),
		startedAt:    clock.Now(),
		hosts:        make(map[string]*session),
	}
}

// recordSync records a Sync request. A new incarnation of a host replaces the old
// one, whose process must have ended, because both would listen on the same port.
func (s *sessions) recordSync(args *directoryrpc.SyncArgs) {
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
		h = &session{incarnation: args.Host.Incarnation, grantedAt: clock.Now()}
		s.hosts[args.Host.ID] = h
	}
	h.ackedVersion = args.Version
	h.reports = make(map[string]directoryrpc.Report, len(args.Reports))
	for _, r := range args.Reports {
		h.reports[r.Group] = r
	}
}

// recordGrant records that a reply that grants a lease is about to be sent.
func (s *sessions) recordGrant(host directoryrpc.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[host.ID]; h != nil && h.incarnation == host.Incarnation {
		h.grantedAt = clock.Now()
	}
}

// liveCount returns the number of hosts whose lease may still be valid.
func (s *sessions) liveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.hosts {
		if clock.Now().Sub(h.grantedAt) <= s.leaseTimeout {
			n++
		}
	}
	return n
}

// earlierLeasesExpired reports whether every lease that an earlier leader granted
// has expired. From then on, every host with a lease has reported to this leader.
func (s *sessions) earlierLeasesExpired() bool { return clock.Now().Sub(s.startedAt) > s.leaseTimeout }

// released reports whether no host still uses a state older than version, because
// each has confirmed version or lost its lease. allConfirmed reports whether this
// call found no expired lease. An expired lease is removed, so later calls don't
// find it again.
func (s *sessions) released(version uint64) (done, allConfirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	done, allConfirmed = s.earlierLeasesExpired(), true
	for id, h := range s.hosts {
		switch {
		case h.ackedVersion >= version:
		case now.Sub(h.grantedAt) > s.leaseTimeout:
			allConfirmed = false
			delete(s.hosts, id)
		default:
			return false, false
		}
	}
	return done, allConfirmed
}

// reports returns the reports of the hosts with a lease about the primary of a
// group in the given generation.
func (s *sessions) reports(group string, generation uint64) []directoryrpc.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []directoryrpc.Report
	for _, h := range s.hosts {
		if r, ok := h.reports[group]; ok && r.Generation == generation && clock.Now().Sub(h.grantedAt) <= s.leaseTimeout {
			out = append(out, r)
		}
	}
	return out
}

// highestPosition returns the highest log position that a host has seen from a
// primary of the group. Positions of earlier primaries are lower, because their
// term is.
func (s *sessions) highestPosition(group string) logpos.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pos logpos.Position
	for _, h := range s.hosts {
		pos = pos.Max(h.reports[group].Position)
	}
	return pos
}
