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

// BenchmarkSchedulerFlood measures the urgent rank at 10% of the capacity,
// alone and with bulk work of ten times the capacity, and the bulk's share.
// It runs in real time, so it includes the noise of the machine;
// TestUrgentInFlood prints the same figures in virtual time.
func BenchmarkSchedulerFlood(b *testing.B) {
	serve := func() time.Duration { return 5 * time.Millisecond }
	for b.Loop() {
		alone, _ := offerUrgent(2*time.Second, serve, 0)
		loaded, bulk := offerUrgent(2*time.Second, serve, 10)
		b.ReportMetric(float64(alone.ValueAtQuantile(99)), "alone-p99-us")
		b.ReportMetric(float64(loaded.ValueAtQuantile(50)), "flood-p50-us")
		b.ReportMetric(float64(loaded.ValueAtQuantile(99)), "flood-p99-us")
		b.ReportMetric(bulk, "bulk-share")
	}
}

// TestUrgentInFlood guards against bulk work delaying the urgent rank by more
// than about the rest of one running statement.
func TestUrgentInFlood(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		serve func() time.Duration
		ratio float64
	}{
		{"fixed service time", func() time.Duration { return 5 * time.Millisecond }, 2},
		{"exponential service time", func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(5*time.Millisecond)) }, 1.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				alone, _ := offerUrgent(20*time.Second, tc.serve, 0)
				loaded, bulk := offerUrgent(20*time.Second, tc.serve, 10)
				ratio := float64(loaded.ValueAtQuantile(99)) / float64(alone.ValueAtQuantile(99))
				t.Logf("urgent p50 %d us and p99 %d us alone, %d us and %d us in the flood (p99 ratio %.2f); bulk's share %.2f",
					alone.ValueAtQuantile(50), alone.ValueAtQuantile(99), loaded.ValueAtQuantile(50), loaded.ValueAtQuantile(99), ratio, bulk)
				if ratio > tc.ratio || bulk < 0.75 {
					t.Errorf("p99 ratio is %.2f, must be at most %.1f; bulk's share is %.2f", ratio, tc.ratio, bulk)
				}
			})
		})
	}
}

// offer offers each rank's multiple of the capacity of 3 slots, for a mean
// service time of 5 ms. It returns the microseconds from arrival to end of
// urgent cycles, and the share of slot time that each rank got.
func offer(length time.Duration, serve func() time.Duration, ranks []schedule.RankSpec, rates map[string]float64) (*hdrhistogram.Histogram, map[string]float64) {
	const slots, mean = 3, 5 * time.Millisecond
	s := schedule.New(schedule.Options{Slots: slots, Ranks: ranks})
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	shares := make(map[string]float64)
	var mu sync.Mutex
	var all sync.WaitGroup
	work := func(rank string) {
		start := time.Now()
		slot, err := s.Acquire(ctx, rank, start.Add(time.Minute))
		if err != nil {
			return
		}
		d := serve()
		time.Sleep(d)
		s.Release(slot)
		mu.Lock()
		defer mu.Unlock()
		shares[rank] += float64(d) / float64(length*slots)
		if rank == "urgent" {
			_ = h.RecordValue(time.Since(start).Microseconds()) // no value is beyond a minute
		}
	}
	for rank, rate := range rates {
		// The interval is no multiple of the service time, so arrivals meet
		// every phase of the running statements.
		every := time.Duration(float64(mean)/slots/rate) + 37*time.Microsecond
		all.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(every)
				all.Go(func() { work(rank) })
			}
		})
	}
	all.Wait()
	return h, shares
}

// offerUrgent offers urgent work of a tenth of the capacity, together with
// bulk work of the given multiple of the capacity.
func offerUrgent(length time.Duration, serve func() time.Duration, bulk float64) (*hdrhistogram.Histogram, float64) {
	rates := map[string]float64{"urgent": 0.1}
	if bulk > 0 {
		rates["bulk"] = bulk
	}
	h, shares := offer(length, serve, ranks(0, 0.2, 0.1), rates)
	return h, shares["bulk"]
}
