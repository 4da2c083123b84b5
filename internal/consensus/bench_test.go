package consensus_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"
)

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkPropose measures proposals of 200 bytes on three nodes in one
// process, with real fsync and a network delay of 1 ms. cpu-us/entry is the
// CPU time of all three nodes. heap-B/entry is the heap memory per node of an
// entry that is not yet part of a snapshot, including the test's own copy of
// the command.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := newCluster(b, "a", "b", "c")
			c.snapshotEvery = 1 << 30
			c.startAll()
			_, n := c.leader("")
			command := make([]byte, 200)
			heap, cpu := heapBytes(), cpuTime(b)
			b.ResetTimer()
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					for j := i; j < b.N; j += callers {
						if _, err := n.Propose(context.Background(), command); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(b.N), "cpu-us/entry")
			b.ReportMetric((heapBytes()-heap)/float64(b.N)/3, "heap-B/entry")
			c.stopAll()
		})
	}
}
