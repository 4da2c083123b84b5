package measure_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/load"
	"github.com/arbutusring/arbutusring/internal/measure"
	"github.com/arbutusring/arbutusring/internal/standin"
)

func start(b *testing.B, opts faulttest.Options) *faulttest.Installation {
	b.Helper()
	folder, err := os.MkdirTemp("", "measure")
	if err != nil {
		b.Fatal(err)
	}
	opts.Folder = folder
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	in, err := faulttest.Start(ctx, opts)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		in.Close()
		_ = os.RemoveAll(folder)
	})
	return in
}

// BenchmarkFailover measures the gap in acknowledged writes.
func BenchmarkFailover(b *testing.B) {
	faults := []struct {
		name   string
		inject func(in *faulttest.Installation, primary, owner int)
	}{
		{"kill", func(in *faulttest.Installation, p, _ int) { in.KillServer(p) }},
		{"freeze", func(in *faulttest.Installation, p, _ int) { _ = in.Server(p).SetFault(standin.FaultFreeze, "on") }},
		{"isolate", func(in *faulttest.Installation, p, _ int) {
			for _, f := range []standin.Fault{standin.FaultStopReplication, standin.FaultSilent, standin.FaultFreeze} {
				_ = in.Server(p).SetFault(f, "on")
			}
		}},
		{"owner_host", func(in *faulttest.Installation, _, o int) { in.KillEntry(o) }},
	}
	for _, site := range measure.Sites {
		for _, f := range faults {
			b.Run(site.Name+"/"+f.name, func(b *testing.B) {
				in := start(b, site.Options("", time.Millisecond, ""))
				var gaps []time.Duration
				for b.Loop() {
					gaps = append(gaps, failOnce(b, in, f.inject))
				}
				b.ReportMetric(float64(measure.Worst(gaps).Milliseconds()), "worst-ms")
				b.ReportMetric(float64(measure.Median(gaps).Milliseconds()), "median-ms")
			})
		}
	}
}

func failOnce(b *testing.B, in *faulttest.Installation, inject func(in *faulttest.Installation, primary, owner int)) time.Duration {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	if err := in.WaitServing(ctx); err != nil {
		b.Fatal(err)
	}
	primary, ok := in.Primary(ctx)
	owner, owned := in.Owner(ctx, primary)
	if !ok || !owned {
		b.Fatal("the group has no primary or its primary no owner")
	}
	probe := &measure.WriteProbe{DSN: in.CallerDSN((owner + 1) % 3)}
	probeCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); probe.Run(probeCtx) }()
	time.Sleep(700 * time.Millisecond)
	fault := time.Now()
	inject(in, primary, owner)
	time.Sleep(4 * time.Second)
	gap, found := probe.Gap(fault)
	for ; !found && ctx.Err() == nil; gap, found = probe.Gap(fault) {
		time.Sleep(50 * time.Millisecond)
	}
	stop()
	<-done
	if s := in.Server(primary); s != nil {
		for _, f := range []standin.Fault{standin.FaultStopReplication, standin.FaultSilent, standin.FaultFreeze} {
			_ = s.SetFault(f, "off")
		}
	}
	if err := in.Repair(); err != nil {
		b.Fatal(err)
	}
	time.Sleep(time.Second)
	return gap
}

const primaryOnlyPolicy = faulttest.DefaultPolicy + `
replica_reads = false
`

// BenchmarkReplicaReads measures the share of reads that replicas serve, with
// replicas 50 ms behind, against reads at the primary only.
func BenchmarkReplicaReads(b *testing.B) {
	for _, site := range measure.Sites {
		for _, c := range []struct {
			name, policy string
			staleness    time.Duration
		}{
			{"all_reads", "", 0},
			{"stale_1s", "", time.Second},
			{"primary_only", primaryOnlyPolicy, 0},
		} {
			b.Run(site.Name+"/"+c.name, func(b *testing.B) {
				opts := site.Options("", 2*time.Millisecond, c.policy)
				opts.Standin.ReplicationDelay = 50 * time.Millisecond
				in := start(b, opts)
				var shares, p50 []time.Duration
				var violations int64
				for i := uint64(1); b.Loop(); i++ {
					share, report := readShare(b, in, i, c.staleness)
					shares = append(shares, time.Duration(share*1e6))
					p50 = append(p50, report.Ranks[0].P50)
					violations += report.Violations()
				}
				b.ReportMetric(float64(measure.Median(shares))/1e4, "replica-%")
				b.ReportMetric(float64(measure.Median(p50).Microseconds())/1e3, "p50-ms")
				b.ReportMetric(float64(violations), "violations")
			})
		}
	}
}

