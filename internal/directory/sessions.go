package directory

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// forgetAfter is how long the session of a host whose lease has expired is kept.
// Until then the host may come back and report what it has seen.
const forgetAfter = time.Minute

// sessions holds the leases and reports of the entry hosts, in the memory of the
// leader. The host counts the TTL of its lease from when it sent the request, on
// its own clock. The leader counts from its reply and adds the clock drift, so it
// never takes a lease as expired that the host still relies on.
//
// A host may have seen commits of a primary that it has not reported. If it
// crashes or stays silent, they are unknown until another primary is named, and
// losses counts that.
type sessions struct {
	leaseTimeout time.Duration // lease TTL plus clock drift
	startedAt    time.Time     // of the leadership, on clock.Now

	mu        sync.Mutex
	hosts     map[string]*session        // by host id
	suspects  map[string]map[string]bool // ids of the hosts that fail to reach the primary, by group
	suspicion chan struct{}              // closed and replaced by announceSuspicions
	suspected uint64                     // how often a group became suspected
	announced uint64                     // suspected at the last call of announceSuspicions
	askedFrom int                        // position among the suspected groups of the first that is asked about
	positions map[string]logpos.Position // highest reported position, by group; outlives the sessions
	losses    uint64                     // sessions that ended without a last report; starts at 1 for those of earlier leaders
	lossesAt  map[string]uint64          // losses when the present primary of a group was named; 0 if an earlier leader named it
}

// session is the state of one host.
type session struct {
	host         directoryrpc.Host // as in the last request; the address as in the last that had one
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
		suspects:     make(map[string]map[string]bool),
		suspicion:    make(chan struct{}),
		positions:    make(map[string]logpos.Position),
		losses:       1,
		lossesAt:     make(map[string]uint64),
	}
}

// recordSync records a Sync request. A new incarnation of a host replaces the old
// one, whose process must have ended, because both would listen on the same port.
func (s *sessions) recordSync(args *directoryrpc.SyncArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[args.Host.ID]
	if h != nil && h.incarnation != args.Host.Incarnation {
		if args.Leaving {
			return // a late request of a process that was replaced
		}
		s.forget(args.Host.ID)
		h = nil
	}
	if h == nil {
		h = &session{incarnation: args.Host.Incarnation, grantedAt: clock.Now()}
		s.hosts[args.Host.ID] = h
	}
	if args.Leaving && len(args.Reports) == 0 && len(h.reports) > 0 {
		s.forget(args.Host.ID) // a host of an earlier release, which leaves without a last report
		return
	}
	h.recordHost(args.Host)
	h.ackedVersion = args.Version
	s.setReports(args.Host.ID, h, args.Reports)
	if args.Leaving {
		s.remove(args.Host.ID)
	}
}

// remove removes a session. The caller holds mu.
func (s *sessions) remove(id string) {
	s.clearSuspicions(id, s.hosts[id])
	delete(s.hosts, id)
}

// forget removes a session and counts what its host has not reported as lost. The
// caller holds mu.
func (s *sessions) forget(id string) {
	s.remove(id)
	s.losses++
}

// forgetSilent forgets the hosts whose leases expired long ago.
func (s *sessions) forgetSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.hosts {
		if clock.Now().Sub(h.grantedAt) > s.leaseTimeout+forgetAfter {
			s.forget(id)
		}
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

// recordHost records what a host says about itself. A host sends its address only
// while it shares connections, and at its start.
func (h *session) recordHost(host directoryrpc.Host) {
	if host.PeerAddress == "" {
		host.PeerAddress, host.DataCentre = h.host.PeerAddress, h.host.DataCentre
	}
	h.host = host
}

// liveHosts returns the hosts whose lease may still be valid, by id.
func (s *sessions) liveHosts() map[string]directoryrpc.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[string]directoryrpc.Host, len(s.hosts))
	for id, h := range s.hosts {
		if clock.Now().Sub(h.grantedAt) <= s.leaseTimeout {
			live[id] = h.host
		}
	}
	return live
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
// each has confirmed version or lost its lease.
func (s *sessions) released(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		if h.ackedVersion < version && clock.Now().Sub(h.grantedAt) <= s.leaseTimeout {
			return false
		}
	}
	return s.earlierLeasesExpired()
}

// recordPrimary records that a primary is about to be named. What hosts saw of
// earlier primaries no longer matters then.
func (s *sessions) recordPrimary(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossesAt[group] = s.losses
}

// positionsComplete reports whether highestPosition covers every commit of the
// present primary that a host may have acknowledged: every host that had a lease
// since the primary was named has confirmed version or given up its lease.
func (s *sessions) positionsComplete(group string, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		if h.ackedVersion < version {
			return false
		}
	}
	return s.lossesAt[group] == s.losses
}

// highestPosition returns the highest log position of the group that a host has
// reported. Positions of earlier primaries are lower, because their term is.
func (s *sessions) highestPosition(group string) logpos.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.positions[group]
}
