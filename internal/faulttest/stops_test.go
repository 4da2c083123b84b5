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

// drainLimit is the documented limit for the time after which a draining
// server gets no new work.
const drainLimit = 5 * time.Second

// departure is one way in which a component leaves and returns.
type departure struct {
	name  string
	entry bool // the component is an entry
	begin func(c *component) error
	end   func(c *component) error
	drain bool // no new work may reach the server after drainLimit
	kill  bool // without notice: requests in progress at a primary may fail
}

// component is the process that a departure or fault affects.
type component struct {
	ctx   context.Context
	in    *faulttest.Installation
	index int // number among the processes of its kind
}

// drainServer returns a function that drains the server, or ends its draining
// if undo is set.
func drainServer(undo bool) func(c *component) error {
	return func(c *component) error {
		reply, err := operator.Client{Address: c.in.EntryOperator(0)}.Drain(c.ctx, &controlrpc.DrainArgs{
			ID: faulttest.ServerID(c.index), Undo: undo, ChangeID: fmt.Sprintf("drain-%d-%t-%d", c.index, undo, time.Now().UnixNano()),
		})
		if err == nil && reply.Kind != errkind.OK {
			err = errkind.New(reply.Kind, "%s", reply.Detail)
		}
		return err
	}
}

func stopServer(c *component) error {
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	return c.in.StopServer(ctx, c.index)
}

func startServer(c *component) error { return c.in.StartServer(c.index) }

func stopEntry(c *component) error {
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	return c.in.StopEntry(ctx, c.index)
}

func startEntry(c *component) error { return c.in.StartEntry(c.index) }

var (
	announcedStop = departure{name: "announced", begin: stopServer, end: startServer}
	killed        = departure{name: "silent", kill: true, end: startServer, begin: func(c *component) error {
		c.in.KillServer(c.index)
		return nil
	}}
	drained        = departure{name: "drained", drain: true, begin: drainServer(false), end: drainServer(true)}
	entryStopped   = departure{name: "stopped", entry: true, begin: stopEntry, end: startEntry}
	controlStopped = departure{name: "stopped", begin: func(c *component) error {
		ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
		defer cancel()
		return c.in.StopControl(ctx, c.index)
	}, end: func(c *component) error { return c.in.StartControl(c.index) }}
)

// primary, replica, owner, notOwner and leader select the component that
// leaves by its present role.
func primary(c *component) (int, bool) { return c.in.Primary(c.ctx) }

func replica(c *component) (int, bool) {
	i, ok := c.in.Primary(c.ctx)
	return (i + 1) % 3, ok
}

func owner(c *component) (int, bool) {
	i, ok := c.in.Primary(c.ctx)
	if !ok {
		return 0, false
	}
	return c.in.Owner(c.ctx, i)
}

func notOwner(c *component) (int, bool) {
	i, ok := owner(c)
	return (i + 1) % 3, ok
}

func leader(c *component) (int, bool) { return c.in.Leader() }

// TestDepartures guards against a planned stop or a departure of a backend
// server that aborts requests, leaves outcomes unknown, lets work be refused
// for longer than its deadline, or lets a drained server get new work.
func TestDepartures(t *testing.T) {
	ctx, in := startInstallation(t, "")
	for _, tc := range []struct {
		role string
		find func(c *component) (int, bool)
		departure
	}{
		{"replica", replica, announcedStop},
		{"replica", replica, killed},
		{"replica", replica, drained},
		{"primary", primary, announcedStop},
		{"primary", primary, drained},
		{"primary", primary, killed},
		{"entry", notOwner, entryStopped},
		{"owner of the primary", owner, entryStopped},
		{"control leader", leader, controlStopped},
	} {
		t.Run(tc.role+" "+tc.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(in.WaitServing(ctx))
			time.Sleep(time.Second) // lets the replicas start to follow
			c := &component{ctx: ctx, in: in}
			var ok bool
			c.index, ok = tc.find(c)
			is.True(ok)
			load := startLoad(ctx, t, in, t.Name(), mixedKinds...)
			time.Sleep(500 * time.Millisecond)
			stopAt := load.Now()
			is.NoErr(tc.begin(c))
			stoppedAt := load.Now()
			if tc.drain {
				time.Sleep(drainLimit - (stoppedAt - stopAt))
				expectNoNewWork(t, c)
			}
			time.Sleep(1500 * time.Millisecond)
			ops := stopLoad(ctx, t, in, load, func() error { return tc.end(c) })
			tc.checkOps(t, c, tc.role, ops)
			gap, gapAt := faulttest.LongestGap(ops)
			t.Logf("the stop of %d at %s took %s; longest gap in writes %s, begun %s after the stop; longest refusal %s; %v",
				c.index, stopAt, stoppedAt-stopAt, gap, gapAt-stopAt, faulttest.LongestRefusal(ops), outcomeCounts(ops))
		})
	}
}

// checkOps fails the test for operations that failed although the departure
// doesn't permit it, and for writes or sessions that stalled for too long.
func (d departure) checkOps(t *testing.T, c *component, role string, ops []faulttest.Op) {
	t.Helper()
	killedPrimary := d.kill && role == "primary"
	if gap, _ := faulttest.LongestGap(ops); gap > failoverLimit {
		t.Errorf("no write for %s", gap)
	}
	expectNoOps(t, "failed", ops, func(op faulttest.Op) bool {
		atStoppedEntry := d.entry && sessionEntry(op) == c.index
		switch {
		case op.Outcome == faulttest.Acked:
			return false
		case killedPrimary:
			return false // outcomes of any kind are allowed; stopLoad has checked the history
		case atStoppedEntry && !op.Begun && strings.Contains(op.Detail, "57P01") && op.Outcome == faulttest.NotRun:
			return false // the entry ended an idle session, or refused a request when it ended the session
		default:
			return d.drain || role == "replica" || atStoppedEntry || op.Outcome == faulttest.Unknown || op.Begun
		}
	})
	if r := faulttest.LongestRefusal(ops); r > statementDeadline && !killedPrimary && !d.entry {
		t.Errorf("work was refused for %s, longer than its deadline", r)
	}
}

// expectNoNewWork fails the test if the owner of the server finishes cycles
// within one second.
func expectNoNewWork(t *testing.T, c *component) {
	t.Helper()
	finished := func() (n uint64, owned bool) {
		for _, st := range c.in.Statuses(c.ctx) {
			if st.Server == faulttest.ServerID(c.index) {
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
