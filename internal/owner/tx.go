package owner

import "time"

// sessionKey identifies a caller session of an entry incarnation.
type sessionKey struct {
	entry   string
	session uint64
}

// transaction is an open transaction with the connection that it runs on.
// server.mu guards its fields. Only the cycle that set busy may use the
// connection.
type transaction struct {
	key            sessionKey
	conn           *pooledConn // nil until the first cycle has been sent
	rank           string
	primary        bool // may write: ends with the primary role of term
	term           uint64
	busy           bool      // a cycle runs or waits
	lastUsed       time.Time // end of the last cycle
	rollbackReason string    // why to roll back when the running cycle ends; empty if it may stay open
}
