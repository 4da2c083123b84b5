package faulttest_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// drainLimit is the stated time after which a departing server gets no work.
const drainLimit = 5 * time.Second

// departure is one way in which a part leaves.
type departure struct {
	name   string
	entry  bool // an entry leaves
	begin  func(x *departing) error
	end    func(x *departing) error
	drain  bool // no new work may reach the server after drainLimit
	silent bool // killed: requests in progress at a primary may fail
}

// departing is a departure in progress.
type departing struct {
	ctx context.Context
	in  *faulttest.Installation
	i   int // number of the part
}

func drainServer(undo bool) func(x *departing) error {
	return func(x *departing) error {
		reply, err := operator.Client{Address: x.in.EntryOperator(0)}.Drain(x.ctx, &controlrpc.DrainArgs{
			ID: faulttest.ServerID(x.i), Undo: undo, ChangeID: fmt.Sprintf("drain-%d-%t-%d", x.i, undo, time.Now().UnixNano()),
		})
		if err == nil && reply.Kind != errkind.OK {
			err = errkind.New(reply.Kind, "%s", reply.Detail)
		}
		return err
	}
}

func stopServer(x *departing) error {
	ctx, cancel := context.WithTimeout(x.ctx, 10*time.Second)
	defer cancel()
	return x.in.StopServer(ctx, x.i)
}

func startServer(x *departing) error { return x.in.StartServer(x.i) }

func stopEntry(x *departing) error {
	ctx, cancel := context.WithTimeout(x.ctx, 10*time.Second)
	defer cancel()
	return x.in.StopEntry(ctx, x.i)
}

func startEntry(x *departing) error { return x.in.StartEntry(x.i) }

var (
	announced = departure{name: "announced", begin: stopServer, end: startServer}
	silent    = departure{name: "silent", silent: true, end: startServer, begin: func(x *departing) error {
		x.in.KillServer(x.i)
		return nil
	}}
	drained     = departure{name: "drained", drain: true, begin: drainServer(false), end: drainServer(true)}
	entryStop   = departure{name: "stopped", entry: true, begin: stopEntry, end: startEntry}
	controlStop = departure{name: "stopped", begin: func(x *departing) error {
		ctx, cancel := context.WithTimeout(x.ctx, 10*time.Second)
		defer cancel()
		return x.in.StopControl(ctx, x.i)
	}, end: func(x *departing) error { return x.in.StartControl(x.i) }}
)

// The parts that leave, chosen when their time has come.
func primary(x *departing) (int, bool) { return x.in.Primary(x.ctx) }

func replica(x *departing) (int, bool) {
	i, ok := x.in.Primary(x.ctx)
	return (i + 1) % 3, ok
}

func owner(x *departing) (int, bool) {
	i, ok := x.in.Primary(x.ctx)
	if !ok {
		return 0, false
	}
	return x.in.Owner(x.ctx, i)
}

func notOwner(x *departing) (int, bool) {
	i, ok := owner(x)
	return (i + 1) % 3, ok
}

func leader(x *departing) (int, bool) { return x.in.Leader() }

// TestDepartures guards against a planned stop or the departure of a backend
// server that cuts off requests, leaves outcomes unknown, refuses work for
// longer than its deadline, or sends new work to a departed server.
func TestDepartures(t *testing.T) {
	ctx, in := start(t, "")
	for _, tc := range []struct {
		part string
		find func(x *departing) (int, bool)
		departure
	}{
		{"replica", replica, announced},
		{"replica", replica, silent},
		{"replica", replica, drained},
		{"primary", primary, announced},
		{"primary", primary, drained},
		{"primary", primary, silent},
		{"entry", notOwner, entryStop},
		{"owner of the primary", owner, entryStop},
		{"control leader", leader, controlStop},
	} {
		t.Run(tc.part+" "+tc.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(in.WaitServing(ctx))
			time.Sleep(time.Second) // the replicas follow
			x := &departing{ctx: ctx, in: in}
			var ok bool
			x.i, ok = tc.find(x)
			is.True(ok)
			load := startLoad(ctx, t, in, t.Name(), mixed...)
			time.Sleep(500 * time.Millisecond)
			at := load.Now()
			is.NoErr(tc.begin(x))
			left := load.Now()
			if tc.drain {
				time.Sleep(drainLimit - (left - at))
				noNewWork(t, x)
			}
			time.Sleep(1500 * time.Millisecond)
			ops := stopLoad(ctx, t, in, load, func() error { return tc.end(x) })
			tc.judge(t, x, tc.part, ops)
			gap, since := faulttest.LongestGap(ops)
			t.Logf("the stop of %d at %s took %s; longest gap in writes %s, begun %s after the stop; longest refusal %s; %v",
				x.i, at, left-at, gap, since-at, faulttest.LongestRefusal(ops), counts(ops))
		})
	}
}

func (d departure) judge(t *testing.T, x *departing, part string, ops []faulttest.Op) {
	t.Helper()
	killedPrimary := d.silent && part == "primary"
	if gap, _ := faulttest.LongestGap(ops); gap > failoverLimit {
		t.Errorf("no write for %s", gap)
	}
	reportOps(t, "failed", ops, func(op faulttest.Op) bool {
		atStopped := d.entry && sessionEntry(op) == x.i
		switch {
		case op.Outcome == faulttest.Acked:
			return false
		case killedPrimary:
			return false // the history has been checked
		case atStopped && !op.Begun && strings.Contains(op.Detail, "57P01") && op.Outcome == faulttest.NotRun:
			return false // an idle session that was ended, or a request that was refused with the end
		default:
			return d.drain || part == "replica" || atStopped || op.Outcome == faulttest.Unknown || op.Begun
		}
	})
	if r := faulttest.LongestRefusal(ops); r > statementDeadline && !killedPrimary && !d.entry {
		t.Errorf("work was refused for %s, longer than its deadline", r)
	}
}

// noNewWork fails if the owner of the server finishes cycles for a second.
func noNewWork(t *testing.T, x *departing) {
	t.Helper()
	finished := func() (n uint64, owned bool) {
		for _, st := range x.in.Statuses(x.ctx) {
			if st.Server == faulttest.ServerID(x.i) {
				n, owned = n+st.Successes+st.Failures, true
			}
		}
		return n, owned
	}
	before, owned := finished()
	time.Sleep(time.Second)
	if after, _ := finished(); after != before {
		t.Errorf("%d cycles ran at the server later than %s after its drain (owned: %t)", after-before, drainLimit, owned)
	}
}
