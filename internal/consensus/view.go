package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
)

// view is the state of the machine that a Node publishes after each cycle of
// its loop. It is immutable once published.
type view struct {
	role               Role
	term               uint64
	leader             Member
	leaseUntil         time.Time
	termStarted        bool // Machine.TermStarted, with all committed entries applied
	members            members
	commit             uint64
	applied            uint64
	leadershipTransfer bool // a leadership transfer is in progress
	failed             error
}

// leaseValid reports whether this node holds a valid read lease now.
func (v *view) leaseValid() bool {
	return v.role == Leader && clock.Now().Before(v.leaseUntil)
}
