package peer

// pingMethod is the heartbeat that every server answers.
const pingMethod = "Peer.Ping"

// PingArgs is a heartbeat.
type PingArgs struct{}

// PingReply answers a heartbeat.
type PingReply struct{}

// heartbeatService answers heartbeats. net/rpc runs each call in a goroutine
// of its own, so a slow call does not hold back a heartbeat.
type heartbeatService struct{}

// Ping answers a heartbeat.
func (heartbeatService) Ping(*PingArgs, *PingReply) error { return nil }
