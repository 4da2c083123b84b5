package consensus

import "time"

// Status returns the state of the machine at now.
func (m *Machine) Status(now time.Time) Status {
	s := Status{
		ID: m.self.ID, Incarnation: m.self.Incarnation, Initialised: !m.Empty(),
		Role: m.role, Term: m.term, Leader: m.leader, LeaseValid: now.Before(m.LeaseUntil(now)),
		Commit: m.commit, Applied: m.applied, Last: m.log.lastIndex(), Joining: m.Joining(now),
	}
	if m.snapshot != nil {
		s.SnapshotIndex = m.snapshot.Index
	}
	for _, member := range m.members() {
		ms := MemberStatus{Member: member}
		if p := m.progress[member.key()]; p != nil {
			ms.Match, ms.SnapshotSent = p.match, p.snapshot != nil
			ms.ContactAge, ms.CaughtUp = now.Sub(p.contact), m.caughtUp(now, p)
		} else if m.role == Leader {
			ms.Match = m.log.lastIndex()
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
