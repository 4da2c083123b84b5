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
type Reason string

// The reasons.
const (
	TooManyConnections Reason = "connections"
	TooManyPerAddress  Reason = "address"
	Unused             Reason = "unused"  // made room for a new connection
	Memory             Reason = "memory"  // the budget is used up
	Evicted            Reason = "evicted" // held much without use while the budget was used up
	StartupTimeout     Reason = "startup_timeout"
	MessageTimeout     Reason = "message_timeout"
	WriteTimeout       Reason = "write_timeout"
	TooLarge           Reason = "too_large"
)

var reasons = []Reason{TooManyConnections, TooManyPerAddress, Unused, Memory, Evicted, StartupTimeout, MessageTimeout, WriteTimeout, TooLarge}
