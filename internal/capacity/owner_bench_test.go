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

// ownerWorld is an owner of member 0 of the first groups of a fleet.
type ownerWorld struct {
	*owner.Owner
	fleet  capacity.Fleet
	state  controlrpc.State
	cfg    *policy.Config
	polls  atomic.Int64
	cancel context.CancelFunc
	ended  chan struct{}
}

// startOwner returns an owner without leases for n servers. All are the single member of their
// group, so that a write needs no replica.
func startOwner(b *testing.B, n int) *ownerWorld {
	b.Helper()
	w := &ownerWorld{fleet: capacity.NewFleet(max(n, 100)), ended: make(chan struct{})}
	m, _ := load(b, w.fleet)
	state := m.View().State
	cfg := mustParse(b, state.ConfigText)
	groups := make(map[string]controlrpc.Group)
	for g := range n {
		id := w.fleet.ServerID(g, 0)
		groups[w.fleet.GroupName(g)] = controlrpc.Group{
			Name: w.fleet.GroupName(g), Term: 1, Phase: controlrpc.PhaseSteady, Primary: id, Members: []string{id},
		}
	}
	state.Groups = groups
	w.state, w.cfg = state, cfg
	w.Owner = owner.New(owner.Options{Connect: func(context.Context, string, string) (owner.Conn, error) {
		return &capacity.BackendConn{Answer: backend.Answer{Messages: answer(), TxStatus: 'I'}, Polls: &w.polls}, nil
	}})
	w.SetState(state, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() {
		defer close(w.ended)
		w.Run(ctx)
	}()
	return w
}

// lease gives the owner its leases.
func (w *ownerWorld) lease(n int) {
	reply := &controlrpc.HeartbeatReply{TTL: time.Hour}
	for g := range n {
		reply.Leases = append(reply.Leases, controlrpc.HeldLease{
			Server: w.fleet.ServerID(g, 0), Epoch: 1, Group: w.fleet.GroupName(g), Term: 1, Primary: true,
		})
	}
	w.SetLeases(time.Now(), reply)
	time.Sleep(300 * time.Millisecond)
}

func (w *ownerWorld) stop() {
	w.cancel()
	<-w.ended
}

func (w *ownerWorld) exec(b *testing.B, number uint64, group int, write bool) {
	b.Helper()
	var reply ownerrpc.ExecReply
	_ = w.Service().Exec(&ownerrpc.ExecArgs{
		ID:    ownerrpc.RequestID{Entry: "host-01234/c9x1k2m3n4p5", Session: 7, Number: number},
		Group: w.fleet.GroupName(group), Server: w.fleet.ServerID(group, 0), Term: 1, Budget: 5 * time.Second,
		Write: write, Repeatable: !write, Messages: query("SELECT 1"),
	}, &reply) // never fails
	if reply.Kind != "" {
		b.Fatal(reply.Kind, reply.Detail)
	}
}

// BenchmarkOwnerIdle measures what an owner does for servers without load.
func BenchmarkOwnerIdle(b *testing.B) {
	for b.Loop() {
		cpu := series("processor time", "servers", "ms/s")
		polls := series("polls of backend servers", "servers", "1/s")
		memory := series("memory", "servers", "bytes")
		setState := series("SetState", "servers", "us")
		for _, n := range []int{6, 20, 60, 200, 600} {
			w := startOwner(b, n)
			before := capacity.Memory()
			w.lease(n)
			memory.Add(float64(n), capacity.Memory()-before)
			used, p := capacity.ProcessorTime(), w.polls.Load()
			const length = 3 * time.Second
			time.Sleep(length)
			cpu.Add(float64(n), ms(capacity.ProcessorTime()-used)/length.Seconds())
			polls.Add(float64(n), float64(w.polls.Load()-p)/length.Seconds())
			setState.Add(float64(n), us(timed(func() { w.SetState(w.state, w.cfg) })))
			w.stop()
		}
		report(cpu, polls, memory, setState)
	}
}

// BenchmarkOutcomes measures the memory of the outcomes of writes with an
// answer of about 150 bytes.
func BenchmarkOutcomes(b *testing.B) {
	for b.Loop() {
		memory := series("memory", "outcomes", "bytes")
		for _, n := range []int{1000, 3000, 10_000, 30_000, 100_000} {
			w := startOwner(b, 6)
			w.lease(6)
			before := capacity.Memory()
			for i := range n {
				w.exec(b, uint64(i), i%6, true)
			}
			memory.Add(float64(n), capacity.Memory()-before)
			w.stop()
		}
		report(memory)
	}
}

// BenchmarkCycle measures the owner's work for one cycle with six servers.
func BenchmarkCycle(b *testing.B) {
	for _, write := range []bool{false, true} {
		b.Run(map[bool]string{false: "read", true: "write"}[write], func(b *testing.B) {
			w := startOwner(b, 6)
			defer w.stop()
			w.lease(6)
			b.ReportAllocs()
			used, n := capacity.ProcessorTime(), uint64(0)
			for b.Loop() {
				w.exec(b, n, int(n%6), write)
				n++
			}
			b.ReportMetric(us(capacity.ProcessorTime()-used)/float64(n), "cpu-us/op")
		})
	}
}
