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

// wrongHealthLimit is the documented limit for the time after a change during
// which health answers may still be wrong.
const wrongHealthLimit = 3 * time.Second

// healthPolicy adds a pool of all entry hosts.
const healthPolicy = faulttest.DefaultPolicy + `
[[proxy_pool]]
name = "everywhere"
hosts = ""
`

// healthSample is the health of all objects as reported by one entry.
type healthSample struct {
	askedAt, answeredAt time.Duration
	answers             map[string]health.Answer // by kind and name
}

// pollHealth polls the health of all objects from an entry until stop is
// closed.
func pollHealth(ctx context.Context, in *faulttest.Installation, began time.Time, entry int, stop <-chan struct{}) []healthSample {
	var all []healthSample
	for {
		sample := healthSample{askedAt: time.Since(began), answers: make(map[string]health.Answer)}
		var answers []health.Answer
		if err := (operator.Client{Address: in.EntryOperator(entry)}).Health(ctx, "", "", &answers); err == nil {
			sample.answeredAt = time.Since(began)
			for _, answer := range answers {
				sample.answers[string(answer.Kind)+" "+answer.Name] = answer
			}
			all = append(all, sample)
		}
		select {
		case <-stop:
			return all
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// expectation lists the statuses that an object may have during a fault, later
// than wrongHealthLimit after its start. In addition, an object may be down
// while no write is acknowledged. The functions take the number of the faulty
// component.
type expectation struct {
	askedEntry      func(index int) int // number of the entry that is asked
	object          func(index int) string
	allowedStatuses []health.Status
}

func anotherEntry(index int) int  { return (index + 1) % 3 }
func sameEntry(index int) int     { return index }
func groupObject(int) string      { return "database_group " + faulttest.Group }
func poolObject(int) string       { return "proxy_pool everywhere" }
func hostObject(index int) string { return "host " + faulttest.EntryID(index) }

// TestHealthMatchesFaults guards against health answers that say "up" for a
// component that has failed or "down" for one that works, later than the
// documented limit after a fault or after its repair.
func TestHealthMatchesFaults(t *testing.T) {
	t.Parallel()
	ctx, in := startInstallation(t, healthPolicy)
	setFreeze := func(value string) func(c *component) error {
		return func(c *component) error { return c.in.Server(c.index).SetFault(standin.FaultFreeze, value) }
	}
	memberLost := []expectation{
		{anotherEntry, groupObject, []health.Status{health.Degraded}},
		{anotherEntry, poolObject, []health.Status{health.Up}},
	}
	hostLost := []expectation{
		{anotherEntry, hostObject, []health.Status{health.Unknown, health.Down}},
		{anotherEntry, poolObject, []health.Status{health.Degraded}},
		{anotherEntry, groupObject, []health.Status{health.Up}},
	}
	for _, tc := range []struct {
		name       string
		find       func(c *component) (int, bool)
		begin, end func(c *component) error
		expected   []expectation
	}{
		{"kill primary", primary, killed.begin, startServer, memberLost},
		{"freeze primary", primary, setFreeze("on"), setFreeze("off"), memberLost},
		{"kill replica", replica, killed.begin, startServer, memberLost},
		{"kill entry", owner, func(c *component) error {
			c.in.KillEntry(c.index)
			return nil
		}, startEntry, hostLost},
		{"isolate entry", owner, func(c *component) error {
			for i := range 3 {
				c.in.Network.Cut(faulttest.EntryID(c.index), faulttest.ControlID(i))
				c.in.Network.Cut(faulttest.ControlID(i), faulttest.EntryID(c.index))
			}
			return nil
		}, func(c *component) error {
			c.in.Network.Heal()
			return nil
		}, append([]expectation{
			{sameEntry, hostObject, []health.Status{health.Unknown}},
			{sameEntry, groupObject, []health.Status{health.Unknown}},
			{sameEntry, poolObject, []health.Status{health.Unknown}},
		}, hostLost...)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(in.WaitServing(ctx))
			time.Sleep(time.Second)
			c := &component{ctx: ctx, in: in}
			var ok bool
			c.index, ok = tc.find(c)
			is.True(ok)
			load := startLoad(ctx, t, in, tc.name, faulttest.OpAppend)
			stop := make(chan struct{})
			var polling sync.WaitGroup
			var samples [3][]healthSample
			for i := range samples {
				polling.Go(func() { samples[i] = pollHealth(ctx, in, load.Began, i, stop) })
			}
			time.Sleep(time.Second)
			faultAt := load.Now()
			is.NoErr(tc.begin(c))
			time.Sleep(wrongHealthLimit + 1200*time.Millisecond)
			repairedAt := load.Now()
			is.NoErr(tc.end(c))
			time.Sleep(wrongHealthLimit + 1200*time.Millisecond)
			close(stop)
			polling.Wait()
			ops := stopLoad(ctx, t, in, load, in.Repair)
			summary := ""
			for _, e := range tc.expected {
				object, entrySamples := e.object(c.index), samples[e.askedEntry(c.index)]
				during := checkHealth(t, entrySamples, ops, object, faultAt, repairedAt, e.allowedStatuses)
				after := checkHealth(t, entrySamples, ops, object, repairedAt, load.Now(), []health.Status{health.Up})
				summary += fmt.Sprintf("; %s asked at entry %d: %s, %s after the repair", object, e.askedEntry(c.index), during, after)
			}
			t.Logf("time until the last wrong answer%s", summary)
		})
	}
}

// checkHealth fails the test if a sample that was taken between from and to,
// and later than wrongHealthLimit after from, has a status of the object that
// is not allowed, or if no such sample has an allowed one. It returns how long
// after from the last status that is not allowed arrived.
func checkHealth(t *testing.T, samples []healthSample, ops []faulttest.Op, object string, from, to time.Duration, allowed []health.Status) time.Duration {
	t.Helper()
	var lastWrong time.Duration
	allowedSeen := 0
	for _, sample := range samples {
		if sample.askedAt < from || sample.answeredAt > to {
			continue
		}
		got := sample.answers[object]
		if slices.Contains(allowed, got.Status) {
			if sample.askedAt > from+wrongHealthLimit {
				allowedSeen++
			}
			continue
		}
		lastWrong = max(lastWrong, sample.answeredAt-from)
		if sample.askedAt <= from+wrongHealthLimit {
			continue
		}
		if got.Status == health.Down && !anyWriteAcked(ops, sample.askedAt-wrongHealthLimit, sample.answeredAt) {
			continue // no write is acknowledged, so "down" is right
		}
		t.Errorf("%s is %q (%s) %s after the change, want one of %v", object, got.Status, got.Cause, sample.askedAt-from, allowed)
		return lastWrong
	}
	if allowedSeen == 0 {
		t.Errorf("%s: no allowed status was reported later than %s after the change", object, wrongHealthLimit)
	}
	return lastWrong
}

// anyWriteAcked reports whether a write was acknowledged between from and to.
func anyWriteAcked(ops []faulttest.Op, from, to time.Duration) bool {
	return slices.ContainsFunc(ops, func(op faulttest.Op) bool {
		return op.Kind != faulttest.OpRead && op.Outcome == faulttest.Acked && op.End >= from && op.End <= to
	})
}
