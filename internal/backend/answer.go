package backend

// Answer is the answer of a server to one cycle.
type Answer struct {
	Messages []byte // raw backend messages up to and including ReadyForQuery; owned by the receiver
	TxStatus byte   // transaction status of ReadyForQuery: 'I', 'T' or 'E'
	SQLState string // code of the first ErrorResponse, or empty

	// Completed reports whether a statement was completed before the first
	// ErrorResponse. If it is false and SQLState is set, the cycle itself has
	// committed nothing. If it is true, even a failed cycle may have committed
	// a part, for example in "INSERT ...; COMMIT; INSERT ...".
	Completed bool
}
