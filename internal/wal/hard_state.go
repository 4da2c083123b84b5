package wal

// HardState is the state of a voter that must be durable before it sends a
// message that depends on it.
type HardState struct {
	Term          uint64 // newest term seen
	Vote          string // candidate that this host voted for in Term; empty for none
	BootstrapVote string // bootstrap coordinator that this host has accepted; empty for none
}
