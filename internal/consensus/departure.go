package consensus

import (
	"slices"
	"time"
)

// departure is a member that was removed by this leader. It still gets the
// log for a while, so that it learns of its removal and does not campaign.
type departure struct {
	member Member
	index  uint64    // of the removal
	until  time.Time // zero until the removal is committed
}

// targets returns the members that the leader sends the log to.
func (m *Machine) targets() members {
	out := m.members()
	for _, d := range m.departures {
		out = out.with(d.member)
	}
	return out
}

// depart notes the removal of a member by the entry at index.
func (m *Machine) depart(member Member, index uint64) {
	if member.key() != m.self.key() {
		m.departures = append(m.departures, departure{member: member, index: index})
	}
}

// arrive ends the departure of a member that is added again.
func (m *Machine) arrive(key string) {
	m.departures = slices.DeleteFunc(m.departures, func(d departure) bool { return d.member.key() == key })
}

// tickDepartures ends departures some time after their commit: a host that is
// down must not be sent to for ever.
func (m *Machine) tickDepartures(now time.Time) {
	for i := range m.departures {
		if d := &m.departures[i]; d.index <= m.commit && d.until.IsZero() {
			d.until = now.Add(2 * m.opts.Election)
		}
	}
	before := len(m.departures)
	m.departures = slices.DeleteFunc(m.departures, func(d departure) bool {
		return !d.until.IsZero() && now.After(d.until)
	})
	if len(m.departures) != before {
		m.syncProgress(now)
	}
}
