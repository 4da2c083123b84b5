package consensus_test

import (
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/matryer/is"
)

// restartWith starts a host again with the given seeds, as one that joins.
func (s *sim) restartWith(id string, seeds ...string) {
	h := s.hosts[id]
	h.join, h.seeds = true, []consensus.Member{}
	for _, seed := range seeds {
		h.seeds = append(h.seeds, consensus.Member{ID: seed, Address: seed})
	}
	s.startHost(h)
}

// removeHost removes a member and runs until that is committed.
func (s *sim) removeHost(id string) {
	l, h := s.leader(), s.hosts[id]
	self := consensus.Member{ID: h.id, Incarnation: h.incarnation, Address: h.id}
	if _, _, err := l.machine.ProposeChange(l.localTime(s.now), consensus.Change{Kind: consensus.Remove, Member: self}); err != nil {
		s.fail("remove %s: %v", id, err)
	}
	s.output(l)
	s.run(2 * time.Second)
}

// admitJoining lets the leader add the hosts that ask to join, one change a second,
// until the time has passed.
func (s *sim) admitJoining(d time.Duration) {
	for end := s.now + d; s.now < end; s.run(time.Second) {
		l := s.leader()
		if l == nil {
			continue
		}
		for _, joining := range l.machine.Joining(l.localTime(s.now)) {
			change := consensus.Change{Kind: consensus.AddLearner, Member: joining}
			for _, m := range l.machine.Members() {
				if m.ID == joining.ID {
					change = consensus.Change{Kind: consensus.Remove, Member: m}
				}
			}
			_, _, _ = l.machine.ProposeChange(l.localTime(s.now), change) // a pending change refuses it
		}
		s.output(l)
	}
}

// checkMembers checks that hosts are members with the incarnation that they have, and
// have applied what is committed.
func (s *sim) checkMembers(is *is.I, ids ...string) {
	is.Helper()
	l := s.leader()
	is.True(l != nil)
	for _, id := range ids {
		h := s.hosts[id]
		is.True(slices.ContainsFunc(l.machine.Members(), func(m consensus.Member) bool {
			return m.ID == id && m.Incarnation == h.incarnation
		})) // a member again
		is.Equal(h.applied, l.applied)
	}
}

// TestReturnWithoutLeaderAsSeed guards against a host that never becomes a member
// again after it lost its disk, or was removed while it was down, because the leader
// is not one of its seeds.
func TestReturnWithoutLeaderAsSeed(t *testing.T) {
	// p and q are followers; n has never been a member. play returns the hosts that
	// must be members afterwards.
	for _, tc := range []struct {
		name string
		play func(s *sim, p, q, n string) []string
	}{
		{"the seed is a follower", func(s *sim, p, q, n string) []string {
			s.loseDisk(s.hosts[p])
			s.restartWith(p, q)
			return []string{p}
		}},
		{"a new host, the seed is a follower", func(s *sim, p, q, n string) []string {
			s.restartWith(n, q)
			return []string{n}
		}},
		{"no seed is up", func(s *sim, p, q, n string) []string {
			s.loseDisk(s.hosts[p])
			s.restartWith(p, n)
			return []string{p}
		}},
		{"the only seed is the host itself", func(s *sim, p, q, n string) []string {
			s.loseDisk(s.hosts[p])
			s.restartWith(p, p)
			return []string{p}
		}},
		{"the seed lost its disk too", func(s *sim, p, q, n string) []string {
			s.loseDisk(s.hosts[p])
			s.restartWith(p, p)
			s.restartWith(n, p)
			return []string{p, n}
		}},
		{"a new host is a seed of one that lost its disk", func(s *sim, p, q, n string) []string {
			s.loseDisk(s.hosts[p])
			s.restartWith(n, n)
			s.restartWith(p, n)
			return []string{p, n}
		}},
		{"two lost their disks and are seeds of each other", func(s *sim, p, q, n string) []string {
			s.loseDisk(s.hosts[p])
			s.loseDisk(s.hosts[q])
			s.restartWith(p, q)
			s.restartWith(q, p)
			return []string{p, q}
		}},
		{"the seeds are exchanged while the host waits", func(s *sim, p, q, n string) []string {
			s.restartWith(n, n)
			s.admitJoining(3 * time.Second)
			s.hosts[n].machine.SetSeeds([]consensus.Member{{ID: q, Address: q}})
			return []string{n}
		}},
		{"removed while it was down", func(s *sim, p, q, n string) []string {
			s.crash(s.hosts[p])
			s.removeHost(p)
			s.restartWith(p, p)
			return []string{p}
		}},
		{"removed while it was paused", func(s *sim, p, q, n string) []string {
			s.hosts[p].paused = true
			s.removeHost(p)
			s.hosts[p].inbox = nil
			s.resume(s.hosts[p])
			return []string{p}
		}},
		{"removed while it ran", func(s *sim, p, q, n string) []string {
			s.removeHost(p)
			return []string{p}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(1, "", 5, 1)
			s.crash(s.hosts["f"])
			s.run(2 * time.Second)
			s.propose()
			l := s.leader()
			followers := slices.DeleteFunc(slices.Clone(s.ids[:5]), func(id string) bool { return id == l.id })
			hosts := tc.play(s, followers[0], followers[1], "f")
			s.admitJoining(8 * time.Second)
			s.checkMembers(is, hosts...)
			is.Equal(s.leader(), l) // the return caused no election
		})
	}
}

// TestRemovedHostForgetsLeader guards against a host without a vote that names a leader
// for good from which it hears nothing.
func TestRemovedHostForgetsLeader(t *testing.T) {
	is := is.New(t)
	s := newSim(1, "", 3, 0)
	s.run(2 * time.Second)
	removed := s.hosts["a"]
	if s.leader() == removed {
		removed = s.hosts["b"]
	}
	is.True(removed.machine.Status(removed.localTime(s.now)).Leader.ID != "")
	s.removeHost(removed.id)
	s.run(4 * simElectionTimeout)
	is.Equal(removed.machine.Status(removed.localTime(s.now)).Leader.ID, "")
}
