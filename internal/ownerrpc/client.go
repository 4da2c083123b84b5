package ownerrpc

import "context"

// Client calls the owner service of any host. Call is the transport, usually
// peer.Pool.Call; it must be set. The methods are safe for concurrent use if
// Call is.
type Client struct {
	Call func(ctx context.Context, address, method string, args, reply any) error
}

// Exec executes one cycle. An error means that no answer was received; its kind
// indicates whether the request was sent.
func (c Client) Exec(ctx context.Context, address string, args *ExecArgs) (*ExecReply, error) {
	reply := new(ExecReply)
	return reply, c.Call(ctx, address, "Owner.Exec", args, reply)
}

// Cancel cancels a cycle that has not started.
func (c Client) Cancel(ctx context.Context, address string, args *CancelArgs) (*CancelReply, error) {
	reply := new(CancelReply)
	return reply, c.Call(ctx, address, "Owner.Cancel", args, reply)
}

// Outcome asks for the stored answer of a cycle.
func (c Client) Outcome(ctx context.Context, address string, args *OutcomeArgs) (*OutcomeReply, error) {
	reply := new(OutcomeReply)
	return reply, c.Call(ctx, address, "Owner.Outcome", args, reply)
}

// Release ends a session at the owner, which rolls back its open transaction.
func (c Client) Release(ctx context.Context, address string, args *ReleaseArgs) error {
	return c.Call(ctx, address, "Owner.Release", args, new(ReleaseReply))
}

// Position asks the owner of a primary for the confirmed position.
func (c Client) Position(ctx context.Context, address string, args *PositionArgs) (*PositionReply, error) {
	reply := new(PositionReply)
	return reply, c.Call(ctx, address, "Owner.Position", args, reply)
}

// Status asks for the status of every server that the host owns.
func (c Client) Status(ctx context.Context, address string, args *StatusArgs) (*StatusReply, error) {
	reply := new(StatusReply)
	return reply, c.Call(ctx, address, "Owner.Status", args, reply)
}

// Revoke ends a lease or a primary role before its expiry.
func (c Client) Revoke(ctx context.Context, address string, args *RevokeArgs) (*RevokeReply, error) {
	reply := new(RevokeReply)
	return reply, c.Call(ctx, address, "Owner.Revoke", args, reply)
}
