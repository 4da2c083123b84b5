package staleness

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Sample records that the log up to Pos includes every write acknowledged before
// At.
type Sample struct {
	Seq uint64    // identifies the request; chosen by the caller of Samples.Add
	At  time.Time // start of the request that returned Pos
	Pos logpos.Position
}
