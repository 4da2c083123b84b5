package owner

// revocation records the leases and primary roles of a server that control
// ended before their expiry. It outlives the lease, because a heartbeat reply
// that was sent before the revocation may still list it.
type revocation struct {
	epoch uint64 // leases up to this epoch have ended
	term  uint64 // the primary role up to this term has ended
}
