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

func startInstallation(b *testing.B, opts faulttest.Options) *faulttest.Installation {
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

// BenchmarkFailover measures the gap in acknowledged writes after a fault of the
// primary or of its owner's host.
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
				in := startInstallation(b, site.Options("", time.Millisecond, ""))
				var gaps []time.Duration
				for b.Loop() {
					gaps = append(gaps, measureFailover(b, in, f.inject))
				}
				b.ReportMetric(float64(measure.Worst(gaps).Milliseconds()), "worst-ms")
				b.ReportMetric(float64(measure.Median(gaps).Milliseconds()), "median-ms")
			})
		}
	}
}

func measureFailover(b *testing.B, in *faulttest.Installation, inject func(in *faulttest.Installation, primary, owner int)) time.Duration {
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
	probe := &measure.WriteProbe{DSN: in.CallerDSN((owner + 1) % 3)} // through an entry that the faults leave running
	probeCtx, stopProbe := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); probe.Run(probeCtx) }()
	time.Sleep(700 * time.Millisecond)
	faultTime := time.Now()
	inject(in, primary, owner)
	time.Sleep(4 * time.Second)
	gap, found := probe.Gap(faultTime)
	for ; !found && ctx.Err() == nil; gap, found = probe.Gap(faultTime) {
		time.Sleep(50 * time.Millisecond)
	}
	stopProbe()
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

// BenchmarkReplicaReads measures the share of reads that replicas serve, with a
// replication delay of 50 ms, and compares it with reads at the primary only.
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
				in := startInstallation(b, opts)
				var shares, p50s []time.Duration
				var violations int64
				for i := uint64(1); b.Loop(); i++ {
					share, report := replicaReadShare(b, in, i, c.staleness)
					shares = append(shares, time.Duration(share*1e6)) // in millionths, for Median
					p50s = append(p50s, report.Ranks[0].P50)
					violations += report.Violations()
				}
				b.ReportMetric(float64(measure.Median(shares))/1e4, "replica-%")
				b.ReportMetric(float64(measure.Median(p50s).Microseconds())/1e3, "p50-ms")
				b.ReportMetric(float64(violations), "violations")
			})
		}
	}
}

func replicaReadShare(b *testing.B, in *faulttest.Installation, seed uint64, staleness time.Duration) (float64, load.Report) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	successesBefore := replicaSuccesses(ctx, in)
	report, err := load.Run(ctx, load.Options{
		DSNs: callerDSNs(in, 7), Seed: seed, Duration: 4 * time.Second, Keys: 8,
		Ranks: []load.Rank{{Name: "normal", Sessions: 28, ReadShare: 0.9, MaxStaleness: staleness, Think: 50 * time.Millisecond, MoveEvery: 20}},
	})
	if err != nil {
		b.Fatal(err)
	}
	r := report.Ranks[0]
	return float64(replicaSuccesses(ctx, in)-successesBefore) / float64(max(r.OK-r.Writes, 1)), report
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

func callerDSNs(in *faulttest.Installation, n int) []string {
	var out []string
	for i := range n {
		// The extended protocol sends cycles that only prepare statements, which
		// would be counted as reads.
		out = append(out, in.CallerDSN(i)+"&default_query_exec_mode=simple_protocol")
	}
	return out
}

const singleRankPolicy = `
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

const shortDeadlinePolicy = faulttest.DefaultPolicy + `
[[policy]]
name = "short"
deadline = "1s"
`

// BenchmarkFlood measures latency and success rate of each rank while one rank is
// overloaded with writes, at several multiples of the write rate that the primary
// can execute. In mode "fcfs" (first come, first served) all callers have the same
// rank.
func BenchmarkFlood(b *testing.B) {
	const serviceTime = 5 * time.Millisecond
	for _, site := range measure.Sites {
		writeCapacity := float64(site.Slots) / serviceTime.Seconds()
		for _, overloadedRank := range []string{"bulk", "urgent"} {
			for _, loadFactor := range []float64{0, 0.5, 1, 2, 5, 10} {
				for _, mode := range []string{"ranks", "fcfs"} {
					if mode == "fcfs" && (overloadedRank != "bulk" || loadFactor < 1) {
						continue
					}
					b.Run(fmt.Sprintf("%s/%s/x%g/%s", site.Name, overloadedRank, loadFactor, mode), func(b *testing.B) {
						measureOverload(b, site, serviceTime, overloadedRank, loadFactor*writeCapacity, mode == "fcfs")
					})
				}
			}
		}
	}
}

func measureOverload(b *testing.B, site measure.Site, serviceTime time.Duration, overloadedRank string, overloadRate float64, fcfs bool) {
	policy := shortDeadlinePolicy
	if fcfs {
		policy = singleRankPolicy
	}
	in := startInstallation(b, site.Options("", serviceTime, policy))
	p50s, p99s := map[string][]time.Duration{}, map[string][]time.Duration{}
	succeeded, attempts := map[string]int64{}, map[string]int64{}
	var seconds float64
	for seed := uint64(1); b.Loop(); seed++ {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		report, err := load.Run(ctx, load.Options{
			DSNs: callerDSNs(in, 7), Seed: seed, Duration: 4 * time.Second, Timeout: 3 * time.Second,
			Ranks: overloadRanks(overloadedRank, overloadRate, fcfs),
		})
		cancel()
		if err != nil {
			b.Fatal(err)
		}
		seconds += report.Elapsed.Seconds()
		for i, r := range report.Ranks {
			name := []string{"urgent", "normal", "bulk"}[i]
			p50s[name], p99s[name] = append(p50s[name], r.P50), append(p99s[name], r.P99)
			succeeded[name] += r.OK
			attempts[name] += r.Attempts
		}
	}
	totalSucceeded := int64(0)
	for _, name := range []string{"urgent", "normal", "bulk"} {
		b.ReportMetric(float64(measure.Median(p99s[name]).Microseconds())/1e3, name+"-p99-ms")
		b.ReportMetric(100*float64(succeeded[name])/float64(max(attempts[name], 1)), name+"-ok-%")
		totalSucceeded += succeeded[name]
	}
	b.ReportMetric(float64(totalSucceeded)/seconds, "ok/s")
}

// overloadRanks returns a load of 30 writes/s for each rank, plus overloadRate
// writes/s for overloadedRank.
func overloadRanks(overloadedRank string, overloadRate float64, fcfs bool) []load.Rank {
	var ranks []load.Rank
	for _, name := range []string{"urgent", "normal", "bulk"} {
		r := load.Rank{Name: name, Sessions: 8, Rate: 30, MoveEvery: 0, OnTime: 200 * time.Millisecond}
		if name == overloadedRank && overloadRate > 0 {
			r.Rate += overloadRate
			r.Sessions = 200
		}
		if fcfs {
			r.Name = "urgent"
		}
		ranks = append(ranks, r)
	}
	return ranks
}
