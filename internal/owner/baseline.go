package owner

import "github.com/arbutusring/arbutusring/pkg/logpos"

// baseline is a position of the primary that was read under a lease. Every
// write that was acknowledged before that lease lies at or before it.
type baseline struct {
	epoch    uint64
	term     uint64
	position logpos.Position
	known    bool
}
