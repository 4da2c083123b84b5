package owner

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// grant is a lease with its expiry: the send time of the heartbeat that was
// answered with the lease, plus the TTL in the reply. The zero grant has expired.
type grant struct {
	controlrpc.HeldLease
	validUntil time.Time
}

func (g grant) valid() bool { return time.Now().Before(g.validUntil) }

func (g grant) validAsPrimary(term uint64) bool { return g.Primary && g.Term == term && g.valid() }
