package consensus

// Role is what a host does in its term.
type Role string

// The roles. A learner is a follower that is no voter.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre_candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)
