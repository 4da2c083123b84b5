package consensus_test

import (
	"fmt"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
)

// fault is a kind of fault, or of other action, that a test injects at a host.
type fault struct {
	name string
	do   func(s *sim, h *simHost)
}

// faults returns the faults of the property tests. Membership changes and
// leadership transfers go to the current leader.
func faults() []fault {
	return []fault{
		{"mend", func(s *sim, h *simHost) {
			s.heal()
			s.run(time.Second)
		}},
		{"mend the network", func(s *sim, h *simHost) {
			clear(s.cutLinks)
			s.run(time.Second)
		}},
		{"change members", func(s *sim, h *simHost) { s.changeMembers() }},
		{"change members", func(s *sim, h *simHost) { s.changeMembers() }},
		{"transfer", func(s *sim, h *simHost) {
			if l := s.leader(); l != nil {
				_ = l.machine.StartLeadershipTransfer(l.localTime(s.now))
				s.output(l)
			}
		}},
		{"crash", func(s *sim, h *simHost) { s.crash(h) }},
		{"crash during output", func(s *sim, h *simHost) { h.crashAt = 1 + s.rand.IntN(5) }},
		{"restart", func(s *sim, h *simHost) {
			s.crash(h)
			s.startHost(h)
		}},
		{"restart leader", func(s *sim, h *simHost) {
			if l := s.leader(); l != nil {
				s.crash(l)
				s.startHost(l)
			}
		}},
		{"lose disk", func(s *sim, h *simHost) {
			first := len(s.committed) == 1 && (s.earlyDiskLoss == "" || s.earlyDiskLoss == h.id)
			if first { // the bootstrap may then need the operator, but must stay safe
				s.earlyDiskLoss = h.id
			}
			if first || s.mayLoseDisk(h) {
				s.loseDisk(h)
				s.startHost(h)
			}
		}},
		{"pause", func(s *sim, h *simHost) { h.paused = h.machine != nil }},
		{"pause leader", func(s *sim, h *simHost) {
			if l := s.leader(); l != nil {
				l.paused = true
			}
		}},
		{"resume", func(s *sim, h *simHost) { s.resumeAll() }},
		{"start all", func(s *sim, h *simHost) {
			for _, id := range s.ids {
				if s.hosts[id].machine == nil {
					s.startHost(s.hosts[id])
				}
			}
		}},
		{"isolate", func(s *sim, h *simHost) {
			for _, id := range s.ids {
				s.cutLinks[[2]string{h.id, id}], s.cutLinks[[2]string{id, h.id}] = true, true
			}
		}},
		{"cut one way", func(s *sim, h *simHost) {
			s.cutLinks[[2]string{h.id, s.ids[s.rand.IntN(len(s.ids))]}] = true
		}},
		{"cut leader from one", func(s *sim, h *simHost) {
			if l := s.leader(); l != nil {
				s.cutLinks[[2]string{l.id, h.id}] = true
				s.cutLinks[[2]string{h.id, l.id}] = s.rand.IntN(2) == 0
			}
		}},
		{"restart all but the leader", func(s *sim, h *simHost) {
			l := s.leader()
			for _, id := range s.ids {
				if o := s.hosts[id]; l != nil && o != l {
					s.crash(o)
					s.startHost(o)
				}
			}
		}},
		{"split", func(s *sim, h *simHost) {
			side := make(map[string]bool)
			for _, id := range s.ids {
				side[id] = s.rand.IntN(2) == 0
			}
			for _, a := range s.ids {
				for _, b := range s.ids {
					s.cutLinks[[2]string{a, b}] = side[a] != side[b]
				}
			}
		}},
		{"bad network", func(s *sim, h *simHost) { s.lossRate, s.duplicateRate, s.delayRate = 0.1, 0.1, 0.05 }},
		{"good network", func(s *sim, h *simHost) { s.lossRate, s.duplicateRate, s.delayRate = 0, 0, 0 }},
	}
}

func (s *sim) resumeAll() {
	for _, id := range s.ids {
		if s.hosts[id].paused {
			s.resume(s.hosts[id])
		}
	}
}

// propose proposes commands at every running host; only leaders accept them.
func (s *sim) propose() {
	for _, id := range s.ids { // also at isolated hosts that still lead
		h := s.hosts[id]
		if h.machine == nil || h.paused {
			continue
		}
		for range 1 + s.rand.IntN(8) {
			s.commandCount++
			h.machine.Propose(fmt.Appendf(nil, "%d", s.commandCount))
		}
		s.output(h)
	}
}

// changeMembers proposes one random change that an operator might make: it
// removes a lost incarnation, adds or promotes a host, or sometimes removes a
// live member.
func (s *sim) changeMembers() {
	l := s.leader()
	if l == nil {
		return
	}
	var changes []consensus.Change
	known := make(map[string]bool)
	voters, lost := 0, 0
	for _, m := range l.members {
		known[m.ID+m.Incarnation] = true
		if !m.Learner {
			voters++
			if s.hosts[m.ID].incarnation != m.Incarnation {
				lost++
			}
		}
	}
	for _, m := range l.members {
		switch {
		case s.hosts[m.ID].incarnation != m.Incarnation:
			changes = append(changes, consensus.Change{Kind: consensus.Remove, Member: m})
		case m.Learner:
			changes = append(changes, consensus.Change{Kind: consensus.Promote, Member: m})
		case voters > 3 || voters > 2 && lost == 0:
			if lost <= (voters-2)/2 && s.rand.IntN(4) == 0 {
				kind := []consensus.ChangeKind{consensus.Remove, consensus.Demote}[s.rand.IntN(2)]
				changes = append(changes, consensus.Change{Kind: kind, Member: m})
			}
		}
	}
	for _, id := range s.ids {
		if h := s.hosts[id]; !known[h.id+h.incarnation] {
			changes = append(changes, consensus.Change{
				Kind:   consensus.AddLearner,
				Member: consensus.Member{ID: h.id, Incarnation: h.incarnation, Address: h.id},
			})
		}
	}
	if len(changes) > 0 {
		_, _, _ = l.machine.ProposeChange(l.localTime(s.now), changes[s.rand.IntN(len(changes))])
		s.output(l)
	}
}
