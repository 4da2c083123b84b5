package directoryrpc

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// syncRoundTrip is added to the wait of a long poll for the round trip.
	syncRoundTrip = 300 * time.Millisecond
	// maxWholeStateShift limits how often the time for the round trip is doubled for a
	// host without a state, to 1.2 s.
	maxWholeStateShift = 2
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
	leader           *controlrpc.Client
	failedFirstSyncs atomic.Int32 // consecutive ones
}

// NewClient returns a client for the control hosts with the given rpc addresses.
func NewClient(addresses []string, call func(ctx context.Context, address, method string, args, reply any) error) *Client {
	return &Client{leader: &controlrpc.Client{Addresses: addresses, Call: call}}
}

// UseLeader makes the client ask the host that leader returns first, if any. It must be
// called before the first call.
func (c *Client) UseLeader(leader func() string) { c.leader.Leader = leader }

// SetAddresses replaces the addresses of the control hosts.
func (c *Client) SetAddresses(addresses []string) { c.leader.SetAddresses(addresses) }

// Sync renews the lease of a host and waits for a newer state. If the known leader
// does not answer, Sync tries again without the wait, because the lease would
// expire in the meantime. A host without a state waits longer for the transfer of the
// whole state with each call that fails.
func (c *Client) Sync(ctx context.Context, args *SyncArgs) (*SyncReply, error) {
	timeout := args.Wait + syncRoundTrip
	if args.Version == 0 && !args.Leaving {
		return c.firstSync(ctx, args)
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

// firstSync is Sync for a host without a state. Its timeout starts short, because a
// control host that has not started or is frozen does not answer, and doubles
// with each failure, because many hosts may need the whole state at the same time.
func (c *Client) firstSync(ctx context.Context, args *SyncArgs) (*SyncReply, error) {
	shift := min(c.failedFirstSyncs.Load(), maxWholeStateShift)
	reply, err := do[SyncReply](ctx, c, "Directory.Sync", args, args.Wait+syncRoundTrip<<shift)
	if err == nil {
		c.failedFirstSyncs.Store(0)
	} else {
		c.failedFirstSyncs.Add(1)
	}
	return reply, err
}

// Announce sends the announcement of a backend server.
func (c *Client) Announce(ctx context.Context, args *AnnounceArgs) (*AnnounceReply, error) {
	return do[AnnounceReply](ctx, c, "Directory.Announce", args, attemptTimeout)
}

// Allowance reports the use of allowances and asks for tokens. Attempts that are not
// answered are sent again with the same sequence number.
func (c *Client) Allowance(ctx context.Context, args *AllowanceArgs) (*AllowanceReply, error) {
	return do[AllowanceReply](ctx, c, "Directory.Allowance", args, renewAttemptTimeout)
}

// Register sends the data centre of a control host.
func (c *Client) Register(ctx context.Context, args *RegisterArgs) (*RegisterReply, error) {
	return do[RegisterReply](ctx, c, "Directory.Register", args, attemptTimeout)
}

// Put submits a configuration. It is safe to repeat. An answer that does not name this or
// a higher version acknowledges nothing.
func (c *Client) Put(ctx context.Context, args *PutArgs) (*PutReply, error) {
	reply, err := do[PutReply](ctx, c, "Directory.Put", args, putAttemptTimeout)
	if err == nil && reply.Kind == errkind.OK && reply.Version < args.Version {
		return reply, errkind.New(errkind.OutcomeUnknown, "the answer to configuration %d names version %d", args.Version, reply.Version)
	}
	return reply, err
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
