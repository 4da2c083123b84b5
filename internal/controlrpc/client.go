package controlrpc

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Timeouts of one attempt at one address. They are shorter than the callers'
// own limits, so that a silent control host costs one attempt and not the
// whole call. The ttl of a host session is 1.2 s, so a heartbeat must reach
// another address well within it.
const (
	heartbeatAttempt = 400 * time.Millisecond
	announceAttempt  = time.Second
	changeAttempt    = 3 * time.Second
	watchSlack       = time.Second
)

// Limits of the full-jitter delay after every known address has been tried.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
)

// Client calls the leader of the control service. It follows leader hints,
// tries the other addresses on transport errors and on errkind.NotLeader, and
// remembers the last leader. It resends until the context ends; that is safe
// for every method, because changes carry change ids.
//
// Every method returns the reply of the leader, whose Kind may be an error,
// or a Go error when no leader answered before the context ended. The Go
// error is errkind.OutcomeUnknown if an attempt may have been carried out,
// and errkind.NotLeader if none was.
//
// Addresses and Call are set before the first call; later only SetAddresses
// changes the addresses. Methods are safe for concurrent use if Call is.
type Client struct {
	Addresses []string // rpc addresses of the control hosts, at least one; guarded by mu after the first call
	Call      func(ctx context.Context, address, method string, args, reply any) error

	mu     sync.Mutex
	leader string               // address that answered last, or the last hint; guarded by mu
	silent map[string]time.Time // when an address last failed; guarded by mu
}

// silentFor is how long an address that failed is tried after the others. A
// frozen host costs the whole time of an attempt.
const silentFor = 3 * time.Second

// Answered is implemented by every reply through its embedded Answer.
type Answered interface {
	answer() *Answer
}

func (a *Answer) answer() *Answer { return a }

// Heartbeat renews the session of a host. The ttl counts from before the call
// that was answered; because Client resends, the caller must count from before
// it called Heartbeat.
func (c *Client) Heartbeat(ctx context.Context, args *HeartbeatArgs) (*HeartbeatReply, error) {
	var reply *HeartbeatReply
	err := c.Do(ctx, "Control.Heartbeat", args, heartbeatAttempt, func() Answered {
		reply = new(HeartbeatReply)
		return reply
	})
	return reply, err
}

// Watch waits for a state newer than args.Since, for at most args.Wait.
func (c *Client) Watch(ctx context.Context, args *WatchArgs) (*WatchReply, error) {
	var reply *WatchReply
	err := c.Do(ctx, "Control.Watch", args, args.Wait+watchSlack, func() Answered {
		reply = new(WatchReply)
		return reply
	})
	return reply, err
}

// Announce passes on the announcement of a backend server.
func (c *Client) Announce(ctx context.Context, args *AnnounceArgs) (*AnnounceReply, error) {
	var reply *AnnounceReply
	err := c.Do(ctx, "Control.Announce", args, announceAttempt, func() Answered {
		reply = new(AnnounceReply)
		return reply
	})
	return reply, err
}

// Apply asks for a new configuration. Every resend carries the same change
// id, so the reply is the first answer to the change.
func (c *Client) Apply(ctx context.Context, args *ApplyArgs) (*ApplyReply, error) {
	var reply *ApplyReply
	err := c.Do(ctx, "Control.Apply", args, changeAttempt, func() Answered {
		reply = new(ApplyReply)
		return reply
	})
	return reply, err
}

// Get asks for the state as of now.
func (c *Client) Get(ctx context.Context, args *GetArgs) (*GetReply, error) {
	var reply *GetReply
	err := c.Do(ctx, "Control.Get", args, changeAttempt, func() Answered {
		reply = new(GetReply)
		return reply
	})
	return reply, err
}

// Drain takes a host or a backend server out of service, or back in.
func (c *Client) Drain(ctx context.Context, args *DrainArgs) (*DrainReply, error) {
	var reply *DrainReply
	err := c.Do(ctx, "Control.Drain", args, changeAttempt, func() Answered {
		reply = new(DrainReply)
		return reply
	})
	return reply, err
}

