package directoryrpc

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

const (
	// syncRoundTrip is added to the wait of a long poll for the round trip.
	syncRoundTrip = 300 * time.Millisecond
	// wholeStateTimeout is added for a host without a state: the whole state takes up
	// to 0.2 s until control sends it, and the rest to arrive on a busy link.
	wholeStateTimeout = 900 * time.Millisecond
	// attemptTimeout bounds a call to one address, so that a control host that
	// does not answer leaves time for the others.
	attemptTimeout = 500 * time.Millisecond
	// renewAttemptTimeout is shorter, because during an election a host that does
	// not answer is tried again in each round. It is three round trips between
	// regions.
	renewAttemptTimeout = 250 * time.Millisecond
	// putAttemptTimeout is longer, because the log is written to disk.
	putAttemptTimeout = 1500 * time.Millisecond
)

// Client calls the leader of the control hosts. controlrpc.Client finds the
// leader.
type Client struct {
	leader *controlrpc.Client
}

// NewClient returns a client for the control hosts with the given rpc addresses.
func NewClient(addresses []string, call func(ctx context.Context, address, method string, args, reply any) error) *Client {
	return &Client{leader: &controlrpc.Client{Addresses: addresses, Call: call}}
}

// SetAddresses replaces the addresses of the control hosts.
func (c *Client) SetAddresses(addresses []string) { c.leader.SetAddresses(addresses) }

// Sync renews the lease of a host and waits for a newer state. If the known leader
// does not answer, Sync tries again without the wait, because the lease would
// expire in the meantime. A host without a state has no lease; it waits longer for
// the transfer of the whole state.
func (c *Client) Sync(ctx context.Context, args *SyncArgs) (*SyncReply, error) {
	timeout := args.Wait + syncRoundTrip
	if args.Version == 0 && !args.Leaving {
		return do[SyncReply](ctx, c, "Directory.Sync", args, timeout+wholeStateTimeout)
	}
	firstCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := do[SyncReply](firstCtx, c, "Directory.Sync", args, timeout)
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	retry := *args
	retry.Wait = 0
	return do[SyncReply](ctx, c, "Directory.Sync", &retry, renewAttemptTimeout)
}

// Announce sends the announcement of a backend server.
func (c *Client) Announce(ctx context.Context, args *AnnounceArgs) (*AnnounceReply, error) {
	return do[AnnounceReply](ctx, c, "Directory.Announce", args, attemptTimeout)
}

// Register sends the data centre of a control host.
func (c *Client) Register(ctx context.Context, args *RegisterArgs) (*RegisterReply, error) {
	return do[RegisterReply](ctx, c, "Directory.Register", args, attemptTimeout)
}

// Put submits a configuration. It is safe to repeat.
func (c *Client) Put(ctx context.Context, args *PutArgs) (*PutReply, error) {
	return do[PutReply](ctx, c, "Directory.Put", args, putAttemptTimeout)
}

// Get returns the configuration in force.
func (c *Client) Get(ctx context.Context, args *GetArgs) (*GetReply, error) {
	return do[GetReply](ctx, c, "Directory.Get", args, attemptTimeout)
}

func do[R any, P interface {
	*R
	controlrpc.Reply
}](ctx context.Context, c *Client, method string, args any, timeout time.Duration) (*R, error) {
	var reply *R
	err := c.leader.Do(ctx, method, args, timeout, func() controlrpc.Reply {
		reply = new(R)
		return P(reply)
	})
	return reply, err
}
