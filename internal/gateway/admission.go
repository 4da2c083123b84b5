package gateway

// Admission is the permission to run one operation: a statement outside of a
// transaction, or a whole transaction. The zero value permits it without a condition.
type Admission struct {
	// Valid reports whether the operation may still be sent; nil if it always may. It
	// is called immediately before the first send. An admission that is no longer
	// valid is refunded, and the operation needs another one.
	Valid func() bool
	// Return gives the operation back, because nothing was sent to a server. It is
	// called at most once; nil if there is nothing to give back.
	Return func()
}

// Refund gives the operation back.
func (a Admission) Refund() {
	if a.Return != nil {
		a.Return()
	}
}

// usable reports whether the operation may be sent.
func (a Admission) usable() bool { return a.Valid == nil || a.Valid() }
