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

// BenchmarkHealth measures one health request for all groups. An owner in the
// region of the requesting host answers after 2 ms, one in another region after
// 40 ms. Requests and replies are not encoded.
func BenchmarkHealth(b *testing.B) {
	for b.Loop() {
		duration := newSeries("time of an answer", "groups", "s")
		cpu := newSeries("processor time of an answer", "groups", "ms")
		answeredShare := newSeries("owners that answered in time", "groups", "share")
		replySize := newSeries("reply of Get", "groups", "bytes")
		for _, groups := range capacity.GroupCounts {
			f := capacity.NewFleet(groups)
			m, _ := loadMachine(b, f)
			get := &controlrpc.GetReply{State: m.View().State, Heartbeats: make(map[string]controlrpc.HostReport)}
			otherRegion := make(map[string]bool)
			for i := range f.Hosts {
				h := f.Host(i)
				otherRegion[h.Address] = h.Region != f.Host(0).Region
				get.Heartbeats[h.ID] = controlrpc.HostReport{Live: true, Age: 100 * time.Millisecond, StateVersion: get.State.Version}
			}
			replySize.Add(float64(groups), float64(len(mustEncode(b, get))))
			var answered atomic.Int64
			c := health.Collector{
				Get: func(context.Context, *controlrpc.GetArgs) (*controlrpc.GetReply, error) { return get, nil },
				Status: func(ctx context.Context, address string, _ *ownerrpc.StatusArgs) (*ownerrpc.StatusReply, error) {
					delay := 2 * time.Millisecond
					if otherRegion[address] {
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
			cpuBefore, start := capacity.ProcessorTime(), time.Now()
			if _, err := c.Ask(context.Background(), health.Question{Kind: health.KindGroup}); err != nil {
				b.Fatal(err)
			}
			duration.Add(float64(groups), time.Since(start).Seconds())
			answeredShare.Add(float64(groups), float64(answered.Load())/float64(2*f.Hosts)) // Ask requests the status of every owner twice
			cpu.Add(float64(groups), ms(capacity.ProcessorTime()-cpuBefore))
		}
		printSeries(duration, cpu, answeredShare, replySize)
	}
}
