package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// handover is a leadership transfer in progress.
type handover struct {
	target   Member
	deadline time.Time
}

// StartTransfer hands leadership to the voter with the longest log. Proposals
// are refused meanwhile. The lease ends when the target is asked to take
// over, for the rest of the term: the request may arrive late, and the votes
// that it leads to ignore the stickiness that the lease depends on.
func (m *Machine) StartTransfer(now time.Time) error {
	if m.role != Leader {
		return errkind.New(errkind.NotLeader, "host %s does not lead", m.self.ID)
	}
	if m.handover != nil {
		return nil
	}
	var target Member
	var best *progress
	for _, member := range m.members() {
		p := m.progress[member.key()]
		if member.Learner || p == nil || now.Sub(p.contact) > m.opts.Election {
			continue
		}
		if best == nil || p.match > best.match {
			target, best = member, p
		}
	}
	if best == nil {
		return errkind.New(errkind.Conflict, "no other voter is reachable")
	}
	m.handover = &handover{target: target, deadline: now.Add(2 * m.opts.Election)}
	m.continueHandover(target, best)
	return nil
}

// continueHandover asks the target to take over once it has the whole log.
func (m *Machine) continueHandover(from Member, p *progress) {
	h := m.handover
	if h == nil || from.key() != h.target.key() || p.match < m.log.last() {
		return
	}
	m.abdicated = true
	m.send(Message{Kind: MessageTimeoutNow, To: h.target})
}

// tickHandover ends a transfer that takes too long. It reports whether the
// host stepped down: without its lease a leader is of no use.
func (m *Machine) tickHandover(now time.Time) bool {
	if m.handover == nil || now.Before(m.handover.deadline) {
		return false
	}
	if m.abdicated {
		m.becomeFollower(now, m.term)
		return true
	}
	m.handover = nil
	return false
}
