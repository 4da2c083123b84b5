package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// leadershipTransfer is a leadership transfer in progress.
type leadershipTransfer struct {
	target   Member
	deadline time.Time
}

// StartLeadershipTransfer starts to transfer leadership to the reachable voter
// with the highest match index. Proposals are refused until the transfer ends.
// Once the target has been asked to take over, the lease is gone for the rest
// of the term: the request may arrive late, and voters grant the resulting vote
// requests even while a leader is active, although the lease relies on their
// refusal.
func (m *Machine) StartLeadershipTransfer(now time.Time) error {
	if m.role != Leader {
		return errkind.New(errkind.NotLeader, "host %s is not the leader", m.self.ID)
	}
	if m.leadershipTransfer != nil {
		return nil
	}
	var target Member
	var best *progress
	for _, member := range m.members() {
		p := m.progress[member.key()]
		if member.Learner || p == nil || now.Sub(p.contact) > m.opts.MinElectionTimeout {
			continue
		}
		if best == nil || p.match > best.match {
			target, best = member, p
		}
	}
	if best == nil {
		return errkind.New(errkind.Conflict, "no other voter is reachable")
	}
	m.leadershipTransfer = &leadershipTransfer{target: target, deadline: now.Add(2 * m.opts.MinElectionTimeout)}
	m.continueLeadershipTransfer(target, best)
	return nil
}

// continueLeadershipTransfer asks the target to take over once it has the whole
// log.
func (m *Machine) continueLeadershipTransfer(from Member, p *progress) {
	transfer := m.leadershipTransfer
	if transfer == nil || from.key() != transfer.target.key() || p.match < m.log.lastIndex() {
		return
	}
	m.leaseReleased = true
	m.send(Message{Kind: MessageTimeoutNow, To: transfer.target})
}

// tickLeadershipTransfer aborts a transfer that has passed its deadline. It
// reports whether the host stepped down, which it does after it has given up
// its lease: a leader without a lease can't serve reads.
func (m *Machine) tickLeadershipTransfer(now time.Time) bool {
	if m.leadershipTransfer == nil || now.Before(m.leadershipTransfer.deadline) {
		return false
	}
	if m.leaseReleased {
		m.becomeFollower(now, m.term)
		return true
	}
	m.leadershipTransfer = nil
	return false
}
