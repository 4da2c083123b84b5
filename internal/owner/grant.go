package owner

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// grant is a lease with the time until which a reply granted it. The zero
// grant is over.
type grant struct {
	controlrpc.HeldLease
	until time.Time
}

func (g grant) inTime() bool { return time.Now().Before(g.until) }

func (g grant) isPrimary(term uint64) bool { return g.Primary && g.Term == term && g.inTime() }
