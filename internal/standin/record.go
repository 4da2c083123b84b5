package standin

import "github.com/arbutusring/arbutusring/pkg/logpos"

// record is one entry of the log: the changes of one transaction, or none for
// the first record of a term.
type record struct {
	Term uint64   `codec:"t"`
	LSN  uint64   `codec:"l"`
	Time int64    `codec:"c"` // commit time at the primary, Unix time in nanoseconds
	Ops  []change `codec:"o"`
}

func (r record) position() logpos.Position { return logpos.Position{Term: r.Term, LSN: r.LSN} }
