package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"pgregory.net/rapid"
)

// faultEvents are the events of TestAcknowledgementsUnderFaults.
var faultEvents = []struct {
	renew     time.Duration // if not zero, the event renews the lease of term 1 for this time
	endsLease bool          // no lease of term 1 is granted after the event
	endsAcks  bool          // nothing may be acknowledged after the event
	apply     func(r *harness)
}{
	{renew: 50 * time.Millisecond},
	{renew: time.Second},
	{endsLease: true, endsAcks: true, apply: func(r *harness) { r.revoke(0, 1) }},
	{endsLease: true, endsAcks: true, apply: func(r *harness) { r.revoke(1, 0) }},
	{endsLease: true, apply: func(r *harness) { r.withdrawLeases() }},
	{endsLease: true, apply: func(r *harness) { r.grantLease(time.Hour, true, 2) }},
	{apply: func(r *harness) { r.server.set(func(f *fakeServer) { f.replicationStalled = true }) }},
	{apply: func(r *harness) {
		r.server.set(func(f *fakeServer) { f.replicationStalled, f.replicationLag = false, 30*time.Millisecond })
	}},
	{apply: func(r *harness) { r.server.set(func(f *fakeServer) { f.unresponsiveUpTo = f.connsOpened }) }},
	{apply: func(r *harness) { r.server.set(func(f *fakeServer) { f.loseCommitAnswer = !f.loseCommitAnswer }) }},
}

// TestAcknowledgementsUnderFaults guards, under random faults, against
// acknowledging a write without a majority or a valid lease, running a write
// twice, and answering not_run for a write that ran. With a mechanism disabled,
// the check must find a violation.
func TestAcknowledgementsUnderFaults(t *testing.T) {
	t.Parallel()
	check := func(rt *rapid.T, disabled owner.Disabled) (fault string) {
		events := rapid.SliceOfN(rapid.IntRange(0, len(faultEvents)-1), 1, 8).Draw(rt, "events")
		gaps := rapid.SliceOfN(rapid.IntRange(1, 60), len(events), len(events)).Draw(rt, "gaps")
		runTest(t, owner.Options{Disabled: disabled}, func(_ *testing.T, r *harness) {
			leaseUntil := time.Now().Add(100 * time.Millisecond)
			r.grantLease(100*time.Millisecond, true, 1)
			leaseEnded := false
			done := make(chan string)
			for w := range uint64(4) {
				go func() {
					found := ""
					for i := range 25 {
						sql := fmt.Sprintf("INSERT %d-%d", w, i)
						a := r.writeArgs(w, sql)
						a.Budget = 200 * time.Millisecond
						got := r.exec(a)
						r.server.set(func(f *fakeServer) {
							switch ran := f.runCountLocked(sql); {
							case ran > 1:
								found = "a write ran twice"
							case ran > 0 && got.Kind.Info().Outcome == errkind.NotRun:
								found = fmt.Sprintf("a write ran and was answered %q", got.Kind)
							case got.Kind == errkind.OK && !f.reportedPosition.AtLeast(got.Position):
								found = "acknowledged without a majority"
							case got.Kind == errkind.OK && !time.Now().Before(leaseUntil):
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
				nextUntil := leaseUntil
				switch fault := faultEvents[e]; {
				case fault.renew == 0:
					fault.apply(r)
					leaseEnded = leaseEnded || fault.endsLease
					if fault.endsAcks {
						nextUntil = time.Time{}
					}
				case !leaseEnded:
					nextUntil = time.Now().Add(fault.renew)
					r.grantLease(fault.renew, true, 1)
				}
				r.server.set(func(*fakeServer) { leaseUntil = nextUntil })
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
	for _, disabled := range []owner.Disabled{{Majority: true}, {LeaseAtAnswer: true}} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			if found == 0 && check(rt, disabled) != "" {
				found++
			}
		})
		if found == 0 {
			t.Errorf("no violation was found with %+v", disabled)
		}
	}
}
