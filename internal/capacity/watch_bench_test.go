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

// watched is a fan-out to measure.
type watched struct {
	groups, hosts int
	delta         bool // the hosts ask for changes only
	configuration bool // the change is a configuration, otherwise a small one
}

// changeAndWatch makes one change while a number of hosts, each with a connection
// of its own, wait for it.
func changeAndWatch(b *testing.B, c watched) fanOut {
	b.Helper()
	f := capacity.NewFleet(c.groups)
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
	for range c.hosts {
		pool := p.pool()
		defer pool.Close()
		all.Go(func() {
			reply := new(controlrpc.WatchReply)
			args := &controlrpc.WatchArgs{Since: since, Wait: time.Minute, Delta: c.delta}
			err := pool.Call(context.Background(), p.address, "Control.Watch", args, reply)
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
	if c.configuration {
		_ = leader.Service().Apply(&controlrpc.ApplyArgs{ // never fails
			ChangeID: "second", BaseVersion: 1, Operator: "operator", Text: f.ConfigText(),
		}, new(controlrpc.ApplyReply))
	} else {
		_ = leader.Service().Drain(&controlrpc.DrainArgs{ID: f.ServerID(0, 1), ChangeID: "c"}, new(controlrpc.DrainReply)) // never fails
	}
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
			sizes []watched
			x     func(watched) int
		}{
			{"hosts, 300 groups", []watched{
				{groups: 300, hosts: 50}, {groups: 300, hosts: 150}, {groups: 300, hosts: 300}, {groups: 300, hosts: 1000},
			}, byHosts},
			{"groups, 100 hosts", []watched{
				{groups: 100, hosts: 100}, {groups: 300, hosts: 100}, {groups: 1000, hosts: 100}, {groups: 3000, hosts: 100},
			}, byGroups},
			{"hosts, 10,000 groups, changes only", []watched{
				{groups: 10_000, hosts: 100, delta: true}, {groups: 10_000, hosts: 1000, delta: true}, {groups: 10_000, hosts: 3000, delta: true},
			}, byHosts},
			{"groups, 100 hosts, changes of a configuration", []watched{
				{groups: 1000, hosts: 100, delta: true, configuration: true}, {groups: 3000, hosts: 100, delta: true, configuration: true},
				{groups: 10_000, hosts: 100, delta: true, configuration: true},
			}, byGroups},
		} {
			took := series("until the last host has the state", dimension.name, "s")
			cpu := series("processor time of control and hosts", dimension.name, "s")
			bytes := series("bytes from control", dimension.name, "bytes")
			memory := series("memory of control and hosts", dimension.name, "bytes")
			lost := series("replies lost, with one added", dimension.name, "replies")
			for _, size := range dimension.sizes {
				r := changeAndWatch(b, size)
				x := float64(dimension.x(size))
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

func byHosts(w watched) int  { return w.hosts }
func byGroups(w watched) int { return w.groups }
