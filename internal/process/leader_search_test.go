package process_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/lineserver"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/matryer/is"
)

// firstLeaseBound is the time within which a gateway that starts must have a lease while
// there is a leader.
const firstLeaseBound = 4 * time.Second

// newRand returns a random source whose seed the test logs.
func newRand(t *testing.T) *rand.Rand {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// pick returns n of the hosts in random order.
func pick(r *rand.Rand, ids []string, n int) []string {
	ids = slices.Clone(ids)
	r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:n]
}

// others returns the ids of the hosts except those given.
func (d *directories) others(ids ...string) []string {
	return slices.DeleteFunc(slices.Clone(d.ids), func(id string) bool { return slices.Contains(ids, id) })
}

// setDark makes hosts dark, or reachable again.
func (d *directories) setDark(dark bool, ids ...string) {
	for _, id := range ids {
		d.network.setDark(dark, d.addresses[id])
	}
}

// leaderOf returns the status of the host that leads with a valid lease and that all
// hosts given, of which it is one, follow; false if there is none.
func (d *directories) leaderOf(ids []string) (consensus.Status, bool) {
	var out consensus.Status
	leader := ""
	for _, id := range ids {
		st := d.running[id].Dump().Log
		if st.Leader.ID == "" || leader != "" && st.Leader.ID != leader {
			return consensus.Status{}, false
		}
		leader = st.Leader.ID
		if st.ID == leader {
			out = st
		}
	}
	return out, out.Role == consensus.Leader && out.LeaseValid
}

// awaitLeaderOf waits until leaderOf returns a leader.
func (d *directories) awaitLeaderOf(ids []string) (st consensus.Status) {
	eventually(d.t, "all follow one leader", func() bool {
		var ok bool
		st, ok = d.leaderOf(ids)
		return ok
	})
	return st
}

// whileLed calls f, and calls it again if the leader of the hosts changed meanwhile. What
// f measures is to be checked after the last call.
func (d *directories) whileLed(ids []string, f func(leader string)) {
	for {
		before := d.awaitLeaderOf(ids)
		f(before.ID)
		if after, ok := d.leaderOf(ids); ok && after.Term == before.Term {
			return
		}
		d.t.Log("the leader changed meanwhile")
	}
}

// checkReadsWhileLed reads at the hosts for a time in which all of led follow one leader,
// and checks the reads.
func (d *directories) checkReadsWhileLed(led, hosts []string, want []byte, period time.Duration) {
	d.t.Helper()
	var readers []*configReader
	var begun time.Time
	d.whileLed(led, func(string) {
		begun = time.Now()
		stop := d.startReads(hosts, want)
		time.Sleep(period)
		readers = stop()
	})
	checkReads(d.t, readers, begun)
}

// awaitVoters waits until all hosts run and follow one leader, and five of them vote.
func (d *directories) awaitVoters() consensus.Status {
	eventually(d.t, "five of the six hosts vote", func() bool { return d.voters() == 5 })
	return d.awaitLeaderOf(d.ids)
}

// startConfigured starts six hosts and puts a configuration, which it returns.
func startConfigured(t *testing.T) (*directories, []byte) {
	d := startDirectories(t, 6)
	d.awaitVoters()
	document := bytes.Repeat([]byte("0123456789abcdef"), 1<<17)
	eventually(t, "the configuration is acknowledged", func() bool {
		return d.planes[d.ids[0]].Put(t.Context(), 1, document) == nil
	})
	return d, document
}

// TestReadWhileHostsAreDark guards against reads and changes of the configuration that
// fail at a host although it follows the leader, because it first asks hosts that have
// lost their power: a former leader, the last one, or any other.
func TestReadWhileHostsAreDark(t *testing.T) {
	for _, test := range []struct {
		name string
		lost func(leader, former string) string // one of the two hosts that are lost
	}{
		{"leader", func(leader, _ string) string { return leader }},
		{"former leader", func(_, former string) string { return former }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newRand(t)
			d, document := startConfigured(t)
			version := uint64(1)
			for range 3 {
				former := d.awaitVoters().ID
				d.checkReadsWhileLed(d.ids, d.ids, document, 100*time.Millisecond) // each host stores this leader
				d.setDark(true, former)
				d.awaitLeaderOf(d.others(former))
				d.setDark(false, former)
				leader := d.awaitVoters().ID
				lost := []string{test.lost(leader, former)}
				lost = append(lost, pick(r, d.others(leader, former), 1)[0])
				t.Logf("former leader %s, leader %s, lost %v", former, leader, lost)
				d.setDark(true, lost...)
				left := d.others(lost...)
				d.checkReadsWhileLed(left, left, document, 500*time.Millisecond)
				var slowest time.Duration
				var failed []error
				d.whileLed(left, func(string) {
					slowest, failed = 0, nil
					for _, id := range left {
						version++
						begun := time.Now()
						if err := d.planes[id].Put(t.Context(), version, document); err != nil {
							failed = append(failed, err)
						}
						slowest = max(slowest, time.Since(begun))
					}
				})
				t.Logf("slowest change %v, failed %v", slowest.Round(time.Millisecond), failed)
				is.Equal(len(failed), 0) // see the log
				is.True(slowest < readBound)
				d.setDark(false, lost...)
			}
		})
	}
}

