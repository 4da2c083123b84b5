package entry

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// flight is one Owner.Position request that several sessions may wait for.
type flight struct {
	seq     uint64    // from Entry.nextSeq when the request starts; 0 before
	started time.Time // when the request starts
	done    chan struct{}
	pos     logpos.Position // valid after done
	err     error           // valid after done
}
