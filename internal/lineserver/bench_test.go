package lineserver_test

import (
	"context"
	"net"
	"runtime"
	"testing"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/lineserver"
)

// BenchmarkLine measures a line and its answer over loopback. The processor time
// (cpu-ns/op) includes that of the client.
func BenchmarkLine(b *testing.B) {
	s := startBenchServer(b)
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	line, answer := []byte("QUERY 0123456789abcdef FETCH 0123456789\r\n"), make([]byte, 100)
	before := processorTime()
	for b.Loop() {
		if _, err := c.Write(line); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Read(answer); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	_ = c.Close()
}

// BenchmarkIdleCaller measures the memory of an idle caller that has started its session,
// with that of the client's side of the connection.
func BenchmarkIdleCaller(b *testing.B) {
	const callers = 2000
	for b.Loop() {
		s := startBenchServer(b)
		before := memoryInUse()
		conns := make([]net.Conn, 0, callers)
		for range callers {
			c, err := net.Dial("tcp", s.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			if _, err := c.Write([]byte("CONNECT d me\r\n")); err != nil {
				b.Fatal(err)
			}
			if _, err := c.Read(make([]byte, 100)); err != nil {
				b.Fatal(err)
			}
			conns = append(conns, c)
		}
		b.ReportMetric(float64(memoryInUse()-before)/callers, "bytes/caller")
		for _, c := range conns {
			_ = c.Close()
		}
		s.Close()
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func startBenchServer(b *testing.B) *lineserver.Server {
	s := lineserver.New(lineserver.Options{
		Address: "127.0.0.1:0", MaxLineBytes: 1 << 20,
		Memory: limit.NewBudget(limit.BudgetOptions{MemoryMB: 464}), Limits: limit.Limits{MaxConnections: 10000}, MaxQueuedBytes: 1 << 20,
		Handler: lineserver.Handler{
			Open: func(string) any { return new(int) },
			Line: func(context.Context, any, lineserver.Line) ([]byte, bool) {
				return []byte("ROW 0123456789\r\nCOMPLETE r\r\nREADY I 1.100\r\n"), true
			},
			Refuse: func(limit.Reason) []byte { return nil },
			Idle:   func(any) bool { return true },
			Close:  func(any) {},
		},
	})
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	return s
}
