package entry

import "time"

// freshnessRequirement states how recent a position request must be to satisfy
// a read.
type freshnessRequirement struct {
	afterSeq     uint64    // the request has a greater seq
	startedSince time.Time // the request started at this time or later
}

// satisfiedBy reports whether a position request with the given sequence number
// and start time is recent enough.
func (r freshnessRequirement) satisfiedBy(seq uint64, started time.Time) bool {
	return seq > r.afterSeq && !started.Before(r.startedSince)
}
