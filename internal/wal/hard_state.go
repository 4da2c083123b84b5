package wal

// HardState is the state of a voter that must be durable before it sends a
// message that depends on it.
type HardState struct {
	Term   uint64 // newest term seen
	Vote   string // candidate that got the vote of Term; empty for none
	Pledge string // bootstrap coordinator that this host has answered; empty for none
}
