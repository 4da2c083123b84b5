package control

// Cause is the reason why a group needs a new primary.
type Cause string

// The causes.
const (
	CauseFirst   Cause = "first"   // all declared members are known, the group has had no primary yet
	CauseResume  Cause = "resume"  // an earlier attempt did not finish
	CauseSuspect Cause = "suspect" // the owner cannot reach the primary, or the owner's session has expired
	CauseRequest Cause = "request" // an operator asked for it
	CauseLeaving Cause = "leaving" // the primary is draining or departing
	CauseMembers Cause = "members" // a server should join or leave the members
)

// replacesPrimary reports whether a server other than the present primary
// should become primary.
func (c Cause) replacesPrimary() bool {
	return c == CauseSuspect || c == CauseRequest || c == CauseLeaving
}

// planned reports whether the present primary is expected to be healthy, so
// that the change can wait for it to finish the writes in progress.
func (c Cause) planned() bool { return c == CauseRequest || c == CauseLeaving || c == CauseMembers }
