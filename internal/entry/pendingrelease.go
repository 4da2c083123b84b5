package entry

// pendingRelease is a transaction that is being rolled back at its owner.
type pendingRelease struct {
	target *target
	done   chan struct{} // closed when the release has arrived or was given up
}
