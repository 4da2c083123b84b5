package schedule_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/arbutusring/arbutusring/internal/schedule"
)

// BenchmarkSchedulerFlood measures the latency of the urgent rank at 10% of the
// capacity, alone and together with bulk load of ten times the capacity, and the
// share of slot time that bulk gets. It runs in real time, so the results include
// the noise of the machine; TestUrgentUnderOverload logs the same figures in
// virtual time.
func BenchmarkSchedulerFlood(b *testing.B) {
	serviceTime := func() time.Duration { return 5 * time.Millisecond }
	for b.Loop() {
		alone, _ := generateUrgentLoad(2*time.Second, serviceTime, 0)
		loaded, bulk := generateUrgentLoad(2*time.Second, serviceTime, 10)
		b.ReportMetric(float64(alone.ValueAtQuantile(99)), "alone-p99-us")
		b.ReportMetric(float64(loaded.ValueAtQuantile(50)), "flood-p50-us")
		b.ReportMetric(float64(loaded.ValueAtQuantile(99)), "flood-p99-us")
		b.ReportMetric(bulk, "bulk-share")
	}
}

// TestUrgentUnderOverload guards against bulk load that delays the urgent rank by
// more than about the remaining time of one running request.
func TestUrgentUnderOverload(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name        string
		serviceTime func() time.Duration
		ratio       float64
	}{
		{"fixed service time", func() time.Duration { return 5 * time.Millisecond }, 2},
		{"exponential service time", func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(5*time.Millisecond)) }, 1.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				alone, _ := generateUrgentLoad(20*time.Second, tc.serviceTime, 0)
				loaded, bulk := generateUrgentLoad(20*time.Second, tc.serviceTime, 10)
				ratio := float64(loaded.ValueAtQuantile(99)) / float64(alone.ValueAtQuantile(99))
				t.Logf("urgent p50 %d us and p99 %d us alone, %d us and %d us under overload (p99 ratio %.2f); bulk's share %.2f",
					alone.ValueAtQuantile(50), alone.ValueAtQuantile(99), loaded.ValueAtQuantile(50), loaded.ValueAtQuantile(99), ratio, bulk)
				if ratio > tc.ratio || bulk < 0.75 {
					t.Errorf("p99 ratio is %.2f, must be at most %.1f; bulk's share is %.2f", ratio, tc.ratio, bulk)
				}
			})
		})
	}
}

// generateLoad sends requests of each rank to a scheduler with 3 slots. loads gives
// the load of a rank as a multiple of the capacity, for a mean service time of
// 5 ms. It returns the latencies of urgent requests in microseconds, and the share
// of slot time that each rank got.
func generateLoad(length time.Duration, serviceTime func() time.Duration, ranks []schedule.RankSpec, loads map[string]float64) (*hdrhistogram.Histogram, map[string]float64) {
	const slots, mean = 3, 5 * time.Millisecond
	s := schedule.New(schedule.Options{Slots: slots, Ranks: ranks})
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	shares := make(map[string]float64)
	var mu sync.Mutex
	var all sync.WaitGroup
	run := func(rank string) {
		start := time.Now()
		slot, err := s.Acquire(ctx, rank, "", start.Add(time.Minute))
		if err != nil {
			return
		}
		d := serviceTime()
		time.Sleep(d)
		s.Release(slot)
		mu.Lock()
		defer mu.Unlock()
		shares[rank] += float64(d) / float64(length*slots)
		if rank == "urgent" {
			_ = h.RecordValue(time.Since(start).Microseconds()) // no latency exceeds a minute
		}
	}
	for rank, load := range loads {
		// The interval is not a multiple of the service time, so that requests
		// arrive in every phase of the running ones.
		interval := time.Duration(float64(mean)/slots/load) + 37*time.Microsecond
		all.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(interval)
				all.Go(func() { run(rank) })
			}
		})
	}
	all.Wait()
	return h, shares
}

// generateUrgentLoad runs generateLoad with an urgent load of a tenth of the
// capacity and a bulk load of the given multiple of the capacity. It returns the
// urgent latencies and the bulk's share of slot time.
func generateUrgentLoad(length time.Duration, serviceTime func() time.Duration, bulk float64) (*hdrhistogram.Histogram, float64) {
	loads := map[string]float64{"urgent": 0.1}
	if bulk > 0 {
		loads["bulk"] = bulk
	}
	h, shares := generateLoad(length, serviceTime, rankSpecs(0, 0.2, 0.1), loads)
	return h, shares["bulk"]
}
