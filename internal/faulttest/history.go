package faulttest

import (
	"sync"
	"time"
)

// Outcome is the outcome of an operation as its session learned it.
type Outcome string

// The outcomes.
const (
	Acked   Outcome = "acked"   // executed and acknowledged
	NotRun  Outcome = "not_run" // refused without an effect
	Unknown Outcome = "unknown" // may have been executed
)

// Op is one finished operation.
type Op struct {
	Session  int
	Kind     OpKind
	Tags     map[string]string // appended tag by key; empty for reads
	Key      string            // key that was read
	Value    string            // value that was read or returned
	Fresh    bool              // read of a session that connected without a token
	Opened   time.Duration     // when the session began to connect; set for reads
	Start    time.Duration     // since the start of the run, by one clock for all sessions
	End      time.Duration
	Outcome  Outcome
	Begun    bool   // transaction of a Load whose BEGIN succeeded
	Resolved bool   // operation of Run with a request id that was acknowledged, if need be after resending
	Detail   string // error text; empty if acknowledged
}

// OpKind is a kind of operation.
type OpKind string

// The kinds of operations.
const (
	OpAppend      OpKind = "append"      // one statement; it returns the new value, but not in a Load
	OpTransaction OpKind = "transaction" // appends to two keys, in a Load to one
	OpIdempotent  OpKind = "idempotent"  // one statement with a request id
	OpRead        OpKind = "read"
)

// History collects operations. It is safe for concurrent use.
type History struct {
	mu  sync.Mutex
	ops []Op
}

// Add adds a finished operation.
func (h *History) Add(op Op) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// Ops returns all operations in the order in which they were added, which is
// nearly the order of their ends.
func (h *History) Ops() []Op {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ops
}
