package consensus

import (
	"slices"
	"time"
)

// leaderActive reports whether a leader may be active, so that this host must
// refuse votes: it leads, or it received a message of a leader (or started) within
// the minimum election timeout. The read lease depends on it.
func (m *Machine) leaderActive(now time.Time) bool {
	if m.opts.faults.noStickiness {
		return false
	}
	return m.role == Leader || now.Before(m.lastLeaderContact.Add(m.opts.MinElectionTimeout))
}

// votingForbidden reports whether the host must not vote because its log is
// empty.
func (m *Machine) votingForbidden() bool { return m.Empty() && !m.opts.faults.voteWithEmptyLog }

// electable reports whether the host may become leader: it is a voter, or its
// removal is in the log but not known to be committed. In the latter case it
// may be the only host whose log is up to date enough to win an election; it
// then leads without counting itself, and steps down when the removal is
// committed.
func (m *Machine) electable() bool {
	for _, c := range slices.Backward(m.memberships) {
		if c.members.isVoter(m.self.key()) {
			return true
		}
		if c.index <= m.commit {
			return false
		}
	}
	return false
}

// campaigning reports whether the host asks for votes.
func (m *Machine) campaigning() bool { return m.role == PreCandidate || m.role == Candidate }

// preCampaign starts the pre-vote: it asks the voters whether they would vote
// for this host. It leaves the term unchanged, so that a host that can't win
// does not disrupt the current leader.
func (m *Machine) preCampaign(now time.Time) {
	m.role, m.leader = PreCandidate, Member{}
	m.votes = make(map[string]bool)
	if m.countVote(m.self.key()) {
		m.campaign(now, false)
		return
	}
	m.requestVotes(now)
}

// campaign starts an election in the next term. transfer marks an election that
// the leader asked for.
func (m *Machine) campaign(now time.Time, transfer bool) {
	m.role, m.leader, m.transferCampaign = Candidate, Member{}, transfer
	m.term++
	m.vote = m.self.key()
	m.incomingSnapshot = nil
	m.votes = make(map[string]bool)
	m.resetElection(now)
	if m.countVote(m.self.key()) {
		m.becomeLeader(now)
		return
	}
	m.requestVotes(now)
}

// requestVotes asks the voters that have not answered, and in the pre-vote also those
// that have refused: they may do so only because they have just started. It is
// repeated until the election ends, because with the fewest voters that can elect a
// leader a single lost message would cost a whole election timeout.
func (m *Machine) requestVotes(now time.Time) {
	m.requestVotesAt = now.Add(m.opts.HeartbeatInterval)
	msg := Message{
		Kind: MessageVote, Term: m.term, Transfer: m.transferCampaign,
		Index: m.log.lastIndex(), LogTerm: m.log.lastTerm(),
	}
	if m.role == PreCandidate {
		msg.Kind, msg.Term, msg.Transfer = MessagePreVote, m.term+1, false
	}
	for _, to := range m.members() {
		granted, answered := m.votes[to.key()]
		if to.Learner || to.key() == m.self.key() || granted || answered && m.role == Candidate {
			continue
		}
		msg.To = to
		m.send(msg)
	}
}

// countVote records a vote and reports whether a quorum of the membership has
// granted theirs. Votes of other incarnations do not count.
func (m *Machine) countVote(key string) bool {
	m.votes[key] = true
	n := 0
	for _, member := range m.members() {
		if !member.Learner && m.votes[member.key()] {
			n++
		}
	}
	return n >= m.members().quorum()
}

// recordRefusal records that a voter refused its vote, unless it has granted one.
func (m *Machine) recordRefusal(key string) {
	if _, answered := m.votes[key]; !answered && m.votes != nil {
		m.votes[key] = false
	}
}

// upToDate reports whether the log of the candidate is at least as up to date as
// the log of this host.
func (m *Machine) upToDate(msg Message) bool {
	t := m.log.lastTerm()
	return msg.LogTerm > t || msg.LogTerm == t && msg.Index >= m.log.lastIndex()
}

func (m *Machine) handlePreVote(now time.Time, msg Message) {
	if m.votingForbidden() {
		return
	}
	if msg.Term > m.term && !m.leaderActive(now) && m.upToDate(msg) {
		m.send(Message{Kind: MessagePreVoteReply, To: msg.From, Term: msg.Term})
		m.deferElection(now)
		return
	}
	m.send(Message{Kind: MessagePreVoteReply, To: msg.From, Reject: true})
}

// deferElection puts the next election of this host off for another one, for which it
// has granted a pre-vote: two at a time take each other's votes. It does so once, so
// that a host that can't win doesn't keep the others from trying.
func (m *Machine) deferElection(now time.Time) {
	if m.role == Follower && !m.electionDeferred {
		m.electionDeferred = true
		m.resetElection(now)
	}
}

func (m *Machine) handlePreVoteReply(now time.Time, msg Message) {
	if msg.Reject {
		m.recordRefusal(msg.From.key())
		if msg.Term > m.term {
			m.becomeFollower(now, msg.Term)
		}
		return
	}
	if m.role == PreCandidate && msg.Term == m.term+1 && m.countVote(msg.From.key()) {
		m.campaign(now, false)
	}
}

// handleVote answers a candidate. While a leader may be active, the request is
// ignored and does not even raise the term, unless that leader asked for the
// election.
func (m *Machine) handleVote(now time.Time, msg Message) {
	if m.votingForbidden() || !msg.Transfer && m.leaderActive(now) {
		return
	}
	if msg.Term > m.term {
		m.becomeFollower(now, msg.Term)
	}
	grant := msg.Term == m.term && m.leader.ID == "" && m.upToDate(msg) &&
		(m.vote == "" || m.vote == msg.From.key())
	if grant {
		m.vote = msg.From.key()
		m.resetElection(now)
	}
	m.send(Message{Kind: MessageVoteReply, To: msg.From, Reject: !grant})
}

func (m *Machine) handleVoteReply(now time.Time, msg Message) {
	if msg.Reject {
		m.recordRefusal(msg.From.key())
	}
	if m.role == Candidate && !msg.Reject && m.countVote(msg.From.key()) {
		m.becomeLeader(now)
	}
}

func (m *Machine) becomeLeader(now time.Time) {
	m.role, m.leader = Leader, m.self
	m.votes = nil
	m.progress = make(map[string]*progress)
	m.joining = make(map[string]joiningHost)
	m.termStartIndex = m.appendEntry(entryNoop, nil)
	m.syncProgress(now)
	m.heartbeatAt = now
	m.tickLeader(now)
}

// tickLeader steps down if a quorum has not answered for two election
// timeouts; otherwise it sends heartbeats.
func (m *Machine) tickLeader(now time.Time) {
	if now.Before(m.heartbeatAt) {
		return
	}
	if now.After(m.quorumContact(now).Add(2 * m.opts.MinElectionTimeout)) {
		m.becomeFollower(now, m.term)
		return
	}
	if m.tickLeadershipTransfer(now) {
		return
	}
	m.heartbeatAt = now.Add(m.opts.HeartbeatInterval)
	m.expireRemoved(now)
	for _, to := range m.replicationTargets() {
		if p := m.progress[to.key()]; p != nil {
			p.paused = false
			m.sendAppend(now, to, p, true)
		}
	}
	m.advanceCommit()
}

// handleTimeoutNow starts an election at the request of the leader.
func (m *Machine) handleTimeoutNow(now time.Time, msg Message) {
	if m.role == Leader || !m.electable() {
		return
	}
	m.campaign(now, true)
}
