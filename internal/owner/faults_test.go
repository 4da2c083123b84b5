package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"pgregory.net/rapid"
)

// faults are the events of TestAcknowledgementsUnderFaults.
var faults = []struct {
	renew time.Duration // the event renews the lease of term 1 for this time
	ends  bool          // no lease of term 1 is granted from here on
	over  bool          // nothing is acknowledged any more
	act   func(r *harness)
}{
	{renew: 50 * time.Millisecond},
	{renew: time.Second},
	{ends: true, over: true, act: func(r *harness) { r.revoke(0, 1) }},
	{ends: true, over: true, act: func(r *harness) { r.revoke(1, 0) }},
	{ends: true, act: func(r *harness) { r.unlist() }},
	{ends: true, act: func(r *harness) { r.lease(time.Hour, true, 2) }},
	{act: func(r *harness) { r.server.set(func(f *fakeServer) { f.stalled = true }) }},
	{act: func(r *harness) { r.server.set(func(f *fakeServer) { f.stalled, f.lag = false, 30*time.Millisecond }) }},
	{act: func(r *harness) { r.server.set(func(f *fakeServer) { f.silentOld = f.conns }) }},
	{act: func(r *harness) { r.server.set(func(f *fakeServer) { f.cutCommit = !f.cutCommit }) }},
}

// TestAcknowledgementsUnderFaults guards, under random faults, against
// acknowledging a write without a majority or a valid lease, running a write
// twice, and answering not_run for one that ran. With one mechanism off the
// check must find a violation.
func TestAcknowledgementsUnderFaults(t *testing.T) {
	t.Parallel()
	check := func(rt *rapid.T, off owner.Disabled) (fault string) {
		events := rapid.SliceOfN(rapid.IntRange(0, len(faults)-1), 1, 8).Draw(rt, "events")
		gaps := rapid.SliceOfN(rapid.IntRange(1, 60), len(events), len(events)).Draw(rt, "gaps")
		run(t, owner.Options{Disabled: off}, func(_ *testing.T, r *harness) {
			until := time.Now().Add(100 * time.Millisecond)
			r.lease(100*time.Millisecond, true, 1)
			over := false
			done := make(chan string)
			for w := range uint64(4) {
				go func() {
					found := ""
					for i := range 25 {
						sql := fmt.Sprintf("INSERT %d-%d", w, i)
						a := r.args(w, sql)
						a.Budget = 200 * time.Millisecond
						got := r.exec(a)
						r.server.set(func(f *fakeServer) {
							switch ran := f.count(sql); {
							case ran > 1:
								found = "a write ran twice"
							case ran > 0 && got.Kind.Info().Outcome == errkind.NotRun:
								found = fmt.Sprintf("a write ran and was answered %q", got.Kind)
							case got.Kind == errkind.OK && !f.reported.Covers(got.Position):
								found = "acknowledged without a majority"
							case got.Kind == errkind.OK && !time.Now().Before(until):
								found = "acknowledged without a lease"
							}
						})
						time.Sleep(time.Millisecond)
					}
					done <- found
				}()
			}
			for i, e := range events {
				time.Sleep(time.Duration(gaps[i]) * time.Millisecond)
				next := until
				switch fault := faults[e]; {
				case fault.renew == 0:
					fault.act(r)
					over = over || fault.ends
					if fault.over {
						next = time.Time{}
					}
				case !over:
					next = time.Now().Add(fault.renew)
					r.lease(fault.renew, true, 1)
				}
				r.server.set(func(*fakeServer) { until = next })
			}
			for range 4 {
				if found := <-done; found != "" {
					fault = found
				}
			}
		})
		return fault
	}
	rapid.Check(t, func(rt *rapid.T) {
		if fault := check(rt, owner.Disabled{}); fault != "" {
			rt.Fatal(fault)
		}
	})
	for _, off := range []owner.Disabled{{Majority: true}, {LeaseAtAnswer: true}} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			if found == 0 && check(rt, off) != "" {
				found++
			}
		})
		if found == 0 {
			t.Errorf("no violation was found with %+v", off)
		}
	}
}
