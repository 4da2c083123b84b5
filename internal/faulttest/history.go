package faulttest

import (
	"sync"
	"time"
)

// Outcome is what a session was told about an operation.
type Outcome string

// The outcomes.
const (
	Acked   Outcome = "acked"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Op is one finished operation.
type Op struct {
	Session  int
	Kind     OpKind
	Tags     map[string]string // key to appended tag; for reads empty
	Key      string            // of a read
	Value    string            // read or returned value
	Fresh    bool              // a read of a session that brought no token
	Opened   time.Duration     // when the session connected, for fresh reads
	Start    time.Duration     // since the start of the run, one clock for all sessions
	End      time.Duration
	Outcome  Outcome
	Begun    bool   // a transaction that got past BEGIN
	Resolved bool   // has a request id and was resent until it was acknowledged
	Detail   string // of the error
}

// OpKind names a kind of operation.
type OpKind string

// The kinds of operations.
const (
	OpAppend      OpKind = "append"      // one statement that returns the new value
	OpTransaction OpKind = "transaction" // appends to two keys
	OpIdempotent  OpKind = "idempotent"  // one statement with a request id
	OpRead        OpKind = "read"
)

// History collects operations. It is safe for concurrent use.
type History struct {
	mu  sync.Mutex
	ops []Op
}

// Add records an operation.
func (h *History) Add(op Op) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// Ops returns all operations in the order of their ends.
func (h *History) Ops() []Op {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ops
}
