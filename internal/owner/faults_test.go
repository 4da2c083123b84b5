package owner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"pgregory.net/rapid"
)

// faults are the events of TestAcknowledgementsUnderFaults. They return until
// when the host may acknowledge writes of term 1, and whether it gets no
// further lease for that term.
var faults = []struct {
	name string
	act  func(r *harness, until time.Time) (time.Time, bool)
}{
	{"renew", func(r *harness, _ time.Time) (time.Time, bool) { return r.renew(50 * time.Millisecond) }},
	{"renew longer", func(r *harness, _ time.Time) (time.Time, bool) { return r.renew(time.Second) }},
	{"revoke role", func(r *harness, _ time.Time) (time.Time, bool) { r.revoke(0, 1); return time.Time{}, true }},
	{"revoke lease", func(r *harness, _ time.Time) (time.Time, bool) { r.revoke(1, 0); return time.Time{}, true }},
	{"not listed", func(r *harness, until time.Time) (time.Time, bool) {
		r.SetLeases(time.Now(), &controlrpc.HeartbeatReply{TTL: time.Hour})
		return until, true
	}},
	{"later term", func(r *harness, until time.Time) (time.Time, bool) {
		r.lease(time.Hour, true, 2)
		return until, true
	}},
	{"replication stalls", func(r *harness, until time.Time) (time.Time, bool) {
		r.server.set(func(f *fakeServer) { f.stalled = true })
		return until, false
	}},
	{"replication goes on", func(r *harness, until time.Time) (time.Time, bool) {
		r.server.set(func(f *fakeServer) { f.stalled, f.lag = false, 30*time.Millisecond })
		return until, false
	}},
	{"silent", func(r *harness, until time.Time) (time.Time, bool) {
		r.server.set(func(f *fakeServer) { f.silentOld = f.conns })
		return until, false
	}},
	{"answers lost", func(r *harness, until time.Time) (time.Time, bool) {
		r.server.set(func(f *fakeServer) { f.cutCommit = !f.cutCommit })
		return until, false
	}},
}

// renew renews the lease of term 1.
func (r *harness) renew(ttl time.Duration) (time.Time, bool) {
	now := time.Now()
	r.lease(ttl, true, 1)
	return now.Add(ttl), false
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
							ran := 0
							for _, s := range f.ran {
								if s == sql {
									ran++
								}
							}
							switch {
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
				if over && strings.HasPrefix(faults[e].name, "renew") {
					continue
				}
				next, last := faults[e].act(r, until)
				over = over || last
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
