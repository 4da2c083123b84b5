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
// own timeouts, so that an unresponsive control host costs one attempt and not
// the whole call. The TTL of a host session is 1.2 s, so a heartbeat must reach
// another address well within it. watchExtraTimeout is added to the wait time
// that the caller of Watch asks for.
const (
	heartbeatAttemptTimeout = 400 * time.Millisecond
	announceAttemptTimeout  = time.Second
	changeAttemptTimeout    = 3 * time.Second
	watchExtraTimeout       = time.Second
)

// Limits of the full-jitter backoff after every known address has been tried.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
)

// fullRoundInterval is the time between two rounds that ask every address. The others end
// as soon as the host that is named as the leader has answered that it doesn't lead: it
// may be about to, or its lease has lapsed until its next heartbeats are answered, and
// other hosts may not answer at all.
const fullRoundInterval = 200 * time.Millisecond

// Client calls the leader of the control service. It follows leader hints,
// tries the other addresses on transport errors and on errkind.NotLeader, and
// caches the last leader. It resends until the context ends; that is safe for
// every method, because changes carry change ids.
//
// Every method returns the reply of the leader, whose Kind may be an error,
// or a Go error when no leader answered before the context ended. The Go
// error is errkind.OutcomeUnknown if an attempt may have been executed, and
// errkind.NotLeader if none was.
//
// The exported fields are set before the first call; later only SetAddresses changes
// the addresses. Methods are safe for concurrent use if Call is.
type Client struct {
	Addresses []string // rpc addresses of the control hosts, at least one; guarded by mu after the first call
	Call      func(ctx context.Context, address, method string, args, reply any) error
	// Leader returns the address of the leader if the caller knows it from elsewhere,
	// such as its own replicated log, otherwise "". It may be nil.
	Leader func() string

	mu       sync.Mutex
	leader   string               // address that answered last, or the last hint; guarded by mu
	hinted   string               // last hint, until a leader answers at another address; guarded by mu
	failedAt map[string]time.Time // time of the last failure by address; guarded by mu
}

// deprioritizeFor is how long an address that failed is tried only after the
// others. A host that accepts calls but never answers costs the whole timeout of
// an attempt.
const deprioritizeFor = 3 * time.Second

// Reply is implemented by every reply through its embedded Answer.
type Reply interface {
	answer() *Answer
}

func (a *Answer) answer() *Answer { return a }

// Heartbeat renews the session of a host. The TTL counts from before the attempt
// that was answered; because Client resends, the caller must count from before
// it called Heartbeat.
func (c *Client) Heartbeat(ctx context.Context, args *HeartbeatArgs) (*HeartbeatReply, error) {
	var reply *HeartbeatReply
	err := c.Do(ctx, "Control.Heartbeat", args, heartbeatAttemptTimeout, func() Reply {
		reply = new(HeartbeatReply)
		return reply
	})
	return reply, err
}

// Watch waits for a state newer than args.Since, for at most args.Wait.
func (c *Client) Watch(ctx context.Context, args *WatchArgs) (*WatchReply, error) {
	var reply *WatchReply
	err := c.Do(ctx, "Control.Watch", args, args.Wait+watchExtraTimeout, func() Reply {
		reply = new(WatchReply)
		return reply
	})
	return reply, err
}

// Announce forwards the announcement of a backend server.
func (c *Client) Announce(ctx context.Context, args *AnnounceArgs) (*AnnounceReply, error) {
	var reply *AnnounceReply
	err := c.Do(ctx, "Control.Announce", args, announceAttemptTimeout, func() Reply {
		reply = new(AnnounceReply)
		return reply
	})
	return reply, err
}

// Apply requests a new configuration. Every resend carries the same change id,
// so the reply is the first answer to the change.
func (c *Client) Apply(ctx context.Context, args *ApplyArgs) (*ApplyReply, error) {
	var reply *ApplyReply
	err := c.Do(ctx, "Control.Apply", args, changeAttemptTimeout, func() Reply {
		reply = new(ApplyReply)
		return reply
	})
	return reply, err
}

// Get returns the latest committed state.
func (c *Client) Get(ctx context.Context, args *GetArgs) (*GetReply, error) {
	var reply *GetReply
	err := c.Do(ctx, "Control.Get", args, changeAttemptTimeout, func() Reply {
		reply = new(GetReply)
		return reply
	})
	return reply, err
}

// Drain takes a host or a backend server out of service, or back in.
func (c *Client) Drain(ctx context.Context, args *DrainArgs) (*DrainReply, error) {
	var reply *DrainReply
	err := c.Do(ctx, "Control.Drain", args, changeAttemptTimeout, func() Reply {
		reply = new(DrainReply)
		return reply
	})
	return reply, err
}

