package consensus

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxPeers bounds the hosts that a host without contact to a leader learns of.
	maxPeers = 64
	// lostContactTimeouts is the number of election timeouts without contact to a
	// leader after which a host with a log asks to be added. Elections are faster.
	lostContactTimeouts = 4
)

// SetSeeds replaces the further hosts that are asked for the leader, besides the
// bootstrap members.
func (m *Machine) SetSeeds(seeds []Member) { m.seeds = slices.Clone(seeds) }

// learnPeers records hosts that may know the leader, until a leader makes contact.
func (m *Machine) learnPeers(peers ...Member) {
	for _, p := range peers {
		p = Member{ID: p.ID, Address: p.Address}
		if p.ID == "" || p.Address == "" || p.ID == m.self.ID {
			continue
		}
		if _, known := m.peers[p]; !known && len(m.peers) >= maxPeers {
			clear(m.peers) // later answers name those that are still there
		}
		if m.peers == nil {
			m.peers = make(map[Member]struct{})
		}
		m.peers[p] = struct{}{}
	}
}

// sendHellos asks every known host for the leader and, if it leads, to be added.
func (m *Machine) sendHellos() {
	known := make(map[Member]struct{})
	maps.Copy(known, m.peers)
	for _, to := range slices.Concat(m.opts.Bootstrap, m.seeds, m.members()) {
		if to.ID != m.self.ID {
			known[Member{ID: to.ID, Address: to.Address}] = struct{}{}
		}
	}
	order := func(a, b Member) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address)) }
	for _, to := range slices.SortedFunc(maps.Keys(known), order) {
		m.send(Message{
			Kind: MessageHello, To: to, Index: m.log.lastIndex(),
			Members: m.opts.Bootstrap, Transfer: m.coordinator() == m.self.ID,
		})
	}
}

// outOfContact reports whether no leader has made contact for so long that this
// host may have been removed from the membership.
func (m *Machine) outOfContact(now time.Time) bool {
	return now.Sub(m.lastLeaderContact) > lostContactTimeouts*m.opts.MinElectionTimeout
}