func readShare(b *testing.B, in *faulttest.Installation, seed uint64, staleness time.Duration) (float64, load.Report) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	before := replicaSuccesses(ctx, in)
	report, err := load.Run(ctx, load.Options{
		DSNs: dsns(in, 7), Seed: seed, Duration: 4 * time.Second, Keys: 8,
		Ranks: []load.Rank{{Name: "normal", Sessions: 28, ReadShare: 0.9, MaxStaleness: staleness, Think: 50 * time.Millisecond, MoveEvery: 20}},
	})
	if err != nil {
		b.Fatal(err)
	}
	r := report.Ranks[0]
	return float64(replicaSuccesses(ctx, in)-before) / float64(max(r.OK-r.Writes, 1)), report
}

func replicaSuccesses(ctx context.Context, in *faulttest.Installation) uint64 {
	var n uint64
	for _, s := range in.Statuses(ctx) {
		if !s.Primary {
			n += s.Successes
		}
	}
	return n
}

func dsns(in *faulttest.Installation, n int) []string {
	var all []string
	for i := range n {
		// The simple protocol needs no cycles that only prepare statements,
		// which would count as reads.
		all = append(all, in.CallerDSN(i)+"&default_query_exec_mode=simple_protocol")
	}
	return all
}

const oneRankPolicy = `
[[database_group]]
name = "orders"
members = 3

[[traffic_rank]]
name = "urgent"
order = 0
default = true

[[policy]]
name = "all"
deadline = "1s"
`

const floodPolicy = faulttest.DefaultPolicy + `
[[policy]]
name = "short"
deadline = "1s"
`

// BenchmarkFlood measures the service of each rank while one rank floods with
// writes, at several multiples of what the primary can execute.
func BenchmarkFlood(b *testing.B) {
	const service = 5 * time.Millisecond
	for _, site := range measure.Sites {
		capacity := float64(site.Slots) / service.Seconds()
		for _, flood := range []string{"bulk", "urgent"} {
			for _, multiple := range []float64{0, 0.5, 1, 2, 5, 10} {
				for _, mode := range []string{"ranks", "fcfs"} {
					if mode == "fcfs" && (flood != "bulk" || multiple < 1) {
						continue
					}
					b.Run(fmt.Sprintf("%s/%s/x%g/%s", site.Name, flood, multiple, mode), func(b *testing.B) {
						runFlood(b, site, service, flood, multiple*capacity, mode == "fcfs")
					})
				}
			}
		}
	}
}

func runFlood(b *testing.B, site measure.Site, service time.Duration, flood string, rate float64, fcfs bool) {
	policy := floodPolicy
	if fcfs {
		policy = oneRankPolicy
	}
	in := start(b, site.Options("", service, policy))
	p50, p99 := map[string][]time.Duration{}, map[string][]time.Duration{}
	ok, attempts := map[string]int64{}, map[string]int64{}
	var seconds float64
	for seed := uint64(1); b.Loop(); seed++ {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		report, err := load.Run(ctx, load.Options{
			DSNs: dsns(in, 7), Seed: seed, Duration: 4 * time.Second, Timeout: 3 * time.Second,
			Ranks: floodRanks(flood, rate, fcfs),
		})
		cancel()
		if err != nil {
			b.Fatal(err)
		}
		seconds += report.Elapsed.Seconds()
		for i, r := range report.Ranks {
			name := []string{"urgent", "normal", "bulk"}[i]
			p50[name], p99[name] = append(p50[name], r.P50), append(p99[name], r.P99)
			ok[name] += r.OK
			attempts[name] += r.Attempts
		}
	}
	total := int64(0)
	for _, name := range []string{"urgent", "normal", "bulk"} {
		b.ReportMetric(float64(measure.Median(p99[name]).Microseconds())/1e3, name+"-p99-ms")
		b.ReportMetric(100*float64(ok[name])/float64(max(attempts[name], 1)), name+"-ok-%")
		total += ok[name]
	}
	b.ReportMetric(float64(total)/seconds, "ok/s")
}

// floodRanks gives each rank a steady load of 30 writes/s, and the flooding
// rank the flood besides.
func floodRanks(flood string, rate float64, fcfs bool) []load.Rank {
	var ranks []load.Rank
	for _, name := range []string{"urgent", "normal", "bulk"} {
		r := load.Rank{Name: name, Sessions: 8, Rate: 30, MoveEvery: 0, OnTime: 200 * time.Millisecond}
		if name == flood && rate > 0 {
			r.Rate += rate
			r.Sessions = 200
		}
		if fcfs {
			r.Name = "urgent"
		}
		ranks = append(ranks, r)
	}
	return ranks
}
