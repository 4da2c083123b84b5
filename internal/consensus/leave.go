package consensus

import "time"

// leavingTTL is how many election timeouts after its last request a voter counts as
// about to stop. It repeats the request within one.
const leavingTTL = 2

// AskToLeave asks the leader to give the vote of this host, which is about to stop, to
// another one. A leader transfers its leadership first. AskToLeave returns false if the
// host has no vote, or if nobody could take it: then the host can stop at once.
func (m *Machine) AskToLeave(now time.Time) bool {
	ms := m.members()
	if !ms.isVoter(m.self.key()) || len(ms) == ms.voterCount() && len(ms)%2 == 1 {
		return false
	}
	m.stopping = true
	switch {
	case m.role == Leader:
		_ = m.StartLeadershipTransfer(now) // refused while no voter is reachable; the caller asks again
	case m.leader.ID != "":
		m.send(Message{Kind: MessageLeave, To: m.leader})
	}
	return true
}

// handleLeave records a voter that is about to stop.
func (m *Machine) handleLeave(now time.Time, msg Message) {
	if m.role == Leader && m.members().isVoter(msg.From.key()) {
		m.leaving[msg.From.key()] = now
	}
}

// leavingVoters returns the voters that are about to stop, as the leader knows them.
func (m *Machine) leavingVoters(now time.Time) []Member {
	var out []Member
	for _, member := range m.members() {
		if asked, ok := m.leaving[member.key()]; ok && !member.Learner && now.Sub(asked) <= leavingTTL*m.opts.MinElectionTimeout {
			out = append(out, member)
		}
	}
	return out
}
