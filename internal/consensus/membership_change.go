package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// maxPromoteLag is how many entries a learner may lack when it is promoted. A
// voter that lacks many more would hold up commits until it has caught up.
const maxPromoteLag = 64

func (m *Machine) members() members {
	if len(m.configs) == 0 {
		return nil
	}
	return m.configs[len(m.configs)-1].members
}

// noteMembers puts a membership in force when it enters the log.
func (m *Machine) noteMembers(e wal.Entry) error {
	if e.Kind != entryMembers {
		return nil
	}
	ms, err := decodeMembers(e.Data)
	if err != nil {
		return err
	}
	m.configs = append(m.configs, membership{index: e.Index, members: ms})
	return nil
}

// membersAt returns the membership after the entry at index.
func (m *Machine) membersAt(index uint64) members {
	var ms members
	for _, c := range m.configs {
		if c.index <= index {
			ms = c.members
		}
	}
	return ms
}

// syncProgress follows the membership in force.
func (m *Machine) syncProgress(now time.Time) {
	for _, member := range m.members() {
		key := member.key()
		if key != m.self.key() && m.progress[key] == nil {
			m.progress[key] = &progress{next: max(m.log.last(), 1), contact: now}
		}
	}
	for key := range m.progress {
		if _, ok := m.targets().find(key); !ok {
			delete(m.progress, key)
		}
	}
}

// ProposeChange appends a membership change. One change must be committed,
// and the first entry of the term, before the next can start.
func (m *Machine) ProposeChange(now time.Time, change Change) (index, term uint64, err error) {
	if m.role != Leader || m.handover != nil {
		return 0, 0, errkind.New(errkind.NotLeader, "host %s does not lead", m.self.ID)
	}
	if !m.TermStarted() {
		return 0, 0, errkind.New(errkind.Conflict, "the leader has not committed an entry of its term yet")
	}
	if pending := m.configs[len(m.configs)-1].index; pending > m.commit {
		return 0, 0, errkind.New(errkind.Conflict, "the membership change of entry %d is in progress", pending)
	}
	next, err := m.changed(now, change)
	if err != nil {
		return 0, 0, err
	}
	index = m.appendOwn(entryMembers, next.encode())
	m.arrive(change.Member.key())
	if removed, ok := m.members().find(change.Member.key()); ok && change.Kind == Remove {
		m.depart(removed, index)
	}
	m.configs = append(m.configs, membership{index: index, members: next})
	m.syncProgress(now)
	delete(m.joining, change.Member.key())
	return index, m.term, nil
}

// changed checks the change and returns the resulting membership.
func (m *Machine) changed(now time.Time, change Change) (members, error) {
	ms, key := m.members(), change.Member.key()
	member, known := ms.find(key)
	switch change.Kind {
	case AddLearner:
		if known {
			return nil, errkind.New(errkind.Conflict, "%s is a member already", key)
		}
		if c := change.Member; c.ID == "" || c.Incarnation == "" || c.Address == "" {
			return nil, errkind.New(errkind.BadRequest, "a learner needs an id, an incarnation and an address")
		}
		member = change.Member
		member.Learner = true
		return ms.with(member), nil
	case Promote:
		return m.promoted(now, member, known, key)
	case Remove:
		if !known {
			return nil, errkind.New(errkind.BadRequest, "%s is no member", key)
		}
		if !member.Learner && ms.voters() == 1 {
			return nil, errkind.New(errkind.Conflict, "%s is the last voter", key)
		}
		return ms.without(key), nil
	}
	return nil, errkind.New(errkind.BadRequest, "unknown membership change %q", change.Kind)
}

func (m *Machine) promoted(now time.Time, member Member, known bool, key string) (members, error) {
	if !known || !member.Learner {
		return nil, errkind.New(errkind.BadRequest, "%s is no learner", key)
	}
	for _, other := range m.members() {
		if other.ID == member.ID && !other.Learner {
			return nil, errkind.New(errkind.Conflict, "%s is still a voter; remove it first", other.key())
		}
	}
	p := m.progress[key]
	if p == nil || p.match == 0 || p.match+maxPromoteLag < m.log.last() || now.Sub(p.contact) > m.opts.Election {
		return nil, errkind.New(errkind.Conflict, "%s has not caught up yet", key)
	}
	member.Learner = false
	return m.members().with(member), nil
}

// leaveIfRemoved steps down once the removal of this host is committed.
func (m *Machine) leaveIfRemoved() {
	c := m.configs[len(m.configs)-1]
	if c.index > m.commit || c.members.voter(m.self.key()) {
		return
	}
	for _, to := range c.members {
		if p := m.progress[to.key()]; p != nil {
			// The others learn at once that the removal is committed.
			t, _ := m.log.term(p.match)
			m.send(Message{Kind: MessageAppend, To: to, Index: p.match, LogTerm: t, Commit: m.commit})
		}
	}
	m.becomeFollower(m.heard, m.term)
}
