package staleness

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Sample states that Pos covers every write acknowledged before At.
type Sample struct {
	Seq uint64    // of the request, chosen by the user of the list
	At  time.Time // start of the request
	Pos logpos.Position
}
