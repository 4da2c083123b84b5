package owner

// revocation is what control ended before its time. Replies that are still
// under way may list it again, so it outlives the lease.
type revocation struct {
	epoch uint64 // leases up to this epoch are over
	term  uint64 // the primary role up to this term is over
}
