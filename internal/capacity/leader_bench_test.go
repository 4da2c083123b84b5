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

// Times of the design page: control in region 0 reaches a member of its region
// with 2 ms there and back and another region with 40 ms. A new connection
// takes 10 ms more. An entry of the log needs one other region, 40 ms, and two
// fsyncs.
const (
	callNear = 12 * time.Millisecond
	callFar  = 50 * time.Millisecond
	logDelay = 45 * time.Millisecond
)

func memberDelay(centre string) time.Duration {
	if centre[:len("region-0")] == "region-0" {
		return callNear
	}
	return callFar
}

// world is a leader with its hosts and backend servers.
type world struct {
	fleet   capacity.Fleet
	leader  *capacity.Leader
	hosts   *capacity.Hosts
	members *capacity.Members
}

func startWorld(b *testing.B, groups int) *world {
	b.Helper()
	w := &world{fleet: capacity.NewFleet(groups)}
	w.hosts = capacity.NewHosts(w.fleet)
	w.members = capacity.NewMembers(w.fleet, memberDelay)
	var err error
	w.leader, err = capacity.StartLeader(w.fleet, logDelay, control.Options{
		Members: w.members.Functions(), Revoke: w.hosts.Revoke(40 * time.Millisecond),
	})
	if err != nil {
		b.Fatal(err)
	}
	w.hosts.Start(w.leader.Service())
	time.Sleep(2 * time.Second) // until all sessions are known
	return w
}

func (w *world) stop() {
	w.hosts.Stop()
	w.leader.End()
}

// BenchmarkLeaderIdle measures the processor time of a leader while nothing
// changes. Heartbeats are direct calls; their transport is in
// BenchmarkHeartbeat.
func BenchmarkLeaderIdle(b *testing.B) {
	for b.Loop() {
		cpu := series("processor time", "groups", "ms/s")
		beats := series("heartbeats", "groups", "1/s")
		calls := series("calls of backend servers", "groups", "1/s")
		entries := series("log entries", "groups", "1/s + 1")
		for _, groups := range capacity.Sizes {
			w := startWorld(b, groups)
			const length = 6 * time.Second
			start, n, c, e := capacity.ProcessorTime(), w.hosts.Beats.Load(), w.members.Calls.Load(), w.leader.Entries.Load()
			time.Sleep(length)
			x, s := float64(groups), length.Seconds()
			cpu.Add(x, ms(capacity.ProcessorTime()-start)/s)
			beats.Add(x, float64(w.hosts.Beats.Load()-n)/s)
			calls.Add(x, float64(w.members.Calls.Load()-c)/s)
			entries.Add(x, 1+float64(w.leader.Entries.Load()-e)/s)
			w.stop()
		}
		report(cpu, beats, calls, entries)
	}
}

// BenchmarkHeartbeatDirect measures Service.Heartbeat without its transport.
func BenchmarkHeartbeatDirect(b *testing.B) {
	for b.Loop() {
		s := series("Service.Heartbeat", "groups", "us")
		for _, groups := range capacity.Sizes {
			w := startWorld(b, groups)
			w.hosts.Stop()
			h := w.fleet.Host(3)
			s.Add(float64(groups), us(timed(func() {
				_ = w.leader.Service().Heartbeat(&controlrpc.HeartbeatArgs{Host: h}, new(controlrpc.HeartbeatReply))
			})))
			w.leader.End()
		}
		report(s)
	}
}

// BenchmarkDataCentreLoss measures the loss of a data centre.
func BenchmarkDataCentreLoss(b *testing.B) {
	for b.Loop() {
		measureLoss(b, capacity.Sizes, 0)
	}
}

// BenchmarkRegionLoss measures the isolation of a region in which control has no
// majority, as the other two regions see it.
func BenchmarkRegionLoss(b *testing.B) {
	for b.Loop() {
		measureLoss(b, []int{1000, 10_000}, 1, 4, 7)
	}
}

