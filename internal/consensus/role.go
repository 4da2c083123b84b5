package consensus

// Role is the role of a host in its term.
type Role string

// The roles. A learner is a follower that is not a voter.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre_candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)
