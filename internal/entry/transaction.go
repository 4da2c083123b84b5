package entry

// transaction is an open transaction. It is bound to one server at one owner.
type transaction struct {
	target   *target
	term     uint64 // in force when it began; 0 at a replica
	readOnly bool
	aborted  bool // a statement failed at the server
	failed   bool // lost or refused; the caller has not ended it yet
}
