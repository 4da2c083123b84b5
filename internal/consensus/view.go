package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
)

// view is what a Node publishes of its machine after each cycle of its loop.
// It is never changed after it was published.
type view struct {
	role       Role
	term       uint64
	leader     Member
	leaseUntil time.Time
	started    bool // see Machine.TermStarted; everything committed is applied
	members    members
	commit     uint64
	applied    uint64
	handover   bool // leadership is being handed over
	failed     error
}

// leaseValid reports whether the read lease covers this instant.
func (v *view) leaseValid() bool {
	return v.role == Leader && clock.Now().Before(v.leaseUntil)
}
