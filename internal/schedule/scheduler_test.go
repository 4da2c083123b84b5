package schedule_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func rankSpecs(urgent, normal, bulk float64) []schedule.RankSpec {
	return []schedule.RankSpec{
		{Name: "urgent", Floor: urgent, QueueLimit: 100}, {Name: "normal", Floor: normal, QueueLimit: 100}, {Name: "bulk", Floor: bulk, QueueLimit: 100},
	}
}

// testRequest is a request of the property test.
type testRequest struct {
	rank                          string
	arrival, serviceTime, timeout time.Duration
	started                       time.Duration // -1 if it did not start
	kind                          errkind.Kind
}

// TestSchedulerProperties guards, under random load, against more running requests
// than slots, idle slots while requests wait, a changed order within a rank, a
// lower rank served before a higher one, a start after the deadline, and slots
// that are never released.
func TestSchedulerProperties(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		requests := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) *testRequest {
			return &testRequest{
				rank:    rapid.SampledFrom([]string{"urgent", "normal", "bulk"}).Draw(rt, "rank"),
				arrival: time.Duration(rapid.IntRange(0, 200).Draw(rt, "at")) * time.Millisecond, serviceTime: time.Duration(rapid.IntRange(1, 50).Draw(rt, "serve")) * time.Millisecond,
				timeout: time.Duration(rapid.IntRange(1, 300).Draw(rt, "limit")) * time.Millisecond, started: -1,
			}
		}), 1, 40).Draw(rt, "jobs")
		for i, r := range requests {
			r.arrival += time.Duration(i) * time.Microsecond // distinct arrivals
			r.serviceTime += time.Duration(i) * 10 * time.Microsecond
		}
		var violation string
		synctest.Test(t, func(*testing.T) { violation = simulate(slots, requests) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func simulate(slots int, requests []*testRequest) (violation string) {
	s := schedule.New(schedule.Options{Slots: slots, Ranks: rankSpecs(0, 0, 0)})
	begin := time.Now()
	for _, r := range requests {
		go func() {
			time.Sleep(r.arrival)
			deadline := time.Now().Add(r.timeout)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			slot, err := s.Acquire(ctx, r.rank, "", deadline)
			if r.kind = errkind.Of(err); err == nil {
				r.started = time.Since(begin)
				time.Sleep(r.serviceTime)
				s.Release(slot)
			}
		}()
	}
	for range 4000 {
		time.Sleep(time.Millisecond)
		synctest.Wait()
		queued, _, _ := s.Load()
		if busy := s.Busy(); busy > slots || (len(queued) > 0 && busy < slots) {
			return fmt.Sprintf("%d of %d slots are busy while %v wait", busy, slots, queued)
		}
	}
	if s.Busy() != 0 {
		return "slots were not released"
	}
	order := map[string]int{"urgent": 0, "normal": 1, "bulk": 2}
	for _, a := range requests {
		if a.started < 0 {
			if a.kind.Info().Outcome != errkind.NotRun {
				return fmt.Sprintf("a request that did not start was refused as %q", a.kind)
			}
			continue
		}
		if a.started >= a.arrival+a.timeout {
			return "a request started after its deadline"
		}
		for _, b := range requests {
			waited := b.started > a.started && b.arrival < a.started
			if waited && order[b.rank] < order[a.rank] && a.started > a.arrival {
				return fmt.Sprintf("%+v started before %+v of a higher rank", a, b)
			}
			if waited && a.rank == b.rank && b.arrival < a.arrival {
				return fmt.Sprintf("%+v started before %+v, which came first", a, b)
			}
		}
	}
	return ""
}

// TestFloorsHoldUnderOverload guards against starving a lower rank while a higher
// one overloads the server. Without floors the lower ranks must starve.
func TestFloorsHoldUnderOverload(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		floors  []float64
		starved bool
	}{
		{"floors", []float64{0, 0.2, 0.1}, false},
		{"small floors", []float64{0, 0.05, 0.02}, false},
		{"no floors", []float64{0, 0, 0}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixed := func() time.Duration { return 5 * time.Millisecond }
				_, shares := generateLoad(10*time.Second, fixed, rankSpecs(0, tc.floors[1], tc.floors[2]), map[string]float64{"urgent": 2, "normal": 2, "bulk": 2})
				t.Logf("shares: %v", shares)
				for i, name := range []string{"normal", "bulk"} {
					if tc.starved != (shares[name] < 0.01) || shares[name] < 0.9*tc.floors[i+1] {
						t.Errorf("rank %s got the share %.3f, its floor is %.3f", name, shares[name], tc.floors[i+1])
					}
				}
				if shares["urgent"] < 0.65 {
					t.Errorf("the urgent rank got the share %.3f", shares["urgent"])
				}
			})
		})
	}
}

// TestAdmission guards against queueing requests that are bound to miss their
// deadline, and against refusing requests that can start.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		s := schedule.New(schedule.Options{Slots: 1, Ranks: rankSpecs(0, 0, 0)})
		slot, err := s.Acquire(ctx, "bulk", "", time.Now().Add(time.Second))
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
		s.Release(slot)
		slot, err = s.Acquire(ctx, "bulk", "", time.Now().Add(time.Millisecond))
		is.NoErr(err) // a free slot needs no estimate
		for range 3 {
			go func() {
				if slot, err := s.Acquire(ctx, "bulk", "", time.Now().Add(time.Minute)); err == nil {
					time.Sleep(100 * time.Millisecond)
					s.Release(slot)
				}
			}()
		}
		synctest.Wait()
		begin := time.Now()
		_, err = s.Acquire(ctx, "bulk", "", time.Now().Add(150*time.Millisecond))
		is.Equal(errkind.Of(err), errkind.Overloaded)
		is.Equal(time.Since(begin), time.Duration(0)) // without waiting
		short, cancel := context.WithTimeout(ctx, 150*time.Millisecond)
		defer cancel()
		deadline, _ := short.Deadline()
		_, err = s.Acquire(short, "urgent", "", deadline) // goes ahead of the queue, but the slot is not released
		is.Equal(errkind.Of(err), errkind.DeadlineExceeded)
		s.Release(slot)
		time.Sleep(time.Second)
		is.Equal(s.Busy(), 0)
	})
}

// TestBurstBeforeFirstObservation sends a burst of requests before any request has
// ended, as happens after a power failure. It guards against requests that are
// queued although they can't start in time, and refused only at their deadline.
func TestBurstBeforeFirstObservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const service, limit = 25 * time.Millisecond, 490 * time.Millisecond
		s := schedule.New(schedule.Options{Slots: 1, Ranks: rankSpecs(0, 0, 0.1), AssumedServiceTime: service})
		var late, refused, served atomic.Int64
		var all sync.WaitGroup
		for range 90 {
			all.Go(func() {
				begun := time.Now()
				slot, err := s.Acquire(t.Context(), "bulk", "", begun.Add(limit))
				switch {
				case err == nil:
					time.Sleep(service)
					s.Release(slot)
					served.Add(1)
				case time.Since(begun) > 0:
					late.Add(1)
				default:
					refused.Add(1)
				}
			})
		}
		all.Wait()
		is.Equal(late.Load(), int64(0))                  // requests are refused without waiting
		is.True(served.Load() >= int64(limit/service)-1) // and only those that can't start in time
	})
}
