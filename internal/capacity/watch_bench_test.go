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

// fanOutResult holds the measurements of one fan-out: one change of the state
// for which many hosts wait with Control.Watch.
type fanOutResult struct {
	duration time.Duration // until the last host had decoded the reply
	cpu      time.Duration // of control and all hosts
	bytes    int64         // payload in both directions
	memory   uint64        // peak heap growth
	lost     int64         // Watch calls that failed or reported no change
}

// fanOutCase is a fan-out to measure.
type fanOutCase struct {
	groups, hosts int
	delta         bool // the hosts request only changes instead of the full state
	configuration bool // the change is a new configuration; otherwise one server is drained
}

// measureFanOut makes one change while a number of hosts, each with its own
// connection, wait for it.
func measureFanOut(b *testing.B, c fanOutCase) fanOutResult {
	b.Helper()
	f := capacity.NewFleet(c.groups)
	members := capacity.NewMembers(f, memberCallDelay)
	leader, err := capacity.StartLeader(f, 0, control.Options{
		Members: members.ControlMembers(), Revoke: capacity.NewHosts(f).Revoke(0), FollowEvery: time.Hour, TTL: time.Hour,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer leader.Shutdown()
	p := startPeerServer(b, "Control", leader.Service())
	defer p.stop()
	since := leader.Machine().View().Version
	var watchers sync.WaitGroup
	var lost atomic.Int64
	for range c.hosts {
		pool := p.pool()
		defer pool.Close()
		watchers.Go(func() {
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
	heapBefore, peak := m.HeapInuse, m.HeapInuse
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
				peak = max(peak, m.HeapInuse)
			}
		}
	})
	bytesBefore, cpuBefore, start := p.traffic.TotalBytes(), capacity.ProcessorTime(), time.Now()
	if c.configuration {
		_ = leader.Service().Apply(&controlrpc.ApplyArgs{ // never fails
			ChangeID: "second", BaseVersion: 1, Operator: "operator", Text: f.ConfigText(),
		}, new(controlrpc.ApplyReply))
	} else {
		_ = leader.Service().Drain(&controlrpc.DrainArgs{ID: f.ServerID(0, 1), ChangeID: "c"}, new(controlrpc.DrainReply)) // never fails
	}
	watchers.Wait()
	result := fanOutResult{duration: time.Since(start), cpu: capacity.ProcessorTime() - cpuBefore, bytes: p.traffic.TotalBytes() - bytesBefore}
	close(done)
	sampler.Wait()
	result.memory, result.lost = peak-heapBefore, lost.Load()
	return result
}

// BenchmarkWatchFanOut measures one change of the state for which many hosts
// wait. Hosts and control are in this process and share its processors.
func BenchmarkWatchFanOut(b *testing.B) {
	for b.Loop() {
		for _, dimension := range []struct {
			name   string
			cases  []fanOutCase
			xValue func(fanOutCase) int
		}{
			{"hosts, 300 groups", []fanOutCase{
				{groups: 300, hosts: 50}, {groups: 300, hosts: 150}, {groups: 300, hosts: 300}, {groups: 300, hosts: 1000},
			}, hostCount},
			{"groups, 100 hosts", []fanOutCase{
				{groups: 100, hosts: 100}, {groups: 300, hosts: 100}, {groups: 1000, hosts: 100}, {groups: 3000, hosts: 100},
			}, groupCount},
			{"hosts, 10,000 groups, changes only", []fanOutCase{
				{groups: 10_000, hosts: 100, delta: true}, {groups: 10_000, hosts: 1000, delta: true}, {groups: 10_000, hosts: 3000, delta: true},
			}, hostCount},
			{"groups, 100 hosts, changes of a configuration", []fanOutCase{
				{groups: 1000, hosts: 100, delta: true, configuration: true}, {groups: 3000, hosts: 100, delta: true, configuration: true},
				{groups: 10_000, hosts: 100, delta: true, configuration: true},
			}, groupCount},
		} {
			duration := newSeries("until the last host has the state", dimension.name, "s")
			cpu := newSeries("processor time of control and hosts", dimension.name, "s")
			bytesSent := newSeries("bytes from control", dimension.name, "bytes")
			memory := newSeries("memory of control and hosts", dimension.name, "bytes")
			lost := newSeries("replies lost, with one added", dimension.name, "replies")
			for _, c := range dimension.cases {
				r := measureFanOut(b, c)
				x := float64(dimension.xValue(c))
				duration.Add(x, r.duration.Seconds())
				cpu.Add(x, r.cpu.Seconds())
				bytesSent.Add(x, float64(r.bytes))
				memory.Add(x, float64(r.memory))
				lost.Add(x, 1+float64(r.lost)) // Fit needs positive values
			}
			printSeries(duration, cpu, bytesSent, memory, lost)
		}
	}
}

func hostCount(c fanOutCase) int  { return c.hosts }
func groupCount(c fanOutCase) int { return c.groups }
