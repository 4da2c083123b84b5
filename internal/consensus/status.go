package consensus

// Status is the state of a node for the state dump.
type Status struct {
	ID            string         `json:"id"`
	Incarnation   string         `json:"incarnation"`
	Initialised   bool           `json:"initialised"`
	Role          Role           `json:"role"`
	Term          uint64         `json:"term"`
	Leader        Member         `json:"leader"`
	LeaseValid    bool           `json:"lease_valid"`
	Commit        uint64         `json:"commit"`
	Applied       uint64         `json:"applied"`
	Last          uint64         `json:"last"`
	SnapshotIndex uint64         `json:"snapshot_index"`
	Members       []MemberStatus `json:"members"`
	Joining       []Member       `json:"joining"` // at the leader: hosts that ask to be added
	Failed        string         `json:"failed,omitempty"`
}

// MemberStatus is a member and, at the leader, how far it is.
type MemberStatus struct {
	Member
	Match        uint64 `json:"match"`
	SnapshotSent bool   `json:"snapshot_sent"` // a snapshot is on its way
	ContactAgeMS int64  `json:"contact_age_ms"`
}
