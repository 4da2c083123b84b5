package consensus

// ChangeKind names a kind of membership change.
type ChangeKind string

// The kinds of membership changes.
const (
	AddLearner ChangeKind = "add_learner"
	Promote    ChangeKind = "promote" // learner to voter, once it has caught up
	Demote     ChangeKind = "demote"  // voter to learner
	Remove     ChangeKind = "remove"
)

// Change is one membership change. A member is identified by its id and
// incarnation; AddLearner also needs the address.
type Change struct {
	Kind   ChangeKind `codec:"k" json:"kind"`
	Member Member     `codec:"m" json:"member"`
}
