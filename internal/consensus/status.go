package consensus

import "time"

// Status is the state of a node, as the state dump shows it.
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
	Joining       []Member       `json:"joining"`       // at the leader: hosts that have asked to be added
	LongestWrite  time.Duration  `json:"longest_write"` // longest write of the log since the start, in ns
	SlowWrites    uint64         `json:"slow_writes"`   // writes longer than the heartbeat interval
	Failed        string         `json:"failed,omitempty"`
}

// MemberStatus is a member and, at the leader, its replication state.
type MemberStatus struct {
	Member
	Match        uint64        `json:"match"`
	SnapshotSent bool          `json:"snapshot_sent"` // a snapshot is being sent
	ContactAge   time.Duration `json:"contact_age"`   // age of the newest message that it has answered, in ns
	CaughtUp     bool          `json:"-"`             // a learner may be promoted
}
