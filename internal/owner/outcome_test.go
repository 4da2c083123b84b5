package owner_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestRepeatedRequestRunsOnce guards against executing a repeated request again,
// while the first one runs or after it, and against answering it differently.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled bool
		delay    time.Duration
		want     int
	}{
		{"while it runs", false, 500 * time.Microsecond, 1},
		{"while it waits for the majority", false, 2 * time.Millisecond, 1},
		{"after it", false, time.Second, 1},
		{"mechanism off", true, time.Second, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runTest(t, owner.Options{Disabled: owner.Disabled{Outcomes: tc.disabled}}, func(t *testing.T, r *harness) {
				is := is.New(t)
				a := r.writeArgs(1, "INSERT a")
				first := r.execAsync(a)
				time.Sleep(tc.delay)
				is.Equal(r.outcome(a).Running, tc.delay < 3*time.Millisecond)
				second := r.exec(a)
				is.Equal(second.Kind, errkind.OK)
				is.True(bytes.Equal((<-first).Messages, second.Messages))
				is.Equal(r.server.runCount("INSERT a"), tc.want)
				is.True(r.outcome(a).Found)
				time.Sleep(61 * time.Second)
				is.True(!r.outcome(a).Found)
			})
		})
	}
}

// TestRefusalIsRepeated guards against running a late copy of a request that was
// refused with outcome not_run.
func TestRefusalIsRepeated(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.grantLease(time.Hour, false, 1)
		a := r.writeArgs(1, "INSERT a")
		is.Equal(r.exec(a).Kind, errkind.NoPrimary)
		r.grantLease(time.Hour, true, 1)
		is.Equal(r.exec(a).Kind, errkind.NoPrimary)
		is.Equal(r.server.runCount("INSERT a"), 0)
	})
}

// TestCancelRacesWithExec guards against confirming the cancellation of a cycle
// that ran or will run. Cancellations and several copies of the cycle arrive at
// random times.
func TestCancelRacesWithExec(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		step := rapid.IntRange(0, 60)
		cancelAt := rapid.SliceOfN(step, 1, 3).Draw(rt, "cancel")
		sendAt := rapid.SliceOfN(step, 1, 3).Draw(rt, "send")
		load := rapid.IntRange(0, 8).Draw(rt, "load")
		var fault string
		runTest(t, owner.Options{}, func(_ *testing.T, r *harness) {
			for i := range load {
				r.execAsync(r.readArgs(uint64(10+i), "SELECT 1"))
			}
			synctest.Wait()
			a := r.writeArgs(1, "INSERT a")
			confirmed := make(chan bool, len(cancelAt))
			for _, at := range cancelAt {
				time.AfterFunc(time.Duration(at)*100*time.Microsecond, func() { confirmed <- r.cancel(a) })
			}
			kinds := make(chan errkind.Kind, len(sendAt))
			for _, at := range sendAt {
				time.AfterFunc(time.Duration(at)*100*time.Microsecond, func() { kinds <- r.exec(a).Kind })
			}
			time.Sleep(time.Second)
			ran := r.server.runCount("INSERT a")
			if ran > 1 {
				fault = fmt.Sprintf("ran %d times", ran)
			}
			for range cancelAt {
				if <-confirmed && ran > 0 {
					fault = "a cycle ran although its cancellation was confirmed"
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

// TestOutcomeMemoryIsBounded guards against unbounded growth of the outcome
// store, and against executing a request again after its stored answer was
// removed.
func TestOutcomeMemoryIsBounded(t *testing.T) {
	runTest(t, owner.Options{Limits: owner.Limits{OutcomeBytes: 200}}, func(t *testing.T, r *harness) {
		is := is.New(t)
		first := r.writeArgs(1, "INSERT a")
		is.Equal(r.exec(first).Kind, errkind.OK)
		for i := range 20 {
			is.Equal(r.exec(r.readArgs(1, fmt.Sprintf("SELECT %d", i))).Kind, errkind.OK)
			is.Equal(r.exec(r.writeArgs(1, "INSERT b")).Kind, errkind.OK)
		}
		is.True(r.Dump().(owner.State).OutcomeBytes <= 200)
		is.Equal(r.exec(first).Kind, errkind.OutcomeUnknown)
		is.Equal(r.server.runCount("INSERT a"), 1)
	})
}

// TestRefusalsDoNotBlockWrites guards against many refused writes filling the
// outcome store, and against removing the outcome of a write that ran a few
// seconds ago.
func TestRefusalsDoNotBlockWrites(t *testing.T) {
	runTest(t, owner.Options{Limits: owner.Limits{OutcomeRecords: 8}}, func(t *testing.T, r *harness) {
		is := is.New(t)
		first := r.writeArgs(1, "INSERT a")
		is.Equal(r.exec(first).Kind, errkind.OK)
		for range 100 {
			late := r.writeArgs(1, "INSERT b")
			late.Budget = -1
			is.Equal(r.exec(late).Kind, errkind.DeadlineExceeded)
		}
		for range 7 {
			is.Equal(r.exec(r.writeArgs(1, "INSERT c")).Kind, errkind.OK)
		}
		is.Equal(r.exec(r.writeArgs(1, "INSERT d")).Kind, errkind.Overloaded)
		is.Equal(r.exec(first).Kind, errkind.OK)
		is.Equal(r.server.runCount("INSERT a"), 1)
		time.Sleep(11 * time.Second)
		is.Equal(r.exec(r.writeArgs(1, "INSERT d")).Kind, errkind.OK)
		is.True(r.Dump().(owner.State).Outcomes <= 8+2)
	})
}

// TestAnswerOfOtherRequest guards against the stored answer of one request that is given
// to another because both have the same id, or none.
func TestAnswerOfOtherRequest(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		a, b := r.writeArgs(1, "INSERT a"), r.writeArgs(2, "INSERT b")
		is.Equal(r.exec(a).Kind, errkind.OK)
		b.ID = a.ID
		is.Equal(r.exec(b).Kind, errkind.BadRequest)
		is.Equal(r.exec(a).Kind, errkind.OK) // the stored answer
		for _, id := range []ownerrpc.RequestID{{}, {Entry: "e1"}, {Number: 7}} {
			b.ID = id
			is.Equal(r.exec(b).Kind, errkind.BadRequest)
		}
		is.Equal(r.server.runCount("INSERT a"), 1)
		is.Equal(r.server.runCount("INSERT b"), 0)
	})
}
