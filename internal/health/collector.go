package health

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

const (
	// sampleInterval is the time between the two samples from which rates are
	// computed.
	sampleInterval = 250 * time.Millisecond
	// sourceTimeout bounds the wait for a source; a slower one is treated as
	// not answering.
	sourceTimeout = 400 * time.Millisecond
	// maxConcurrentStatusCalls bounds the status calls to owners that run at the
	// same time. With 64, only 19% of 4,800 owners answered in time; with 1,024 all
	// did (docs/CAPACITY.md).
	maxConcurrentStatusCalls = 1024
)

// Collector gathers the facts for a question. All fields must be set.
type Collector struct {
	Get    func(ctx context.Context, args *controlrpc.GetArgs) (*controlrpc.GetReply, error)
	Status func(ctx context.Context, address string, args *ownerrpc.StatusArgs) (*ownerrpc.StatusReply, error)
	// Local returns the state in force at this host, which is used when control
	// does not answer.
	Local func() controlrpc.State
}

// Ask answers a question within 1.5 s, which covers the timeouts of the call to
// control and of both samples, and the interval between these. It returns an error
// if the question is malformed or the configuration can't be parsed; missing facts
// make answers unknown instead.
func (c *Collector) Ask(ctx context.Context, q Question) ([]Answer, error) {
	if _, err := policy.ParseSelector(q.Selector); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "invalid question")
	}
	switch q.Kind {
	case "", KindGroup, KindPool, KindRank, KindHost:
	default:
		return nil, errkind.New(errkind.BadRequest, "kind %q is not known", q.Kind)
	}
	in := c.state(ctx)
	cfg, err := policy.Parse("configuration", in.State.ConfigText)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "cannot parse the configuration in force")
	}
	in.Config = cfg
	owners := c.owners(q, &in)
	in.Before = c.sample(ctx, owners)
	select {
	case <-time.After(sampleInterval):
	case <-ctx.Done():
	}
	in.After = c.sample(ctx, owners)
	return Evaluate(q, in)
}

// state returns the Inputs that come from control: its state and heartbeats, or
// the local state without heartbeats if control does not answer.
func (c *Collector) state(ctx context.Context) Inputs {
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	reply, err := c.Get(ctx, new(controlrpc.GetArgs))
	if err != nil || reply.Kind != errkind.OK {
		return Inputs{State: c.Local()}
	}
	in := Inputs{State: reply.State, Heartbeats: reply.Heartbeats}
	if in.Heartbeats == nil {
		in.Heartbeats = make(map[string]controlrpc.HostReport)
	}
	return in
}

// owners returns the addresses of the hosts that own the servers which the
// question concerns, so that only these are called.
func (c *Collector) owners(q Question, in *Inputs) []string {
	sel, err := policy.ParseSelector(q.Selector)
	if err != nil || q.Kind == KindPool || q.Kind == KindHost {
		return nil
	}
	seen := make(map[string]bool)
	var addresses []string
	for id, lease := range in.State.Leases {
		g, ok := in.Config.Group(in.State.Servers[id].Group)
		if q.Kind == KindGroup && (!ok || !sel.Matches(g.Name, g.Labels)) {
			continue
		}
		address := in.State.Hosts[lease.Host].Address
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// sample calls the owners concurrently and returns the reports of those that
// answer within sourceTimeout.
func (c *Collector) sample(ctx context.Context, owners []string) Sample {
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	s := Sample{Servers: make(map[string]Observation)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	limit := make(chan struct{}, maxConcurrentStatusCalls)
	for _, address := range owners {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			reply, err := c.Status(ctx, address, new(ownerrpc.StatusArgs))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, st := range reply.Servers {
				// An owner that lost its lease may still report the server.
				if previous, ok := s.Servers[st.Server]; !ok || previous.Status.Epoch <= st.Epoch {
					s.Servers[st.Server] = Observation{Host: reply.Host, Status: st}
				}
			}
		})
	}
	wg.Wait()
	s.At = time.Now()
	return s
}
