// Package statement defines the requests of callers and the answers of backend
// servers, independent of any wire protocol. A protocol's codec decodes a
// message into a Request and encodes an Answer.
//
// # Usage
//
//	r := statement.Request{Kind: statement.Read, ID: "5c0e", Text: "FETCH 1a4"}
//	a := session.Execute(ctx, r)
//	if a.Failure != nil { ... }
package statement

import (
	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Kind is the kind of a statement.
type Kind uint8

// The kinds of statements. Callers do not send those of the last group: the
// proxy sends them itself.
const (
	Unknown Kind = iota
	Begin
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate

	Reset  // clears the session values and prepared statements of a connection
	Status // asks a backend server for its role and positions
	Demote // informs a primary that another server is the primary in Term
)

var kindNames = [...]string{
	"unknown", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate",
	"reset", "status", "demote",
}

// String returns the name that logs use.
func (k Kind) String() string { return kindNames[k] }

// Request is one statement.
type Request struct {
	Kind Kind
	ID   string // of the caller, forwarded unchanged; empty for statements of the proxy itself
	Text string // of Begin, Commit, Read and Write: forwarded unchanged

	ReadOnly bool   // Begin: the transaction only reads. Prepare: the statement reads
	Name     string // Set: name of the value. Prepare, Execute, Deallocate: name of the statement
	Value    string // Set: the value. Prepare: the text of the statement. Execute: the arguments
	Term     uint64 // Demote

	// After is the position that the server must have applied before it runs
	// the statement; zero for none. It applies to Read, to Begin and to Execute
	// of a read.
	After logpos.Position

	Origin Origin // zero for statements of the proxy itself

	// Meter counts the answer while it is read; nil for no limit.
	Meter *limit.Meter
}

// Origin is where a request stands in the bytes that were received from its caller.
type Origin struct {
	Caller     string // address
	Begin, End int64  // offsets in the stream of the connection, with the line ending
}

// Source is where an answer comes from.
type Source struct {
	Connection string // local address of the connection to the backend server
	Number     uint64 // of the answer on this connection, from 1
	Skipped    int    // copies of earlier answers that were skipped before it
	Basis      Basis
}

// Basis is why an answer counts as the answer to its statement.
type Basis string

// The bases.
const (
	ByReceipt Basis = "receipt" // no earlier answer on the connection had its receipt
	ByState   Basis = "state"   // no receipt is due; the state and the number of rows fit
	ByError   Basis = "error"   // no earlier answer on the connection reported this error
)

// State is the transaction state of a session after a statement.
type State byte

// The states.
const (
	Idle   State = 'I'
	Open   State = 'T' // in a transaction
	Failed State = 'E' // in a failed transaction, which can only be ended
)

// Failure describes why a statement has no result.
type Failure struct {
	Kind   errkind.Kind // chosen by the proxy, or the closest to the server's code
	Code   string       // error code of the backend server, forwarded unchanged; empty if the proxy refused
	Detail string
}

// Answer is the result of one statement.
type Answer struct {
	Rows     []string // forwarded unchanged
	Receipt  string   // forwarded unchanged; empty if the proxy answered itself
	Failure  *Failure // nil on success
	State    State
	Position logpos.Position // of the server's log when it answered; zero if unknown
	Source   Source          // zero if the proxy answered itself, or another host sent the statement
}

// Fail returns the answer to a statement that the proxy refuses with err.
func Fail(state State, err error) Answer {
	return Answer{State: state, Failure: &Failure{Kind: errkind.Of(err), Detail: err.Error()}}
}

// Role is the role that a backend server reports for itself.
type Role string

// The roles.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// ServerStatus is the answer to Status.
type ServerStatus struct {
	Role     Role
	Term     uint64
	Received logpos.Position // end of its received log, from which it would continue as the primary
}
