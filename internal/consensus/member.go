package consensus

import "strings"

// Member is one host of the replicated log, with one incarnation of its data
// folder.
type Member struct {
	ID          string `codec:"i" json:"id"`
	Incarnation string `codec:"n" json:"incarnation"` // see wal.Identity; empty while unknown
	Address     string `codec:"a" json:"address"`     // ip:port of its rpc service
	Learner     bool   `codec:"l" json:"learner"`     // receives the log, does not vote
	// Joined is the log index of the change that added the member, which orders members by
	// their age; 0 for those that created the log.
	Joined uint64 `codec:"j,omitempty" json:"joined,omitempty"`
}

// key identifies the member. Another incarnation of the same host is another
// member.
func (m Member) key() string { return m.ID + "@" + m.Incarnation }

func compareMembers(a, b Member) int { return strings.Compare(a.key(), b.key()) }
