package peer

// pingMethod is the RPC method of the heartbeat, which every server answers.
const pingMethod = "Peer.Ping"

// PingArgs is the request of a heartbeat.
type PingArgs struct{}

// PingReply is the answer to a heartbeat.
type PingReply struct{}

// heartbeatService answers heartbeats. net/rpc runs each call in its own
// goroutine, so a slow call does not delay a heartbeat.
type heartbeatService struct{}

// Ping answers a heartbeat.
func (heartbeatService) Ping(*PingArgs, *PingReply) error { return nil }
