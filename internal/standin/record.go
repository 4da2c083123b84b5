package standin

import "github.com/arbutusring/arbutusring/pkg/logpos"

// record is one log record: the changes of one transaction, or no changes in the
// first record of a term.
type record struct {
	Term    uint64      `codec:"t"`
	LSN     uint64      `codec:"l"`
	Time    int64       `codec:"c"` // commit time on the primary, in Unix nanoseconds
	Changes []rowChange `codec:"o"`
}

func (r record) position() logpos.Position { return logpos.Position{Term: r.Term, LSN: r.LSN} }
