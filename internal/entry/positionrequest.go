package entry

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// positionRequest is an Owner.Position request. Several sessions may wait for
// the same one.
type positionRequest struct {
	seq     uint64    // Entry.nextSeq at the start of the request; 0 before
	started time.Time // zero before the request starts
	done    chan struct{}
	pos     logpos.Position // valid once done is closed
	err     error           // valid once done is closed
}
