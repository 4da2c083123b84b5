package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/standin"
)

// Injector injects faults in an order chosen by its random source.
type Injector struct {
	in  *Installation
	rng *rand.Rand
	Log []string // the injected faults in order, with their times

	// diskLost is set from the loss of a control host's disk until the host
	// has had time to become a voter again. Three control hosts tolerate one
	// lost disk; with two, the replicated state is lost (docs/operators.md).
	diskLost bool
}

// fault is one kind of fault. inject returns the repair, which may be nil.
type fault struct {
	name   string
	inject func(x *Injector, ctx context.Context) (repair func())
}

var faults = []fault{
	{"kill entry", func(x *Injector, _ context.Context) func() {
		i := x.rng.IntN(len(x.in.entries))
		x.in.KillEntry(i)
		return func() { _ = x.in.StartEntry(i) }
	}},
	{"stop entry as planned", func(x *Injector, ctx context.Context) func() {
		i := x.rng.IntN(len(x.in.entries))
		stopCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		_ = x.in.StopEntry(stopCtx, i)
		return func() { _ = x.in.StartEntry(i) }
	}},
	{"kill primary", func(x *Injector, ctx context.Context) func() {
		i, ok := x.in.Primary(ctx)
		if !ok {
			return nil
		}
		x.in.KillServer(i)
		return func() { _ = x.in.StartServer(i) }
	}},
	{"kill replica", func(x *Injector, ctx context.Context) func() {
		i, ok := x.in.Primary(ctx)
		if !ok {
			return nil
		}
		i = (i + 1 + x.rng.IntN(2)) % 3
		x.in.KillServer(i)
		return func() { _ = x.in.StartServer(i) }
	}},
	{"freeze primary", primaryFault(standin.FaultFreeze, "on", "off")},
	{"stall open connections of the primary", primaryFault(standin.FaultSilent, "on", "off")},
	{"isolate primary from its replicas", primaryFault(standin.FaultStopReplication, "on", "off")},
	{"drop the answers to commits", primaryFault(standin.FaultDropAnswer, "3", "0")},
	{"repeat answers late", func(x *Injector, _ context.Context) func() {
		set := func(value string) {
			for i := range 3 {
				if s := x.in.Server(i); s != nil {
					_ = s.SetFault(standin.FaultRepeatAnswer, value)
				}
			}
		}
		set("20")
		return func() { set("0") }
	}},
	{"cut an entry off control, one way", func(x *Injector, _ context.Context) func() {
		e := entryID(x.rng.IntN(len(x.in.entries)))
		for i := range x.in.controls {
			x.in.Network.Cut(controlID(i), e)
		}
		return x.in.Network.Heal
	}},
	{"cut two entries off each other", func(x *Injector, _ context.Context) func() {
		i := x.rng.IntN(len(x.in.entries))
		j := (i + 1) % len(x.in.entries)
		x.in.Network.Cut(entryID(i), entryID(j))
		x.in.Network.Cut(entryID(j), entryID(i))
		return x.in.Network.Heal
	}},
	{"cut a control host off, both ways", func(x *Injector, _ context.Context) func() {
		i := x.rng.IntN(len(x.in.controls))
		for j := range x.in.controls {
			x.in.Network.Cut(controlID(i), controlID(j))
			x.in.Network.Cut(controlID(j), controlID(i))
		}
		return x.in.Network.Heal
	}},
	{"kill control", func(x *Injector, _ context.Context) func() {
		i := x.rng.IntN(len(x.in.controls))
		_ = x.in.KillControl(i, false)
		return func() { _ = x.in.StartControl(i) }
	}},
	{"lose the disk of a control host", func(x *Injector, _ context.Context) func() {
		i := x.rng.IntN(len(x.in.controls))
		if x.diskLost {
			return nil
		}
		x.diskLost = true
		x.logf("  disk of control %d", i)
		_ = x.in.KillControl(i, true)
		return func() {
			_ = x.in.StartControl(i)
			time.Sleep(2 * time.Second) // becoming a voter again takes several membership changes
			x.diskLost = false
		}
	}},
	{"failover requested by an operator", func(x *Injector, ctx context.Context) func() {
		_, _ = operator.Client{Address: x.in.controlOperatorAddrs[0]}.Failover(ctx, &controlrpc.FailoverArgs{Group: Group})
		return nil
	}},
}

// primaryFault returns an inject function that sets a fault of the current
// primary to on, and to off for the repair.
func primaryFault(name standin.Fault, on, off string) func(x *Injector, ctx context.Context) func() {
	return func(x *Injector, ctx context.Context) func() {
		i, ok := x.in.Primary(ctx)
		if !ok {
			return nil
		}
		s := x.in.Server(i)
		if s == nil {
			return nil
		}
		_ = s.SetFault(name, on)
		return func() { _ = s.SetFault(name, off) }
	}
}

// run injects faults, alone or in pairs, and repairs them after a random time.
// When ctx is done, it repairs the last ones and returns.
func (x *Injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(200+x.rng.IntN(600))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		repairs := []func(){x.inject(ctx)}
		if x.rng.IntN(3) == 0 {
			pause(ctx, time.Duration(x.rng.IntN(300))*time.Millisecond)
			repairs = append(repairs, x.inject(ctx))
		}
		pause(ctx, time.Duration(300+x.rng.IntN(1500))*time.Millisecond)
		for _, repair := range repairs {
			if repair != nil {
				repair()
			}
		}
	}
}

// inject injects a random fault and returns its repair, which may be nil.
func (x *Injector) inject(ctx context.Context) func() {
	callCtx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	f := faults[x.rng.IntN(len(faults))]
	x.logf("%s", f.name)
	return f.inject(x, callCtx)
}

// logf adds a line with the current time to Log.
func (x *Injector) logf(format string, args ...any) {
	x.Log = append(x.Log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}