// measureLoss measures the time from the loss of data centres, with their hosts,
// until the last group has a new primary, and until the last group has a
// majority that follows it, without which no write is acknowledged.
func measureLoss(b *testing.B, sizes []int, centres ...int) {
	b.Helper()
	named := series("last new primary", "primaries lost", "s")
	follows := series("last majority that follows", "primaries lost", "s")
	half := series("median majority that follows", "primaries lost", "s")
	cpu := series("processor time", "primaries lost", "s")
	entries := series("log entries", "primaries lost", "entries")
	bytes := series("log bytes", "primaries lost", "bytes")
	for _, groups := range sizes {
		w := startWorld(b, groups)
		time.Sleep(time.Duration(groups) * time.Millisecond) // until followers were told for the first time
		var affected []int
		for g := range groups {
			if slices.Contains(centres, w.fleet.Centre(g, 0)) {
				affected = append(affected, g)
			}
		}
		x := float64(len(affected))
		used, e, by := capacity.ProcessorTime(), w.leader.Entries.Load(), w.leader.Bytes.Load()
		began := time.Now()
		for _, c := range centres {
			w.members.Lose(w.fleet.Host(c).DataCentre)
			w.hosts.Lose(w.fleet.Host(c).DataCentre)
		}
		primaries, majorities := w.wait(began, affected)
		cpu.Add(x, (capacity.ProcessorTime() - used).Seconds())
		entries.Add(x, float64(w.leader.Entries.Load()-e))
		bytes.Add(x, float64(w.leader.Bytes.Load()-by))
		if len(majorities) < len(affected) {
			b.Logf("%d groups: %d of %d have no new primary, %d no majority that follows, after %v",
				groups, len(affected)-len(primaries), len(affected), len(affected)-len(majorities), waitLimit)
		}
		if len(majorities) > 0 {
			named.Add(x, primaries[len(primaries)-1])
			follows.Add(x, majorities[len(majorities)-1])
			half.Add(x, majorities[len(majorities)/2])
		}
		w.stop()
	}
	report(named, follows, half, cpu, entries, bytes)
}

// waitLimit bounds the wait for changes of primaries.
const waitLimit = time.Minute

// wait returns the sorted times, in seconds since began, at which the groups got
// a primary of a term after 1, and a majority that follows it.
func (w *world) wait(began time.Time, groups []int) (primaries, majorities []float64) {
	named := make(map[int]bool)
	done := make(map[int]bool)
	for len(done) < len(groups) && time.Since(began) < waitLimit {
		time.Sleep(20 * time.Millisecond)
		v := w.leader.Machine().View()
		for _, g := range groups {
			if done[g] {
				continue
			}
			state := v.Groups[w.fleet.GroupName(g)]
			if state.Phase != controlrpc.PhaseSteady || state.Term == 1 {
				continue
			}
			now := time.Since(began).Seconds()
			if !named[g] {
				named[g] = true
				primaries = append(primaries, now)
			}
			if w.members.Follows(w.fleet, g, state.Term) {
				done[g] = true
				majorities = append(majorities, now)
			}
		}
	}
	return primaries, majorities
}

// BenchmarkPrimaryChange measures requested changes of the primary, one after
// the other, while nothing else happens.
func BenchmarkPrimaryChange(b *testing.B) {
	for b.Loop() {
		named := series("slowest new primary of 5", "groups", "s")
		follows := series("slowest majority that follows, of 5", "groups", "s")
		for _, groups := range capacity.Sizes {
			w := startWorld(b, groups)
			time.Sleep(time.Duration(groups) * time.Millisecond)
			var primaries, majorities []float64
			for g := range 5 {
				began := time.Now()
				_ = w.leader.Service().Failover(&controlrpc.FailoverArgs{Group: w.fleet.GroupName(g)}, new(controlrpc.FailoverReply))
				p, m := w.wait(began, []int{g})
				if len(m) == 0 {
					m = []float64{waitLimit.Seconds()}
					b.Logf("%d groups: no majority follows after %v", groups, waitLimit)
				}
				primaries, majorities = append(primaries, p...), append(majorities, m...)
				if time.Since(began) > 30*time.Second {
					break // the result is clear; the rest would take minutes
				}
			}
			named.Add(float64(groups), slices.Max(primaries))
			follows.Add(float64(groups), slices.Max(majorities))
			w.stop()
		}
		report(named, follows)
	}
}

// BenchmarkHostRestart counts the changes of the state that the restart of one
// host causes until its leases are back in balance. The session of the host is
// known at once under the new incarnation.
func BenchmarkHostRestart(b *testing.B) {
	for b.Loop() {
		w := startWorld(b, 1000)
		time.Sleep(6 * time.Second) // hosts count as settled after 5 s
		const restarts = 5
		e, by := w.leader.Entries.Load(), w.leader.Bytes.Load()
		version := w.leader.Machine().View().Version
		for i := range restarts {
			w.hosts.Restart(10+i*40, fmt.Sprint("restarted-", i))
			time.Sleep(2 * time.Second)
		}
		time.Sleep(15 * time.Second)
		b.ReportMetric(float64(w.leader.Entries.Load()-e)/restarts, "entries/restart")
		b.ReportMetric(float64(w.leader.Bytes.Load()-by)/restarts, "bytes/restart")
		b.ReportMetric(float64(w.leader.Machine().View().Version-version)/restarts, "versions/restart")
		w.stop()
	}
}
