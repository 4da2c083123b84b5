package faulttest_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/health"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/matryer/is"
)

// wrongLimit is the stated age of the oldest wrong health answer.
const wrongLimit = 3 * time.Second

// healthPolicy adds a pool of all entry hosts.
const healthPolicy = faulttest.DefaultPolicy + `
[[proxy_pool]]
name = "everywhere"
hosts = ""
`

// healthAnswer is the status of all objects as one entry told it.
type healthAnswer struct {
	asked, got time.Duration
	status     map[string]health.Answer // by kind and name
}

// askHealth asks an entry until stop is closed.
func askHealth(ctx context.Context, in *faulttest.Installation, began time.Time, entry int, stop <-chan struct{}) []healthAnswer {
	var all []healthAnswer
	for {
		a := healthAnswer{asked: time.Since(began), status: make(map[string]health.Answer)}
		var answers []health.Answer
		if err := (operator.Client{Address: in.EntryOperator(entry)}).Health(ctx, "", "", &answers); err == nil {
			a.got = time.Since(began)
			for _, x := range answers {
				a.status[string(x.Kind)+" "+x.Name] = x
			}
			all = append(all, a)
		}
		select {
		case <-stop:
			return all
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// expectation is what an object may be during a fault, later than wrongLimit
// after it. The group may be down only while no write is acknowledged.
type expectation struct {
	asked  func(part int) int // entry that is asked, by the number of the part
	object func(part int) string
	during []health.Status
}

func anotherEntry(part int) int { return (part + 1) % 3 }
func itself(part int) int       { return part }
func group(int) string          { return "database_group " + faulttest.Group }
func pool(int) string           { return "proxy_pool everywhere" }
func host(part int) string      { return "host " + faulttest.EntryID(part) }

// TestHealthMatchesFaults guards against health answers that say "up" for a
// part that has failed or "down" for one that works, later than the stated
// limit after a fault and after its repair.
func TestHealthMatchesFaults(t *testing.T) {
	t.Parallel()
	ctx, in := start(t, healthPolicy)
	setFreeze := func(value string) func(x *departing) error {
		return func(x *departing) error { return x.in.Server(x.i).SetFault(standin.FaultFreeze, value) }
	}
	memberLost := []expectation{
		{anotherEntry, group, []health.Status{health.Degraded}},
		{anotherEntry, pool, []health.Status{health.Up}},
	}
	hostLost := []expectation{
		{anotherEntry, host, []health.Status{health.Unknown, health.Down}},
		{anotherEntry, pool, []health.Status{health.Degraded}},
		{anotherEntry, group, []health.Status{health.Up}},
	}
	for _, tc := range []struct {
		name       string
		find       func(x *departing) (int, bool)
		begin, end func(x *departing) error
		expected   []expectation
	}{
		{"kill primary", primary, silent.begin, startServer, memberLost},
		{"freeze primary", primary, setFreeze("on"), setFreeze("off"), memberLost},
		{"kill replica", replica, silent.begin, startServer, memberLost},
		{"kill entry", owner, func(x *departing) error {
			x.in.KillEntry(x.i)
			return nil
		}, startEntry, hostLost},
		{"isolate entry", owner, func(x *departing) error {
			for i := range 3 {
				x.in.Network.Cut(faulttest.EntryID(x.i), faulttest.ControlID(i))
				x.in.Network.Cut(faulttest.ControlID(i), faulttest.EntryID(x.i))
			}
			return nil
		}, func(x *departing) error {
			x.in.Network.Heal()
			return nil
		}, append([]expectation{
			{itself, host, []health.Status{health.Unknown}},
			{itself, group, []health.Status{health.Unknown}},
			{itself, pool, []health.Status{health.Unknown}},
		}, hostLost...)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(in.WaitServing(ctx))
			time.Sleep(time.Second)
			x := &departing{ctx: ctx, in: in}
			var ok bool
			x.i, ok = tc.find(x)
			is.True(ok)
			load := startLoad(ctx, t, in, tc.name, faulttest.OpAppend)
			stop := make(chan struct{})
			var asking sync.WaitGroup
			var answers [3][]healthAnswer
			for i := range answers {
				asking.Go(func() { answers[i] = askHealth(ctx, in, load.Began, i, stop) })
			}
			time.Sleep(time.Second)
			at := load.Now()
			is.NoErr(tc.begin(x))
			time.Sleep(wrongLimit + 1200*time.Millisecond)
			repaired := load.Now()
			is.NoErr(tc.end(x))
			time.Sleep(wrongLimit + 1200*time.Millisecond)
			close(stop)
			asking.Wait()
			ops := stopLoad(ctx, t, in, load, in.Repair)
			summary := ""
			for _, e := range tc.expected {
				object, list := e.object(x.i), answers[e.asked(x.i)]
				during := judgeHealth(t, list, ops, object, at, repaired, e.during)
				after := judgeHealth(t, list, ops, object, repaired, load.Now(), []health.Status{health.Up})
				summary += fmt.Sprintf("; %s asked at entry %d: %s, %s after the repair", object, e.asked(x.i), during, after)
			}
			t.Logf("right after%s", summary)
		})
	}
}

// judgeHealth fails the test for wrong answers later than wrongLimit after
// from, and returns how long after from the last wrong answer came.
func judgeHealth(t *testing.T, list []healthAnswer, ops []faulttest.Op, object string, from, until time.Duration, right []health.Status) time.Duration {
	t.Helper()
	var last time.Duration
	seen := 0
	for _, a := range list {
		if a.asked < from || a.got > until {
			continue
		}
		got := a.status[object]
		if slices.Contains(right, got.Status) {
			if a.asked > from+wrongLimit {
				seen++
			}
			continue
		}
		last = max(last, a.got-from)
		if a.asked <= from+wrongLimit {
			continue
		}
		if got.Status == health.Down && !acknowledged(ops, a.asked-wrongLimit, a.got) {
			continue // nothing can be written, so "down" is the truth
		}
		t.Errorf("%s is %q (%s) %s after the change, want one of %v", object, got.Status, got.Cause, a.asked-from, right)
		return last
	}
	if seen == 0 {
		t.Errorf("%s: no right answer later than %s after the change", object, wrongLimit)
	}
	return last
}

// acknowledged reports whether a write was acknowledged in a time span.
func acknowledged(ops []faulttest.Op, from, until time.Duration) bool {
	return slices.ContainsFunc(ops, func(op faulttest.Op) bool {
		return op.Kind != faulttest.OpRead && op.Outcome == faulttest.Acked && op.End >= from && op.End <= until
	})
}
