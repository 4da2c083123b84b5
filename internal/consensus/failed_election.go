package consensus

// FailedElection describes an election, or the pre-vote for one, that found no
// majority before its timeout. Hosts are listed by member key, which is the id and
// the incarnation.
type FailedElection struct {
	Term    uint64   // current term of the candidate
	PreVote bool     // the candidate has not raised its term yet
	Quorum  int      // votes that were needed
	Granted []string // voters that granted their vote, the candidate included
	Refused []string
	Silent  []string // voters that have not answered
}

// recordFailedElection records for the next Output that the election of this host,
// if it is a candidate, has timed out.
func (m *Machine) recordFailedElection() {
	if !m.campaigning() {
		return
	}
	f := &FailedElection{Term: m.term, PreVote: m.role == PreCandidate, Quorum: m.members().quorum()}
	for _, member := range m.members() {
		if member.Learner {
			continue
		}
		switch granted, answered := m.votes[member.key()]; {
		case granted:
			f.Granted = append(f.Granted, member.key())
		case answered:
			f.Refused = append(f.Refused, member.key())
		default:
			f.Silent = append(f.Silent, member.key())
		}
	}
	m.failedElection = f
}
