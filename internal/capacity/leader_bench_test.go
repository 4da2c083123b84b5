package capacity_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/capacity"
	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// Delays from the design: the round trip from control in region 0 to a member
// takes 2 ms within the region and 40 ms to another region, and a new connection
// adds 10 ms. Committing a log entry takes a round trip of 40 ms to one other
// region and two fsyncs.
const (
	callDelaySameRegion  = 12 * time.Millisecond
	callDelayOtherRegion = 50 * time.Millisecond
	logCommitDelay       = 45 * time.Millisecond
)

func memberCallDelay(dataCentre string) time.Duration {
	if dataCentre[:len("region-0")] == "region-0" {
		return callDelaySameRegion
	}
	return callDelayOtherRegion
}

// cluster is a control leader with simulated hosts and backend servers.
type cluster struct {
	fleet   capacity.Fleet
	leader  *capacity.Leader
	hosts   *capacity.Hosts
	members *capacity.Members
}

func startCluster(b *testing.B, groups int) *cluster {
	b.Helper()
	cl := &cluster{fleet: capacity.NewFleet(groups)}
	cl.hosts = capacity.NewHosts(cl.fleet)
	cl.members = capacity.NewMembers(cl.fleet, memberCallDelay)
	var err error
	cl.leader, err = capacity.StartLeader(cl.fleet, logCommitDelay, control.Options{
		Members: cl.members.ControlMembers(), Revoke: cl.hosts.Revoke(40 * time.Millisecond),
	})
	if err != nil {
		b.Fatal(err)
	}
	cl.hosts.Start(cl.leader.Service())
	time.Sleep(2 * time.Second) // until every host has a session
	return cl
}

func (cl *cluster) stop() {
	cl.hosts.Stop()
	cl.leader.Shutdown()
}

// BenchmarkLeaderIdle measures the processor time of a leader while the state
// does not change. Heartbeats are direct calls; BenchmarkHeartbeat measures their
// transport.
func BenchmarkLeaderIdle(b *testing.B) {
	for b.Loop() {
		cpu := newSeries("processor time", "groups", "ms/s")
		heartbeats := newSeries("heartbeats", "groups", "1/s")
		calls := newSeries("calls of backend servers", "groups", "1/s")
		entries := newSeries("log entries", "groups", "1/s + 1")
		for _, groups := range capacity.GroupCounts {
			cl := startCluster(b, groups)
			const interval = 6 * time.Second
			cpuBefore, heartbeatsBefore, callsBefore, entriesBefore := capacity.ProcessorTime(),
				cl.hosts.Heartbeats.Load(), cl.members.Calls.Load(), cl.leader.LogEntries.Load()
			time.Sleep(interval)
			x, seconds := float64(groups), interval.Seconds()
			cpu.Add(x, ms(capacity.ProcessorTime()-cpuBefore)/seconds)
			heartbeats.Add(x, float64(cl.hosts.Heartbeats.Load()-heartbeatsBefore)/seconds)
			calls.Add(x, float64(cl.members.Calls.Load()-callsBefore)/seconds)
			entries.Add(x, 1+float64(cl.leader.LogEntries.Load()-entriesBefore)/seconds) // Fit needs positive values
			cl.stop()
		}
		printSeries(cpu, heartbeats, calls, entries)
	}
}

// BenchmarkHeartbeatDirect measures Service.Heartbeat without the transport.
func BenchmarkHeartbeatDirect(b *testing.B) {
	for b.Loop() {
		cpu := newSeries("Service.Heartbeat", "groups", "us")
		for _, groups := range capacity.GroupCounts {
			cl := startCluster(b, groups)
			cl.hosts.Stop()
			host := cl.fleet.Host(3)
			cpu.Add(float64(groups), us(cpuTimePerCall(func() {
				_ = cl.leader.Service().Heartbeat(&controlrpc.HeartbeatArgs{Host: host}, new(controlrpc.HeartbeatReply))
			})))
			cl.leader.Shutdown()
		}
		printSeries(cpu)
	}
}

// BenchmarkDataCentreLoss measures failover after the loss of a data centre.
func BenchmarkDataCentreLoss(b *testing.B) {
	for b.Loop() {
		measureDataCentreLoss(b, capacity.GroupCounts, 0)
	}
}

// BenchmarkRegionLoss measures failover, in the other two regions, after the
// isolation of a region in which control has no majority.
func BenchmarkRegionLoss(b *testing.B) {
	for b.Loop() {
		measureDataCentreLoss(b, []int{1000, 10_000}, 1, 4, 7)
	}
}

