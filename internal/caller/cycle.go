package caller

// Kind classifies a cycle by the message that ends it.
type Kind uint8

// The kinds of cycles.
const (
	KindQuery        Kind = iota + 1 // one Query message
	KindExtended                     // extended-protocol messages up to Sync
	KindFlush                        // extended-protocol messages up to Flush, which is not included
	KindFunctionCall                 // one FunctionCall message
	kindTerminate                    // handled by this package
)

// Cycle is a unit of work of one session.
type Cycle struct {
	Kind     Kind
	Messages []byte // raw frontend messages; owned by the receiver
}

// Answer is the response to a cycle.
type Answer struct {
	Messages []byte // raw backend messages, with ReadyForQuery except after KindFlush
	TxStatus byte   // 'I', 'T' or 'E' after the cycle
	Failed   bool   // KindFlush only: the cycle failed, so messages up to the next Sync are skipped
	Close    bool   // disconnect after the answer
}