// Failover asks for a new primary of a group.
func (c *Client) Failover(ctx context.Context, args *FailoverArgs) (*FailoverReply, error) {
	var reply *FailoverReply
	err := c.Do(ctx, "Control.Failover", args, changeAttempt, func() Answered {
		reply = new(FailoverReply)
		return reply
	})
	return reply, err
}

// SetAddresses replaces the addresses of the control hosts, which change when
// a control host is replaced by one at another address.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Addresses = slices.Clone(addresses)
}

// Do calls method at one address after the other until a leader answers or
// ctx ends. Each attempt decodes into a fresh reply, because fields of an
// earlier answer would otherwise show through.
func (c *Client) Do(ctx context.Context, method string, args any, limit time.Duration, fresh func() Answered) error {
	if len(c.order()) == 0 {
		return errkind.New(errkind.BadRequest, "%s: no control address is configured", method)
	}
	sent := false // an attempt may have been carried out
	var last error
	for round := 0; ; round++ {
		for _, address := range c.order() {
			reply := fresh()
			err := c.attempt(ctx, address, method, args, reply, limit)
			if err == nil && !retryAnswer(reply.answer()) {
				c.remember(address)
				return nil
			}
			if err == nil {
				last = errkind.New(reply.answer().Kind, "%s: %s", address, reply.answer().Detail)
				sent = sent || reply.answer().Kind != errkind.NotLeader
				c.follow(address, reply.answer().Leader)
				if reply.answer().Leader != "" && reply.answer().Leader != address && round == 0 {
					break // go to the hinted leader first
				}
			} else {
				last = err
				sent = sent || errkind.Of(err) != errkind.ConnectFailed
				c.forget(address)
			}
			if ctx.Err() != nil {
				break
			}
		}
		if !pause(ctx, round) {
			kind := errkind.NotLeader
			if sent {
				kind = errkind.OutcomeUnknown
			}
			return errkind.Wrap(kind, last, "%s: no control leader answered", method)
		}
	}
}

func (c *Client) attempt(ctx context.Context, address, method string, args any, reply Answered, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.Call(ctx, address, method, args, reply)
}

// retryAnswer reports whether another host, or the same one a little later,
// may give a better answer.
func retryAnswer(a *Answer) bool {
	return a.Kind == errkind.NotLeader || a.Kind == errkind.OutcomeUnknown
}

// order returns the addresses to try: the remembered leader, the others in
// random order, so that clients without a leader spread out, and last those
// that failed lately.
func (c *Client) order() []string {
	c.mu.Lock()
	leader, addresses, silent := c.leader, c.Addresses, maps.Clone(c.silent)
	c.mu.Unlock()
	failed := func(a string) bool { return time.Since(silent[a]) < silentFor }
	out := make([]string, 0, len(addresses)+1)
	if leader != "" {
		out = append(out, leader)
	}
	order := rand.Perm(len(addresses))
	for _, last := range []bool{false, true} {
		for _, i := range order {
			if addresses[i] != leader && failed(addresses[i]) == last {
				out = append(out, addresses[i])
			}
		}
	}
	return out
}

// remember records that address answered as the leader.
func (c *Client) remember(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
	delete(c.silent, address)
}

// follow replaces the remembered leader, which answered or was named by
// address, with the hint. An empty hint forgets it.
func (c *Client) follow(address, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hint == address {
		hint = ""
	}
	if hint != "" && time.Since(c.silent[hint]) < silentFor {
		hint = "" // another host may not have noticed yet that it is gone
	}
	if hint != "" || c.leader == address {
		c.leader = hint
	}
}

// forget records that address failed, and drops the remembered leader if it is
// that address.
func (c *Client) forget(address string) {
	c.follow(address, "")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent == nil {
		c.silent = make(map[string]time.Time)
	}
	c.silent[address] = time.Now()
}

// pause waits before the next round; it is false if ctx ends. The first round
// is repeated almost at once, because it usually ends with a leader hint.
func pause(ctx context.Context, round int) bool {
	limit := min(minRetryDelay<<min(round, 8), maxRetryDelay)
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
