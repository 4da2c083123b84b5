package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

// heartbeatInterval is that of package process.
const heartbeatInterval = 300 * time.Millisecond

// Hosts are the entry hosts of a fleet as control sees them: each sends a
// heartbeat every 300 ms by a direct call, and confirms every revocation.
type Hosts struct {
	fleet   Fleet
	service *control.Service
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu          sync.Mutex
	down        map[string]bool   // by data centre
	incarnation map[string]string // by host, if it was restarted
	byAddress   map[string]string // data centre by rpc address

	// Beats counts the heartbeats.
	Beats atomic.Int64
}

// NewHosts returns the hosts of the fleet, which are silent until Start.
func NewHosts(f Fleet) *Hosts {
	h := &Hosts{fleet: f, down: make(map[string]bool), incarnation: make(map[string]string), byAddress: make(map[string]string)}
	for i := range f.Hosts {
		host := f.Host(i)
		h.byAddress[host.Address] = host.DataCentre
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// Start begins the heartbeats. Each of 100 goroutines beats for a part of the
// hosts.
func (h *Hosts) Start(service *control.Service) {
	h.service = service
	const workers = 100
	for w := range workers {
		h.group.Go(func() { h.loop(w, workers) })
	}
}

func (h *Hosts) loop(first, step int) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		for i := first; i < h.fleet.Hosts; i += step {
			h.beat(i)
		}
		select {
		case <-tick.C:
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Hosts) beat(i int) {
	host := h.fleet.Host(i)
	h.mu.Lock()
	down := h.down[host.DataCentre]
	if n := h.incarnation[host.ID]; n != "" {
		host.Incarnation = n
	}
	h.mu.Unlock()
	if down {
		return
	}
	h.Beats.Add(1)
	_ = h.service.Heartbeat(&controlrpc.HeartbeatArgs{Host: host}, new(controlrpc.HeartbeatReply)) // never fails
}

// Restart gives a host a new incarnation.
func (h *Hosts) Restart(i int, incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation[h.fleet.Host(i).ID] = incarnation
}

// Lose makes the hosts of a data centre silent.
func (h *Hosts) Lose(centre string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[centre] = true
}

// Revoke answers control after a delay, or not at all for a silent host.
func (h *Hosts) Revoke(delay time.Duration) control.RevokeFunc {
	return func(ctx context.Context, address string, _ *ownerrpc.RevokeArgs) (*ownerrpc.RevokeReply, error) {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		h.mu.Lock()
		down := h.down[h.byAddress[address]]
		h.mu.Unlock()
		if down {
			<-ctx.Done()
			return nil, errSilent
		}
		return &ownerrpc.RevokeReply{Confirmed: true}, nil
	}
}

// Stop ends the heartbeats.
func (h *Hosts) Stop() {
	h.cancel()
	h.group.Wait()
}
