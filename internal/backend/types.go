// Package backend is the client side of the backend server contract.
package backend

import "github.com/arbutusring/arbutusring/pkg/logpos"

// Answer is the complete answer of a backend server to one cycle.
type Answer struct {
	Messages []byte // raw backend messages up to and including ReadyForQuery
	TxStatus byte   // status of ReadyForQuery: 'I', 'T' or 'E'
	SQLState string // of the first ErrorResponse; empty if there is none
}

// Status is what a backend server reports about itself.
type Status struct {
	ServerID string
	Term     uint64 // highest term that the server was fenced at
	Primary  bool
	Received logpos.Position
	Applied  logpos.Position
}

// Replica is the progress of one replica as it reported it to the primary on
// the primary's current term.
type Replica struct {
	ServerID string
	Received logpos.Position
	Applied  logpos.Position
}
