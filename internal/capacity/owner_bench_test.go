package capacity_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/capacity"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// ownerHarness runs an owner of member 0 of the first groups of a fleet.
type ownerHarness struct {
	*owner.Owner
	fleet  capacity.Fleet
	state  controlrpc.State
	cfg    *policy.Config
	polls  atomic.Int64
	cancel context.CancelFunc
	ended  chan struct{}
}

// startOwner starts an owner of n servers, without leases. Each server is the
// only member of its group, so that a write waits for no replica.
func startOwner(b *testing.B, n int) *ownerHarness {
	b.Helper()
	o := &ownerHarness{fleet: capacity.NewFleet(max(n, 100)), ended: make(chan struct{})}
	m, _ := loadMachine(b, o.fleet)
	state := m.View().State
	cfg := mustParseConfig(b, state.ConfigText)
	groups := make(map[string]controlrpc.Group)
	for g := range n {
		id := o.fleet.ServerID(g, 0)
		groups[o.fleet.GroupName(g)] = controlrpc.Group{
			Name: o.fleet.GroupName(g), Term: 1, Phase: controlrpc.PhaseSteady, Primary: id, Members: []string{id},
		}
	}
	state.Groups = groups
	o.state, o.cfg = state, cfg
	o.Owner = owner.New(owner.Options{Connect: func(context.Context, string, string) (owner.Conn, error) {
		return &capacity.BackendConn{Answer: backend.Answer{Messages: encodedAnswer(), TxStatus: 'I'}, Polls: &o.polls}, nil
	}})
	o.SetState(state, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go func() {
		defer close(o.ended)
		o.Run(ctx)
	}()
	return o
}

// grantLeases gives the owner the leases of its first n servers.
func (o *ownerHarness) grantLeases(n int) {
	reply := &controlrpc.HeartbeatReply{TTL: time.Hour}
	for g := range n {
		reply.Leases = append(reply.Leases, controlrpc.HeldLease{
			Server: o.fleet.ServerID(g, 0), Epoch: 1, Group: o.fleet.GroupName(g), Term: 1, Primary: true,
		})
	}
	o.SetLeases(time.Now(), reply)
	time.Sleep(300 * time.Millisecond)
}

func (o *ownerHarness) stop() {
	o.cancel()
	<-o.ended
}

func (o *ownerHarness) exec(b *testing.B, number uint64, group int, write bool) {
	b.Helper()
	var reply ownerrpc.ExecReply
	_ = o.Service().Exec(&ownerrpc.ExecArgs{
		ID:    ownerrpc.RequestID{Entry: "host-01234/c9x1k2m3n4p5", Session: 7, Number: number},
		Group: o.fleet.GroupName(group), Server: o.fleet.ServerID(group, 0), Term: 1, Budget: 5 * time.Second,
		Write: write, Repeatable: !write, Messages: encodeQuery("SELECT 1"),
	}, &reply) // never fails
	if reply.Kind != "" {
		b.Fatal(reply.Kind, reply.Detail)
	}
}

// BenchmarkOwnerIdle measures an owner whose servers have no load.
func BenchmarkOwnerIdle(b *testing.B) {
	for b.Loop() {
		cpu := newSeries("processor time", "servers", "ms/s")
		polls := newSeries("polls of backend servers", "servers", "1/s")
		memory := newSeries("memory", "servers", "bytes")
		setState := newSeries("SetState", "servers", "us")
		for _, n := range []int{6, 20, 60, 200, 600} {
			o := startOwner(b, n)
			memoryBefore := capacity.MemoryInUse()
			o.grantLeases(n)
			memory.Add(float64(n), capacity.MemoryInUse()-memoryBefore)
			cpuBefore, pollsBefore := capacity.ProcessorTime(), o.polls.Load()
			const interval = 3 * time.Second
			time.Sleep(interval)
			cpu.Add(float64(n), ms(capacity.ProcessorTime()-cpuBefore)/interval.Seconds())
			polls.Add(float64(n), float64(o.polls.Load()-pollsBefore)/interval.Seconds())
			setState.Add(float64(n), us(cpuTimePerCall(func() { o.SetState(o.state, o.cfg) })))
			o.stop()
		}
		printSeries(cpu, polls, memory, setState)
	}
}

// BenchmarkOutcomes measures the memory of the stored outcomes of writes whose
// answer has about 150 bytes.
func BenchmarkOutcomes(b *testing.B) {
	for b.Loop() {
		memory := newSeries("memory", "outcomes", "bytes")
		for _, n := range []int{1000, 3000, 10_000, 30_000, 100_000} {
			o := startOwner(b, 6)
			o.grantLeases(6)
			memoryBefore := capacity.MemoryInUse()
			for i := range n {
				o.exec(b, uint64(i), i%6, true)
			}
			memory.Add(float64(n), capacity.MemoryInUse()-memoryBefore)
			o.stop()
		}
		printSeries(memory)
	}
}

// BenchmarkCycle measures the processor time of one cycle in an owner of six
// servers.
func BenchmarkCycle(b *testing.B) {
	for _, write := range []bool{false, true} {
		b.Run(map[bool]string{false: "read", true: "write"}[write], func(b *testing.B) {
			o := startOwner(b, 6)
			defer o.stop()
			o.grantLeases(6)
			b.ReportAllocs()
			cpuBefore, n := capacity.ProcessorTime(), uint64(0)
			for b.Loop() {
				o.exec(b, n, int(n%6), write)
				n++
			}
			b.ReportMetric(us(capacity.ProcessorTime()-cpuBefore)/float64(n), "cpu-us/op")
		})
	}
}
