package directoryrpc

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

const (
	// syncSlack is added to the wait of a long poll, for the round trip.
	syncSlack = 300 * time.Millisecond
	// attempt bounds a call at one address, so that a silent control host
	// leaves time for the others.
	attempt = 500 * time.Millisecond
	// renewAttempt is shorter, because the silent host is asked again in each
	// round during an election. It is three round trips between regions.
	renewAttempt = 250 * time.Millisecond
	// putAttempt is longer, because the log is written to disk.
	putAttempt = 1500 * time.Millisecond
)

// Client calls the leader of the control hosts; see controlrpc.Client, which
// finds it.
type Client struct {
	leader *controlrpc.Client
}

// NewClient returns a client that knows the given rpc addresses.
func NewClient(addresses []string, call func(ctx context.Context, address, method string, args, reply any) error) *Client {
	return &Client{leader: &controlrpc.Client{Addresses: addresses, Call: call}}
}

// SetAddresses replaces the addresses of the control hosts.
func (c *Client) SetAddresses(addresses []string) { c.leader.SetAddresses(addresses) }

// Sync renews the lease of a host and waits for a newer state. When the leader that
// was known does not answer, the wait is left out: the lease runs out meanwhile.
func (c *Client) Sync(ctx context.Context, args *SyncArgs) (*SyncReply, error) {
	limit := args.Wait + syncSlack
	first, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := do[SyncReply](first, c, "Directory.Sync", args, limit)
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	again := *args
	again.Wait = 0
	return do[SyncReply](ctx, c, "Directory.Sync", &again, renewAttempt)
}

// Announce passes on what a backend server says about itself.
func (c *Client) Announce(ctx context.Context, args *AnnounceArgs) (*AnnounceReply, error) {
	return do[AnnounceReply](ctx, c, "Directory.Announce", args, attempt)
}

// Register tells where a control host is.
func (c *Client) Register(ctx context.Context, args *RegisterArgs) (*RegisterReply, error) {
	return do[RegisterReply](ctx, c, "Directory.Register", args, attempt)
}

// Put asks for a configuration. It is safe to repeat.
func (c *Client) Put(ctx context.Context, args *PutArgs) (*PutReply, error) {
	return do[PutReply](ctx, c, "Directory.Put", args, putAttempt)
}

// Get asks for the configuration in force.
func (c *Client) Get(ctx context.Context, args *GetArgs) (*GetReply, error) {
	return do[GetReply](ctx, c, "Directory.Get", args, attempt)
}

func do[R any, P interface {
	*R
	controlrpc.Answered
}](ctx context.Context, c *Client, method string, args any, limit time.Duration) (*R, error) {
	var reply *R
	err := c.leader.Do(ctx, method, args, limit, func() controlrpc.Answered {
		reply = new(R)
		return P(reply)
	})
	return reply, err
}
