package consensus

import (
	"slices"
	"time"
)

// quorumContact returns the time since which a quorum has answered.
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
// none. It is computed from the membership in force each time: an end that
// was computed for an earlier membership may not overlap with the quorums of
// the next.
func (m *Machine) LeaseUntil(now time.Time) time.Time {
	if m.role != Leader || m.abdicated && !m.opts.faults.keepTransferLease {
		return time.Time{}
	}
	var sent []int64
	for _, member := range m.members() {
		switch p := m.progress[member.key()]; {
		case member.Learner:
		case member.key() == m.self.key():
			sent = append(sent, m.clock(now))
		case p != nil:
			sent = append(sent, p.sent)
		}
	}
	quorum := m.members().quorum()
	if len(sent) < quorum {
		return time.Time{}
	}
	slices.Sort(sent)
	from := sent[len(sent)-quorum]
	if from == 0 {
		return time.Time{}
	}
	return m.epoch.Add(time.Duration(from) + time.Duration(leaseShare*float64(m.opts.Election)))
}

// clock returns now as Message.Sent states it.
func (m *Machine) clock(now time.Time) int64 { return int64(now.Sub(m.epoch)) }
