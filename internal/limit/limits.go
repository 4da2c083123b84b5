package limit

import "time"

// Limits are the limits of one listener. Zero means no limit.
type Limits struct {
	MaxConnections int           // open connections
	MaxPerAddress  int           // open connections from one address
	StartupTimeout time.Duration // from the connection to the start of the session
	MessageTimeout time.Duration // from the first byte of a message to its end
	WriteTimeout   time.Duration // without progress of an answer
}

// Reason is the reason why a connection is refused or closed.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	TooManyConnections
	TooManyPerAddress
	Unused  // made room for a new connection
	Memory  // the budget is used up
	Evicted // held much without use while the budget was used up
	StartupTimeout
	MessageTimeout
	WriteTimeout
	TooLarge
)

var reasonNames = [...]string{"", "connections", "address", "unused", "memory", "evicted", "startup_timeout", "message_timeout", "write_timeout", "too_large"}

// String returns the name that metrics and logs use.
func (r Reason) String() string { return reasonNames[r] }
