package allowance

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

// hostStock is what a Ledger knows about the stocks of one incarnation of a host.
type hostStock struct {
	sequence uint64                       // of the last call
	reply    *directoryrpc.AllowanceReply // to it
	expires  time.Time                    // when the tokens can no longer be valid
	stocks   map[string]*customerStock    // by customer; only those with tokens
}

// customerStock is the stock of one customer at a host.
type customerStock struct {
	held int
	used uint64 // as last reported
}
