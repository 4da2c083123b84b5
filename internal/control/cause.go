package control

// Cause says why a group needs a new primary.
type Cause string

// The causes.
const (
	CauseFirst   Cause = "first"   // all declared members are known, none was primary yet
	CauseResume  Cause = "resume"  // an earlier attempt did not finish
	CauseSuspect Cause = "suspect" // the owner cannot reach the primary
	CauseRequest Cause = "request" // an operator asked for it
	CauseLeaving Cause = "leaving" // the primary is draining or departing
	CauseMembers Cause = "members" // a server should join or leave the members
)

// replaces reports whether another server than the present primary is wanted.
func (c Cause) replaces() bool {
	return c == CauseSuspect || c == CauseRequest || c == CauseLeaving
}

// planned reports whether the present primary is expected to be well, so that
// the change can wait for it to finish what it has begun.
func (c Cause) planned() bool { return c == CauseRequest || c == CauseLeaving || c == CauseMembers }
