package consensus

import (
	"slices"
	"time"
)

// quorumContact returns the newest time such that a quorum has answered a
// message sent at that time or later.
func (m *Machine) quorumContact(now time.Time) time.Time {
	var times []time.Time
	for _, member := range m.members() {
		switch p := m.progress[member.key()]; {
		case member.Learner:
		case member.key() == m.self.key():
			times = append(times, now)
		case p != nil:
			times = append(times, p.contact)
		}
	}
	quorum := m.members().quorum()
	if len(times) < quorum {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[quorum-1]
}

// LeaseUntil returns the end of the read lease, or the zero time if there is
// none. It is computed from the membership in force at each call: the quorum
// behind an end computed for an earlier membership may not overlap with the
// quorums of the current one.
func (m *Machine) LeaseUntil(now time.Time) time.Time {
	if m.role != Leader || m.leaseReleased && !m.opts.faults.keepTransferLease {
		return time.Time{}
	}
	var ackedSent []int64
	for _, member := range m.members() {
		switch p := m.progress[member.key()]; {
		case member.Learner:
		case member.key() == m.self.key():
			ackedSent = append(ackedSent, m.timestamp(now))
		case p != nil:
			ackedSent = append(ackedSent, p.ackedSent)
		}
	}
	quorum := m.members().quorum()
	if len(ackedSent) < quorum {
		return time.Time{}
	}
	slices.Sort(ackedSent)
	from := ackedSent[len(ackedSent)-quorum]
	if from == 0 {
		return time.Time{}
	}
	return m.epoch.Add(time.Duration(from) + time.Duration(leaseTimeoutFraction*float64(m.opts.MinElectionTimeout)))
}

// timestamp returns now in the form of Message.Sent: nanoseconds since epoch.
func (m *Machine) timestamp(now time.Time) int64 { return int64(now.Sub(m.epoch)) }
