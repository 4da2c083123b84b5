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

// heartbeatInterval is the interval that package process uses.
const heartbeatInterval = 300 * time.Millisecond

// Hosts simulates the entry hosts of a fleet towards control: each host sends a
// heartbeat every 300 ms by a direct call and confirms every revocation.
type Hosts struct {
	fleet   Fleet
	service *control.Service
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu           sync.Mutex
	down         map[string]bool   // by data centre
	incarnations map[string]string // by host id; only hosts that were restarted
	dataCentres  map[string]string // by RPC address

	// Heartbeats counts the heartbeats that were sent.
	Heartbeats atomic.Int64
}

// NewHosts returns the hosts of the fleet. They send no heartbeats until Start
// is called.
func NewHosts(f Fleet) *Hosts {
	h := &Hosts{fleet: f, down: make(map[string]bool), incarnations: make(map[string]string), dataCentres: make(map[string]string)}
	for i := range f.Hosts {
		host := f.Host(i)
		h.dataCentres[host.Address] = host.DataCentre
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// Start starts the heartbeats. Each of 100 goroutines sends them for a share of
// the hosts.
func (h *Hosts) Start(service *control.Service) {
	h.service = service
	const workers = 100
	for worker := range workers {
		h.wg.Go(func() { h.loop(worker, workers) })
	}
}

func (h *Hosts) loop(firstHost, step int) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		for i := firstHost; i < h.fleet.Hosts; i += step {
			h.sendHeartbeat(i)
		}
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Hosts) sendHeartbeat(i int) {
	host := h.fleet.Host(i)
	h.mu.Lock()
	down := h.down[host.DataCentre]
	if incarnation := h.incarnations[host.ID]; incarnation != "" {
		host.Incarnation = incarnation
	}
	h.mu.Unlock()
	if down {
		return
	}
	h.Heartbeats.Add(1)
	_ = h.service.Heartbeat(&controlrpc.HeartbeatArgs{Host: host}, new(controlrpc.HeartbeatReply)) // never fails
}

// Restart gives the host with index i a new incarnation.
func (h *Hosts) Restart(i int, incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnations[h.fleet.Host(i).ID] = incarnation
}

// FailDataCentre stops the heartbeats and answers of the hosts of a data centre.
func (h *Hosts) FailDataCentre(dataCentre string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[dataCentre] = true
}

// Revoke returns a function that confirms a revocation after delay. Calls to a
// host in a failed data centre get no answer.
func (h *Hosts) Revoke(delay time.Duration) control.RevokeFunc {
	return func(ctx context.Context, address string, _ *ownerrpc.RevokeArgs) (*ownerrpc.RevokeReply, error) {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		h.mu.Lock()
		down := h.down[h.dataCentres[address]]
		h.mu.Unlock()
		if down {
			<-ctx.Done()
			return nil, errNoAnswer
		}
		return &ownerrpc.RevokeReply{Confirmed: true}, nil
	}
}

// Stop ends the heartbeats and waits for the goroutines.
func (h *Hosts) Stop() {
	h.cancel()
	h.wg.Wait()
}