// Failover requests a new primary of a group.
func (c *Client) Failover(ctx context.Context, args *FailoverArgs) (*FailoverReply, error) {
	var reply *FailoverReply
	err := c.Do(ctx, "Control.Failover", args, changeAttemptTimeout, func() Reply {
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

// Do calls method at one address after another until a leader answers or ctx
// ends. Each attempt decodes into a new reply, because fields of an earlier
// answer would otherwise remain set.
func (c *Client) Do(ctx context.Context, method string, args any, timeout time.Duration, newReply func() Reply) error {
	if len(c.addressOrder()) == 0 {
		return errkind.New(errkind.BadRequest, "%s: no control address is configured", method)
	}
	maybeExecuted := false // an attempt may have been executed
	var last error
	lastFull := time.Now()
	for round := 0; ; round++ {
		full := time.Since(lastFull) >= fullRoundInterval
		if full {
			lastFull = time.Now()
		}
		order := c.addressOrder()
		tried := make(map[string]bool)
		answered := make(map[string]bool) // tried addresses that don't lead
		for address := c.next(order, tried); address != "" && ctx.Err() == nil; address = c.next(order, tried) {
			tried[address] = true
			reply := newReply()
			err := c.attempt(ctx, address, method, args, reply, timeout)
			if err != nil {
				last = err
				maybeExecuted = maybeExecuted || errkind.Of(err) != errkind.ConnectFailed
				c.recordFailure(address)
				continue
			}
			if !shouldRetry(reply.answer()) {
				c.recordLeader(address)
				return nil
			}
			last = errkind.New(reply.answer().Kind, "%s: %s", address, reply.answer().Detail)
			maybeExecuted = maybeExecuted || reply.answer().Kind != errkind.NotLeader
			c.followHint(address, reply.answer().Leader)
			answered[address] = true
			if !full && answered[c.named(address, reply.answer().Leader)] {
				break
			}
		}
		if !waitBeforeRound(ctx, round) {
			kind := errkind.NotLeader
			if maybeExecuted {
				kind = errkind.OutcomeUnknown
			}
			return errkind.Wrap(kind, last, "%s: no control leader answered", method)
		}
	}
}

// known returns the address that Leader returns.
func (c *Client) known() string {
	if c.Leader == nil {
		return ""
	}
	return c.Leader()
}

// named returns the leader that is named by the hint of address or, if that gave none,
// by Leader, provided that address is the one that Leader returns.
func (c *Client) named(address, hint string) string {
	if hint == "" && address == c.known() {
		return address
	}
	return hint
}

// next returns the address to try next in a round, or "" at its end: first the leader
// as far as it is known by now, then the others in order.
func (c *Client) next(order []string, tried map[string]bool) string {
	c.mu.Lock()
	cached := c.leader
	c.mu.Unlock()
	for _, address := range append([]string{c.known(), cached}, order...) {
		if address != "" && !tried[address] {
			return address
		}
	}
	return ""
}

func (c *Client) attempt(ctx context.Context, address, method string, args any, reply Reply, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Call(ctx, address, method, args, reply)
}

// shouldRetry reports whether another host, or the same one a little later, may
// give a final answer.
func shouldRetry(a *Answer) bool {
	return a.Kind == errkind.NotLeader || a.Kind == errkind.OutcomeUnknown
}

// addressOrder returns the configured addresses in random order, which spreads the
// load of clients that know no leader, and last those that failed recently. The
// hinted address is one of them, so that a leader outside the list is tried again
// after a call to it failed.
func (c *Client) addressOrder() []string {
	c.mu.Lock()
	hinted, addresses, failedAt := c.hinted, c.Addresses, maps.Clone(c.failedAt)
	c.mu.Unlock()
	if hinted != "" && !slices.Contains(addresses, hinted) {
		addresses = append(slices.Clone(addresses), hinted)
	}
	failed := func(a string) bool { return time.Since(failedAt[a]) < deprioritizeFor }
	out := make([]string, 0, len(addresses))
	order := rand.Perm(len(addresses))
	for _, last := range []bool{false, true} {
		for _, i := range order {
			if failed(addresses[i]) == last {
				out = append(out, addresses[i])
			}
		}
	}
	return out
}

// recordLeader records that address answered as the leader.
func (c *Client) recordLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
	if c.hinted != address {
		c.hinted = ""
	}
	delete(c.failedAt, address)
}

// followHint replaces the cached leader by the hint that address gave. Without a
// hint it clears the cached leader if that is address.
func (c *Client) followHint(address, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hint == address {
		hint = ""
	}
	if hint != "" {
		c.hinted = hint
	}
	if hint != "" && time.Since(c.failedAt[hint]) < deprioritizeFor {
		hint = "" // address may not have noticed yet that the hinted host failed
	}
	if hint != "" || c.leader == address {
		c.leader = hint
	}
}

// recordFailure records that address failed, and clears the cached leader if it
// is that address.
func (c *Client) recordFailure(address string) {
	c.followHint(address, "")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedAt == nil {
		c.failedAt = make(map[string]time.Time)
	}
	c.failedAt[address] = time.Now()
}

// waitBeforeRound waits before the next round and reports whether ctx is still
// active.
func waitBeforeRound(ctx context.Context, round int) bool {
	maxDelay := min(minRetryDelay<<min(round, 8), maxRetryDelay)
	timer := time.NewTimer(rand.N(maxDelay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
