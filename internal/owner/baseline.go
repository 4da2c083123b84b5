package owner

import "github.com/arbutusring/arbutusring/pkg/logpos"

// baseline is a position of the primary that was read under a lease. It is at
// or after every write that was acknowledged before that lease.
type baseline struct {
	epoch    uint64
	term     uint64
	position logpos.Position
	known    bool
}