// TestReadsDuringElection guards against reads that still fail, once the hosts follow the
// new leader, because the search for it began before.
func TestReadsDuringElection(t *testing.T) {
	r := newRand(t)
	d, document := startConfigured(t)
	for range 3 {
		leader := d.awaitVoters().ID
		lost := append(pick(r, d.others(leader), 1), leader)
		left := d.others(lost...)
		stop := d.startReads(left, document)
		time.Sleep(100 * time.Millisecond)
		d.setDark(true, lost...)
		before := d.awaitLeaderOf(left)
		since := time.Now()
		time.Sleep(1500 * time.Millisecond)
		after, led := d.leaderOf(left)
		readers := stop()
		if led && after.Term == before.Term {
			checkReads(t, readers, since)
		} else {
			t.Log("the leader changed meanwhile; the reads are not checked")
		}
		d.setDark(false, lost...)
	}
}

// TestReadAfterPowerLoss guards against reads that fail after all hosts lost their power,
// and two their disks: these stay dark or return empty.
func TestReadAfterPowerLoss(t *testing.T) {
	is := is.New(t)
	r := newRand(t)
	d, document := startConfigured(t)
	for _, dark := range []bool{true, false, true} {
		st := d.awaitVoters()
		lost := pick(r, slices.DeleteFunc(slices.Clone(d.ids), func(id string) bool { return !isVoter(st, id) }), 2)
		seeds := append(pick(r, d.ids, 1), lost...)
		t.Logf("lost %v, dark %t, seeds %v", lost, dark, seeds)
		for _, id := range d.ids {
			d.kill(id)
		}
		for _, id := range lost {
			is.NoErr(os.RemoveAll(filepath.Join(d.dir, id)))
		}
		d.setDark(dark, lost...)
		left := d.others(lost...)
		for _, id := range left {
			d.start(id, false, seeds)
		}
		if !dark {
			for _, id := range lost {
				d.start(id, false, seeds)
			}
		}
		d.checkReadsWhileLed(left, left, document, 500*time.Millisecond)
		if dark {
			d.setDark(false, lost...)
			for _, id := range lost {
				d.start(id, false, seeds)
			}
		}
		d.checkReadsWhileLed(d.ids, d.ids, document, 200*time.Millisecond)
	}
}

// TestReadAtRemovedHost guards against reads that fail at a host that was removed while
// it was cut off and is reachable again.
func TestReadAtRemovedHost(t *testing.T) {
	d, document := startConfigured(t)
	st := d.awaitVoters()
	removed := ""
	for i, id := range d.ids {
		if other := d.ids[(i+3)%6]; id != st.ID && isVoter(st, id) && isVoter(st, other) {
			removed = id
		}
	}
	d.setDark(true, removed)
	left := d.others(removed)
	eventually(t, "the host is removed", func() bool {
		st, ok := d.leaderOf(left)
		return ok && !slices.ContainsFunc(st.Members, func(m consensus.MemberStatus) bool { return m.ID == removed })
	})
	d.setDark(false, removed)
	d.checkReadsWhileLed(left, []string{removed}, document, time.Second)
}

// startGateway starts a gateway whose settings name the given hosts as seeds, and
// returns the function that reports whether it has a lease.
func (d *directories) startGateway(id string, seeds []string) (ready func() bool) {
	cfg := settings.Settings{
		Host:   settings.Host{ID: id, Name: id, DataCentre: "d0", Region: "r"},
		Listen: settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
	}
	for _, seed := range seeds {
		cfg.Control.Addresses = append(cfg.Control.Addresses, d.addresses[seed])
	}
	p, err := process.StartGateway(process.GatewayOptions{Settings: cfg, Dial: d.network.dialFrom(id), Adapter: process.Adapter{
		Callers:      func(*gateway.Gateway) lineserver.Handler { return lineserver.Handler{} }, // nobody calls
		MaxLineBytes: 1 << 10,
		ParseConfig:  func([]byte) (*database.Config, error) { return &database.Config{Version: 1}, nil },
		EntryRoutes:  func(r func() bool) map[string]http.HandlerFunc { ready = r; return nil },
	}})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = p.Stop(ctx) // the error says what was not finished
	})
	return ready
}

// TestGatewayStartsWithDarkSeeds guards against a gateway that gets no lease although
// one of its seeds runs, and against one that loses its lease when the leader is lost.
func TestGatewayStartsWithDarkSeeds(t *testing.T) {
	is := is.New(t)
	r := newRand(t)
	d, _ := startConfigured(t)
	for range 3 {
		leader := d.awaitVoters().ID
		running := d.startGateway("g0", d.ids[:3])
		eventually(t, "a lease", running)
		lost := append(pick(r, d.others(leader), 1), leader)
		d.setDark(true, lost...)
		left := d.others(lost...)
		var slowest time.Duration
		kept := true
		d.whileLed(left, func(leader string) {
			slowest, kept = 0, true
			follower := pick(r, d.others(append(lost, leader)...), 1)[0]
			for _, seed := range []string{leader, follower} {
				begun := time.Now()
				eventually(t, "a first lease", d.startGateway("g1", append([]string{seed}, lost...)))
				slowest = max(slowest, time.Since(begun))
				kept = kept && running()
			}
		})
		t.Logf("slowest first lease %v", slowest.Round(time.Millisecond))
		is.True(slowest < firstLeaseBound)
		is.True(kept)
		d.setDark(false, lost...)
	}
}
