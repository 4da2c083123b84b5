package owner

import "time"

// sessionKey identifies a session of an entry incarnation.
type sessionKey struct {
	entry   string
	session uint64
}

// transaction is an open transaction and the connection that it is bound to.
// server.mu guards it; the connection belongs to the cycle that set busy.
type transaction struct {
	key     sessionKey
	conn    *pooledConn // nil until the first cycle was sent
	rank    string
	primary bool // begun at a primary: ends with the primary role of term
	term    uint64
	busy    bool      // a cycle runs or waits
	used    time.Time // end of the last cycle
	doomed  string    // reason to roll back once the cycle has ended; empty if none
}
