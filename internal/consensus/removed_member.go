package consensus

import (
	"slices"
	"time"
)

// removedMember is a member that this leader removed. The leader still sends it
// the log for a limited time, so that it learns of its removal and starts no
// election.
type removedMember struct {
	member    Member
	index     uint64    // log index of the removal
	sendUntil time.Time // zero until the removal is committed
}

// replicationTargets returns the members that the leader sends the log to.
func (m *Machine) replicationTargets() members {
	out := m.members()
	for _, r := range m.removedMembers {
		out = out.with(r.member)
	}
	return out
}

// trackRemoved records that the entry at index removes the member.
func (m *Machine) trackRemoved(member Member, index uint64) {
	if member.key() != m.self.key() {
		m.removedMembers = append(m.removedMembers, removedMember{member: member, index: index})
	}
}

// untrackRemoved forgets the removal of a member that is added again.
func (m *Machine) untrackRemoved(key string) {
	m.removedMembers = slices.DeleteFunc(m.removedMembers, func(r removedMember) bool { return r.member.key() == key })
}

// expireRemoved stops sending the log to removed members two election timeouts
// after the removal was committed: a removed host may never come back.
func (m *Machine) expireRemoved(now time.Time) {
	for i := range m.removedMembers {
		if r := &m.removedMembers[i]; r.index <= m.commit && r.sendUntil.IsZero() {
			r.sendUntil = now.Add(2 * m.opts.MinElectionTimeout)
		}
	}
	before := len(m.removedMembers)
	m.removedMembers = slices.DeleteFunc(m.removedMembers, func(r removedMember) bool {
		return !r.sendUntil.IsZero() && now.After(r.sendUntil)
	})
	if len(m.removedMembers) != before {
		m.syncProgress(now)
	}
}
