package capacity_test

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/capacity"
	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// fanOut is one change that many hosts wait for with Control.Watch.
type fanOut struct {
	took   time.Duration // until the last host had the state decoded
	cpu    time.Duration // of control and all hosts
	bytes  int64
	memory uint64 // greatest heap, less that before
	lost   int64  // replies whose connection ended before they were complete
}

// changeAndWatch makes one small change while a number of hosts, each with a
// connection of its own, wait for the next state.
func changeAndWatch(b *testing.B, groups, hosts int) fanOut {
	b.Helper()
	f := capacity.NewFleet(groups)
	members := capacity.NewMembers(f, memberDelay)
	leader, err := capacity.StartLeader(f, 0, control.Options{
		Members: members.Functions(), Revoke: capacity.NewHosts(f).Revoke(0), FollowEvery: time.Hour, TTL: time.Hour,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer leader.End()
	p := startPeer(b, "Control", leader.Service())
	defer p.stop()
	since := leader.Machine().View().Version
	var all sync.WaitGroup
	var lost atomic.Int64
	for range hosts {
		pool := p.pool()
		defer pool.Close()
		all.Go(func() {
			reply := new(controlrpc.WatchReply)
			err := pool.Call(context.Background(), p.address, "Control.Watch", &controlrpc.WatchArgs{Since: since, Wait: time.Minute}, reply)
			if err != nil || !reply.Changed {
				lost.Add(1)
			}
		})
	}
	time.Sleep(time.Second)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, most := m.HeapInuse, m.HeapInuse
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				most = max(most, m.HeapInuse)
			}
		}
	})
	bytes, used, began := p.traffic.Total(), capacity.ProcessorTime(), time.Now()
	reply := new(controlrpc.DrainReply)
	_ = leader.Service().Drain(&controlrpc.DrainArgs{ID: f.ServerID(0, 1), ChangeID: "c"}, reply) // never fails
	all.Wait()
	out := fanOut{took: time.Since(began), cpu: capacity.ProcessorTime() - used, bytes: p.traffic.Total() - bytes}
	close(done)
	sampler.Wait()
	out.memory, out.lost = most-before, lost.Load()
	return out
}

// BenchmarkWatchFanOut measures one change of the state that many hosts wait
// for. Hosts and control are in this process and share the processors.
func BenchmarkWatchFanOut(b *testing.B) {
	for b.Loop() {
		for _, dimension := range []struct {
			name  string
			sizes [][2]int // groups, hosts
			x     int
		}{
			{"hosts, 300 groups", [][2]int{{300, 50}, {300, 150}, {300, 300}, {300, 1000}}, 1},
			{"groups, 100 hosts", [][2]int{{100, 100}, {300, 100}, {1000, 100}, {3000, 100}}, 0},
		} {
			took := series("until the last host has the state", dimension.name, "s")
			cpu := series("processor time of control and hosts", dimension.name, "s")
			bytes := series("bytes from control", dimension.name, "bytes")
			memory := series("memory of control and hosts", dimension.name, "bytes")
			lost := series("replies lost, with one added", dimension.name, "replies")
			for _, size := range dimension.sizes {
				r := changeAndWatch(b, size[0], size[1])
				x := float64(size[dimension.x])
				took.Add(x, r.took.Seconds())
				cpu.Add(x, r.cpu.Seconds())
				bytes.Add(x, float64(r.bytes))
				memory.Add(x, float64(r.memory))
				lost.Add(x, 1+float64(r.lost))
			}
			report(took, cpu, bytes, memory, lost)
		}
	}
}
