package owner_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestRepeatedRequestRunsOnce guards against executing a request again that
// arrives again, while it runs or after, and against a wrong answer to it.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	for _, tc := range []struct {
		name string
		off  bool
		gap  time.Duration
		want int
	}{
		{"while it runs", false, 500 * time.Microsecond, 1},
		{"while it waits for the majority", false, 2 * time.Millisecond, 1},
		{"after it", false, time.Second, 1},
		{"mechanism off", true, time.Second, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, owner.Options{Disabled: owner.Disabled{Outcomes: tc.off}}, func(t *testing.T, r *harness) {
				is := is.New(t)
				a := r.args(1, "INSERT a")
				first := r.start(a)
				time.Sleep(tc.gap)
				is.Equal(r.outcome(a).Running, tc.gap < 3*time.Millisecond)
				second := r.exec(a)
				is.Equal(second.Kind, errkind.OK)
				is.True(bytes.Equal((<-first).Messages, second.Messages))
				is.Equal(r.server.times("INSERT a"), tc.want)
				is.True(r.outcome(a).Found)
				time.Sleep(61 * time.Second)
				is.True(!r.outcome(a).Found)
			})
		})
	}
}

// TestRefusalIsRepeated guards against running a late copy of a request whose
// refusal was answered as not run.
func TestRefusalIsRepeated(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.lease(time.Hour, false, 1)
		a := r.args(1, "INSERT a")
		is.Equal(r.exec(a).Kind, errkind.NoPrimary)
		r.lease(time.Hour, true, 1)
		is.Equal(r.exec(a).Kind, errkind.NoPrimary)
		is.Equal(r.server.times("INSERT a"), 0)
	})
}

// TestCancelRaces guards against confirming the cancellation of a cycle that
// runs or will run, at any moment of the cycle and with several copies of it.
func TestCancelRaces(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		step := rapid.IntRange(0, 60)
		cancelAt := rapid.SliceOfN(step, 1, 3).Draw(rt, "cancel")
		sendAt := rapid.SliceOfN(step, 1, 3).Draw(rt, "send")
		load := rapid.IntRange(0, 8).Draw(rt, "load")
		var fault string
		run(t, owner.Options{}, func(_ *testing.T, r *harness) {
			for i := range load {
				r.start(r.read(uint64(10+i), "SELECT 1"))
			}
			synctest.Wait()
			a := r.args(1, "INSERT a")
			confirmed := make(chan bool, len(cancelAt))
			for _, at := range cancelAt {
				time.AfterFunc(time.Duration(at)*100*time.Microsecond, func() { confirmed <- r.cancel(a) })
			}
			kinds := make(chan errkind.Kind, len(sendAt))
			for _, at := range sendAt {
				time.AfterFunc(time.Duration(at)*100*time.Microsecond, func() { kinds <- r.exec(a).Kind })
			}
			time.Sleep(time.Second)
			ran := r.server.times("INSERT a")
			if ran > 1 {
				fault = fmt.Sprintf("ran %d times", ran)
			}
			for range cancelAt {
				if <-confirmed && ran > 0 {
					fault = "a confirmed cancellation ran"
				}
			}
			for range sendAt {
				if k := <-kinds; (k.Info().Outcome == errkind.NotRun) != (ran == 0) {
					fault = fmt.Sprintf("ran %d times, answered %q", ran, k)
				}
			}
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// TestOutcomeMemoryIsBounded guards against unbounded growth, and against
// executing a request again whose stored answer was dropped.
func TestOutcomeMemoryIsBounded(t *testing.T) {
	run(t, owner.Options{Limits: owner.Limits{OutcomeBytes: 200}}, func(t *testing.T, r *harness) {
		is := is.New(t)
		first := r.args(1, "INSERT a")
		is.Equal(r.exec(first).Kind, errkind.OK)
		for i := range 20 {
			is.Equal(r.exec(r.read(1, fmt.Sprintf("SELECT %d", i))).Kind, errkind.OK)
			is.Equal(r.exec(r.args(1, "INSERT b")).Kind, errkind.OK)
		}
		is.True(r.Dump().(owner.State).OutcomeBytes <= 200)
		is.Equal(r.exec(first).Kind, errkind.OutcomeUnknown)
		is.Equal(r.server.times("INSERT a"), 1)
	})
}

// TestRefusalsDoNotBlockWrites guards against a flood of refused writes that
// fills the store, and against forgetting a write that ran within seconds.
func TestRefusalsDoNotBlockWrites(t *testing.T) {
	run(t, owner.Options{Limits: owner.Limits{OutcomeRecords: 8}}, func(t *testing.T, r *harness) {
		is := is.New(t)
		first := r.args(1, "INSERT a")
		is.Equal(r.exec(first).Kind, errkind.OK)
		for range 100 {
			late := r.args(1, "INSERT b")
			late.Budget = -1
			is.Equal(r.exec(late).Kind, errkind.DeadlineExceeded)
		}
		for range 7 {
			is.Equal(r.exec(r.args(1, "INSERT c")).Kind, errkind.OK)
		}
		is.Equal(r.exec(r.args(1, "INSERT d")).Kind, errkind.Overloaded)
		is.Equal(r.exec(first).Kind, errkind.OK)
		is.Equal(r.server.times("INSERT a"), 1)
		time.Sleep(11 * time.Second)
		is.Equal(r.exec(r.args(1, "INSERT d")).Kind, errkind.OK)
		is.True(r.Dump().(owner.State).Outcomes <= 8+2)
	})
}
