package relay_test

import (
	"context"
	"syscall"
	"testing"

	"github.com/arbutusring/arbutusring/internal/statement"
)

// processorTime returns the time that this process has used, in ns.
func processorTime() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkStatement measures the processor time of one statement at a connector, and
// of one that is relayed: both hosts together, on loopback.
func BenchmarkStatement(b *testing.B) {
	for _, relayed := range []bool{false, true} {
		name := map[bool]string{false: "direct", true: "relayed"}[relayed]
		b.Run(name, func(b *testing.B) { benchmark(b, relayed, 1) })
		b.Run(name+"_of_16", func(b *testing.B) { benchmark(b, relayed, 16) })
	}
}

func benchmark(b *testing.B, relayed bool, parallel int) {
	in := install(b, 3, 2)
	connectors, sender := in.roles()
	h := connectors[0]
	if relayed {
		h = sender
	}
	text := "FETCH 0123456789"
	b.ReportAllocs()
	begun := processorTime()
	b.ResetTimer()
	if parallel == 1 {
		c := in.open(h)
		for b.Loop() {
			c.Execute(context.Background(), statement.Request{Kind: statement.Write, ID: "x", Text: text})
		}
	} else {
		b.RunParallel(func(pb *testing.PB) {
			c := in.open(h)
			for pb.Next() {
				c.Execute(context.Background(), statement.Request{Kind: statement.Write, ID: "x", Text: text})
			}
		})
	}
	b.ReportMetric(float64(processorTime()-begun)/float64(b.N), "cpu-ns/op")
}
