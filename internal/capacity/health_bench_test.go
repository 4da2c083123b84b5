package capacity_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/capacity"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/health"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

// BenchmarkHealth measures one question about the health of all groups. An
// owner in the region of the asking host answers after 2 ms, another after
// 40 ms. Nothing is encoded.
func BenchmarkHealth(b *testing.B) {
	for b.Loop() {
		took := series("time of an answer", "groups", "s")
		cpu := series("processor time of an answer", "groups", "ms")
		share := series("owners that answered in time", "groups", "share")
		reply := series("reply of Get", "groups", "bytes")
		for _, groups := range capacity.Sizes {
			f := capacity.NewFleet(groups)
			m, _ := load(b, f)
			get := &controlrpc.GetReply{State: m.View().State, Seen: make(map[string]controlrpc.HostReport)}
			far := make(map[string]bool)
			for i := range f.Hosts {
				h := f.Host(i)
				far[h.Address] = h.Region != f.Host(0).Region
				get.Seen[h.ID] = controlrpc.HostReport{Live: true, Age: 100 * time.Millisecond, StateVersion: get.State.Version}
			}
			reply.Add(float64(groups), float64(len(mustEncode(b, get))))
			var answered atomic.Int64
			c := health.Collector{
				Get: func(context.Context, *controlrpc.GetArgs) (*controlrpc.GetReply, error) { return get, nil },
				Status: func(ctx context.Context, address string, _ *ownerrpc.StatusArgs) (*ownerrpc.StatusReply, error) {
					delay := 2 * time.Millisecond
					if far[address] {
						delay = 40 * time.Millisecond
					}
					select {
					case <-time.After(delay):
						answered.Add(1)
						return &ownerrpc.StatusReply{}, nil
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				},
				Local: func() controlrpc.State { return get.State },
			}
			used, began := capacity.ProcessorTime(), time.Now()
			if _, err := c.Ask(context.Background(), health.Question{Kind: health.KindGroup}); err != nil {
				b.Fatal(err)
			}
			took.Add(float64(groups), time.Since(began).Seconds())
			share.Add(float64(groups), float64(answered.Load())/float64(2*f.Hosts))
			cpu.Add(float64(groups), ms(capacity.ProcessorTime()-used))
		}
		report(took, cpu, share, reply)
	}
}
