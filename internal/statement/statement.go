// Package statement holds what callers ask for and what backend servers
// answer, without any wire protocol. A protocol's codec fills a Request from a
// message and renders an Answer.
//
// # Usage
//
//	r := statement.Request{Kind: statement.Read, ID: "5c0e", Text: "FETCH 1a4"}
//	a := session.Execute(ctx, r)
//	if a.Failure != nil { ... }
package statement

import (
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Kind is what a statement does.
type Kind uint8

// The kinds of statements. The last group is sent by this system only.
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
	Demote // tells a primary that Term is led by another server
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
	ID   string // of the caller, passed on unchanged; empty for statements of this system
	Text string // of Begin, Commit, Read and Write: passed on unchanged

	ReadOnly bool   // Begin: the transaction only reads. Prepare: the statement reads
	Name     string // Set: name of the value. Prepare, Execute, Deallocate: name of the statement
	Value    string // Set: the value. Prepare: the shape. Execute: the arguments
	Term     uint64 // Demote

	// After is the position that the server must have applied before it runs
	// the statement; zero for none. Read, Begin and Execute of a read only.
	After logpos.Position
}

// State is the state of a session after a statement.
type State byte

// The states.
const (
	Idle   State = 'I'
	Open   State = 'T' // in a transaction
	Failed State = 'E' // in a transaction that can only be ended
)

// Failure says why a statement has no result.
type Failure struct {
	Kind   errkind.Kind // of this system, or the nearest to the server's code
	Code   string       // error code of the backend server, passed on unchanged; empty if this system refused
	Detail string
}

// Answer is the result of one statement.
type Answer struct {
	Rows     []string // passed on unchanged
	Receipt  string   // passed on unchanged; empty if this system answered itself
	Failure  *Failure // nil on success
	State    State
	Position logpos.Position // of the server's log when it answered; zero if unknown
}

// Fail returns the answer for a refusal of this system.
func Fail(state State, err error) Answer {
	return Answer{State: state, Failure: &Failure{Kind: errkind.Of(err), Detail: err.Error()}}
}

// Role is what a backend server takes itself for.
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
	Received logpos.Position // what it would lead with
}
