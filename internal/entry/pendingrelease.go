package entry

// pendingRelease is an abandoned transaction whose rollback at the owner is in
// progress.
type pendingRelease struct {
	target *target
	done   chan struct{} // closed when Owner.Release succeeded or was given up
}
