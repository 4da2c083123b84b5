package measure_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"
)

// BenchmarkPath compares statements that pass through entry and owner with the
// same statements on a direct connection to the same backend server.
func BenchmarkPath(b *testing.B) {
	const read, write = "SELECT v FROM kv WHERE k = 'a'", "UPDATE kv SET v = 'b' WHERE k = 'a'"
	in := startInstallation(b, faulttest.Options{Logger: zerolog.Nop(), Standin: standin.Options{Slots: 64, Connections: 200}})
	ctx := context.Background()
	primary, ok := in.Primary(ctx)
	if !ok {
		b.Fatal("the group has no primary")
	}
	setupConn, err := pgx.Connect(ctx, in.CallerDSN(0))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := setupConn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', 'a')"); err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct{ name, dsn, sql string }{
		{"read/direct", in.ServerDSN(primary), read},
		{"read/proxy", in.CallerDSN(0), read},
		{"write/direct", in.ServerDSN(primary), write},
		{"write/proxy", in.CallerDSN(0), write},
	} {
		for _, sessions := range []int{1, 16} {
			b.Run(c.name+"/"+[]string{1: "1", 16: "16"}[sessions], func(b *testing.B) {
				times := runStatements(b, c.dsn, c.sql, sessions)
				slices.Sort(times)
				b.ReportMetric(float64(len(times))/b.Elapsed().Seconds(), "stmt/s")
				b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
			})
		}
	}
}

func runStatements(b *testing.B, dsn, sql string, sessions int) []time.Duration {
	ctx := context.Background()
	var conns []*pgx.Conn
	for range sessions {
		conn, err := pgx.Connect(ctx, dsn+"&default_query_exec_mode=simple_protocol")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = conn.Close(ctx) }()
		conns = append(conns, conn)
	}
	var mu sync.Mutex
	var allTimes []time.Duration
	var wg sync.WaitGroup
	b.ResetTimer()
	for _, conn := range conns {
		wg.Go(func() {
			times := make([]time.Duration, 0, b.N/sessions+1)
			for range b.N/sessions + 1 {
				start := time.Now()
				if _, err := conn.Exec(ctx, sql); err != nil {
					b.Error(err)
					return
				}
				times = append(times, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			allTimes = append(allTimes, times...)
		})
	}
	wg.Wait()
	b.StopTimer()
	return allTimes
}
