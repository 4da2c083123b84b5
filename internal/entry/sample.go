package entry

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// sample states that pos covers every write acknowledged before at.
type sample struct {
	seq uint64
	at  time.Time // start of the request, on the monotonic clock
	pos logpos.Position
}
