package entry

// transaction is an open transaction. It is bound to one server at one owner.
type transaction struct {
	target    *target
	term      uint64 // of the group when it began; 0 at a replica
	readOnly  bool
	aborted   bool // a statement failed at the server (status 'E')
	abandoned bool // lost, or a statement was refused; the caller has not ended it yet
}
