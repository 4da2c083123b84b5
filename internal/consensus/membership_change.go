package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// maxPromoteLagEntries is how many entries a learner may lag behind when it is
// promoted. A voter that lags further behind would delay commits until it has
// caught up.
const maxPromoteLagEntries = 64

// members returns the membership in force.
func (m *Machine) members() members {
	if len(m.memberships) == 0 {
		return nil
	}
	return m.memberships[len(m.memberships)-1].members
}

// recordMembers puts a membership in force when its entry is added to the log.
func (m *Machine) recordMembers(e wal.Entry) error {
	if e.Kind != entryMembers {
		return nil
	}
	ms, err := decodeMembers(e.Data)
	if err != nil {
		return err
	}
	m.memberships = append(m.memberships, membership{index: e.Index, members: ms})
	return nil
}

// membersAt returns the membership as of the entry at index.
func (m *Machine) membersAt(index uint64) members {
	var ms members
	for _, c := range m.memberships {
		if c.index <= index {
			ms = c.members
		}
	}
	return ms
}

// syncProgress adds and removes progress records so that there is one for each
// other member that the leader sends the log to.
func (m *Machine) syncProgress(now time.Time) {
	for _, member := range m.members() {
		key := member.key()
		if key != m.self.key() && m.progress[key] == nil {
			m.progress[key] = &progress{next: max(m.log.lastIndex(), 1), contact: now}
		}
	}
	for key := range m.progress {
		if _, ok := m.replicationTargets().find(key); !ok {
			delete(m.progress, key)
		}
	}
}

// ProposeChange appends a membership change. It is refused until the previous
// change and the first entry of the term are committed.
func (m *Machine) ProposeChange(now time.Time, change Change) (index, term uint64, err error) {
	if m.role != Leader || m.leadershipTransfer != nil {
		return 0, 0, errkind.New(errkind.NotLeader, "host %s is not the leader", m.self.ID)
	}
	if !m.TermStarted() {
		return 0, 0, errkind.New(errkind.Conflict, "the leader has not committed an entry of its term yet")
	}
	if pending := m.memberships[len(m.memberships)-1].index; pending > m.commit {
		return 0, 0, errkind.New(errkind.Conflict, "the membership change of entry %d is in progress", pending)
	}
	next, err := m.membersAfter(now, change)
	if err != nil {
		return 0, 0, err
	}
	index = m.appendEntry(entryMembers, next.encode())
	m.untrackRemoved(change.Member.key())
	if removed, ok := m.members().find(change.Member.key()); ok && change.Kind == Remove {
		m.trackRemoved(removed, index)
	}
	m.memberships = append(m.memberships, membership{index: index, members: next})
	m.syncProgress(now)
	delete(m.joining, change.Member.key())
	return index, m.term, nil
}

// membersAfter checks the change and returns the resulting membership.
func (m *Machine) membersAfter(now time.Time, change Change) (members, error) {
	ms, key := m.members(), change.Member.key()
	member, known := ms.find(key)
	switch change.Kind {
	case AddLearner:
		if known {
			return nil, errkind.New(errkind.Conflict, "%s is already a member", key)
		}
		if c := change.Member; c.ID == "" || c.Incarnation == "" || c.Address == "" {
			return nil, errkind.New(errkind.BadRequest, "a learner needs an id, an incarnation and an address")
		}
		member = change.Member
		member.Learner, member.Joined = true, m.log.lastIndex()+1
		return ms.with(member), nil
	case Promote:
		return m.membersAfterPromotion(now, member, known, key)
	case Demote:
		if !known || member.Learner {
			return nil, errkind.New(errkind.BadRequest, "%s is not a voter", key)
		}
		if ms.voterCount() == 1 {
			return nil, errkind.New(errkind.Conflict, "%s is the last voter", key)
		}
		member.Learner = true
		return ms.with(member), nil
	case Remove:
		if !known {
			return nil, errkind.New(errkind.BadRequest, "%s is not a member", key)
		}
		if !member.Learner && ms.voterCount() == 1 {
			return nil, errkind.New(errkind.Conflict, "%s is the last voter", key)
		}
		return ms.without(key), nil
	}
	return nil, errkind.New(errkind.BadRequest, "unknown membership change %q", change.Kind)
}

// membersAfterPromotion checks the promotion of a learner and returns the
// resulting membership.
func (m *Machine) membersAfterPromotion(now time.Time, member Member, known bool, key string) (members, error) {
	if !known || !member.Learner {
		return nil, errkind.New(errkind.BadRequest, "%s is not a learner", key)
	}
	for _, other := range m.members() {
		if other.ID == member.ID && !other.Learner {
			return nil, errkind.New(errkind.Conflict, "%s is still a voter; remove it first", other.key())
		}
	}
	if !m.caughtUp(now, m.progress[key]) {
		return nil, errkind.New(errkind.Conflict, "%s has not caught up yet", key)
	}
	member.Learner = false
	return m.members().with(member), nil
}

// caughtUp reports whether a learner has caught up far enough to be promoted.
func (m *Machine) caughtUp(now time.Time, p *progress) bool {
	return p != nil && p.match > 0 && p.match+maxPromoteLagEntries >= m.log.lastIndex() && now.Sub(p.contact) <= m.opts.MinElectionTimeout
}

// stepDownIfRemoved steps down once the change that takes the vote of this host is
// committed. It asks the voter with the most entries to take over at once.
func (m *Machine) stepDownIfRemoved() {
	c := m.memberships[len(m.memberships)-1]
	if c.index > m.commit || c.members.isVoter(m.self.key()) {
		return
	}
	var successor Member
	var best uint64
	for _, to := range c.members {
		if p := m.progress[to.key()]; p != nil {
			// Informs the others at once that the removal is committed.
			t, _ := m.log.term(p.match)
			m.send(Message{Kind: MessageAppend, To: to, Index: p.match, LogTerm: t, Commit: m.commit})
			if !to.Learner && p.match > best {
				successor, best = to, p.match
			}
		}
	}
	if best > 0 {
		m.leaseReleased = true
		m.send(Message{Kind: MessageTimeoutNow, To: successor})
	}
	// Any time will do: it only starts the election timeout, and a removed host
	// is not electable.
	m.becomeFollower(m.lastLeaderContact, m.term)
}