// measureDataCentreLoss measures the time from the loss of data centres, with
// their hosts, until the last group has a new primary, and until the last group
// has a majority that follows it. Without that majority no write is acknowledged.
func measureDataCentreLoss(b *testing.B, groupCounts []int, dataCentres ...int) {
	b.Helper()
	lastPrimary := newSeries("last new primary", "primaries lost", "s")
	lastMajority := newSeries("last majority that follows", "primaries lost", "s")
	medianMajority := newSeries("median majority that follows", "primaries lost", "s")
	cpu := newSeries("processor time", "primaries lost", "s")
	logEntries := newSeries("log entries", "primaries lost", "entries")
	logBytes := newSeries("log bytes", "primaries lost", "bytes")
	for _, groups := range groupCounts {
		cl := startCluster(b, groups)
		time.Sleep(time.Duration(groups) * time.Millisecond) // until every follower has been ordered once to follow its primary
		var affected []int
		for g := range groups {
			if slices.Contains(dataCentres, cl.fleet.DataCentreIndex(g, 0)) {
				affected = append(affected, g)
			}
		}
		x := float64(len(affected))
		cpuBefore, entriesBefore, bytesBefore := capacity.ProcessorTime(), cl.leader.LogEntries.Load(), cl.leader.LogBytes.Load()
		start := time.Now()
		for _, dc := range dataCentres {
			cl.members.FailDataCentre(cl.fleet.Host(dc).DataCentre)
			cl.hosts.FailDataCentre(cl.fleet.Host(dc).DataCentre)
		}
		primaries, majorities := cl.waitForPrimaries(start, affected)
		cpu.Add(x, (capacity.ProcessorTime() - cpuBefore).Seconds())
		logEntries.Add(x, float64(cl.leader.LogEntries.Load()-entriesBefore))
		logBytes.Add(x, float64(cl.leader.LogBytes.Load()-bytesBefore))
		if len(majorities) < len(affected) {
			b.Logf("%d groups: %d of %d have no new primary, %d no majority that follows, after %v",
				groups, len(affected)-len(primaries), len(affected), len(affected)-len(majorities), waitTimeout)
		}
		if len(majorities) > 0 {
			lastPrimary.Add(x, primaries[len(primaries)-1])
			lastMajority.Add(x, majorities[len(majorities)-1])
			medianMajority.Add(x, majorities[len(majorities)/2])
		}
		cl.stop()
	}
	printSeries(lastPrimary, lastMajority, medianMajority, cpu, logEntries, logBytes)
}

// waitTimeout bounds the wait for changes of primaries.
const waitTimeout = time.Minute

// waitForPrimaries waits until every group has a primary of a term after 1 and a
// majority that follows it, or until waitTimeout. It returns the sorted times of
// both, in seconds since start.
func (cl *cluster) waitForPrimaries(start time.Time, groups []int) (primaries, majorities []float64) {
	hasPrimary := make(map[int]bool)
	hasMajority := make(map[int]bool)
	for len(hasMajority) < len(groups) && time.Since(start) < waitTimeout {
		time.Sleep(20 * time.Millisecond)
		v := cl.leader.Machine().View()
		for _, g := range groups {
			if hasMajority[g] {
				continue
			}
			state := v.Groups[cl.fleet.GroupName(g)]
			if state.Phase != controlrpc.PhaseSteady || state.Term == 1 {
				continue
			}
			elapsed := time.Since(start).Seconds()
			if !hasPrimary[g] {
				hasPrimary[g] = true
				primaries = append(primaries, elapsed)
			}
			if cl.members.HasFollower(cl.fleet, g, state.Term) {
				hasMajority[g] = true
				majorities = append(majorities, elapsed)
			}
		}
	}
	return primaries, majorities
}

// BenchmarkPrimaryChange measures requested changes of the primary, one after
// the other, on an otherwise idle leader.
func BenchmarkPrimaryChange(b *testing.B) {
	for b.Loop() {
		slowestPrimary := newSeries("slowest new primary of 5", "groups", "s")
		slowestMajority := newSeries("slowest majority that follows, of 5", "groups", "s")
		for _, groups := range capacity.GroupCounts {
			cl := startCluster(b, groups)
			time.Sleep(time.Duration(groups) * time.Millisecond)
			var primaries, majorities []float64
			for g := range 5 {
				start := time.Now()
				_ = cl.leader.Service().Failover(&controlrpc.FailoverArgs{Group: cl.fleet.GroupName(g)}, new(controlrpc.FailoverReply))
				primaryTimes, majorityTimes := cl.waitForPrimaries(start, []int{g})
				if len(majorityTimes) == 0 {
					majorityTimes = []float64{waitTimeout.Seconds()}
					b.Logf("%d groups: no majority follows after %v", groups, waitTimeout)
				}
				primaries, majorities = append(primaries, primaryTimes...), append(majorities, majorityTimes...)
				if time.Since(start) > 30*time.Second {
					break // one slow change gives the maximum; five of them would take minutes
				}
			}
			slowestPrimary.Add(float64(groups), slices.Max(primaries))
			slowestMajority.Add(float64(groups), slices.Max(majorities))
			cl.stop()
		}
		printSeries(slowestPrimary, slowestMajority)
	}
}

// BenchmarkHostRestart counts the state changes that the restart of one host
// causes until its leases are balanced again. The host sends heartbeats under the
// new incarnation without a pause.
func BenchmarkHostRestart(b *testing.B) {
	for b.Loop() {
		cl := startCluster(b, 1000)
		time.Sleep(6 * time.Second) // a host must be up for 5 s before leases are balanced onto it
		const restarts = 5
		entriesBefore, bytesBefore := cl.leader.LogEntries.Load(), cl.leader.LogBytes.Load()
		versionBefore := cl.leader.Machine().View().Version
		for i := range restarts {
			cl.hosts.Restart(10+i*40, fmt.Sprint("restarted-", i))
			time.Sleep(2 * time.Second)
		}
		time.Sleep(15 * time.Second)
		b.ReportMetric(float64(cl.leader.LogEntries.Load()-entriesBefore)/restarts, "entries/restart")
		b.ReportMetric(float64(cl.leader.LogBytes.Load()-bytesBefore)/restarts, "bytes/restart")
		b.ReportMetric(float64(cl.leader.Machine().View().Version-versionBefore)/restarts, "versions/restart")
		cl.stop()
	}
}
