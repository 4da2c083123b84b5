package control_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// faultEvent is a fault, a repair or a request that is injected after a delay.
type faultEvent struct {
	delay time.Duration
	kind  string // see cluster.inject
	host  string // h1 to h3; server faults affect the server with the same number
}

// runFaults starts three hosts with three servers, injects the events and
// returns the violations that traffic found.
func runFaults(t *testing.T, opts control.Options, events []faultEvent) []string {
	var out []string
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, opts)
		defer cl.stop()
		startGroup(cl)
		time.Sleep(10 * time.Second) // until each server is owned in its data centre
		tr := cl.startTraffic()
		for _, e := range events {
			time.Sleep(e.delay)
			cl.inject(e, tr)
		}
		time.Sleep(2 * time.Second)
		repairAll(cl, tr)
		for _, h := range []string{"h1", "h2", "h3"} {
			setDraining(cl, h, true)
		}
		cl.eventually(15*time.Second, "each server has an owner and follows", func() bool {
			return len(cl.owners("s1")) == 1 && len(cl.owners("s2")) == 1 && len(cl.owners("s3")) == 1 && cl.allFollow("orders")
		})
		tr.awaitWrites(time.Second)
		cl.withLock(func() { out = tr.violations })
	})
	return out
}

// inject carries out one event.
func (cl *cluster) inject(e faultEvent, tr *traffic) {
	switch e.kind {
	case "lead":
		_ = replaceLeader(cl)
	case "join":
		if cl.view().Servers["s4"].ID == "" {
			join("s4")(cl, tr)
		}
	case "depart":
		depart("s"+e.host[1:])(cl, tr)
	case "request":
		if cl.view().Groups["orders"].Phase != controlrpc.PhaseWaiting {
			requestFailover(cl, tr)
		}
	case "drain", "undrain":
		setDraining(cl, e.host, e.kind == "undrain")
	case "restart":
		cl.mu.Lock()
		old := cl.hosts["at-"+e.host]
		old.cancel()
		// The old process acts on no lease any more.
		old.grantedUntil = time.Time{}
		cl.mu.Unlock()
		cl.addHost(e.host, "restarted at "+time.Now().String(), old.info.DataCentre, old.info.Region)
	case "isolate":
		// Isolate the host right after a heartbeat, when its leases remain valid
		// for the longest time.
		h, fresh := cl.hosts["at-"+e.host], false
		for i := 0; i < 400 && !fresh; i++ {
			time.Sleep(time.Millisecond)
			cl.withLock(func() {
				fresh = time.Until(h.grantedUntil) > 1190*time.Millisecond
				h.dropsHeartbeats, h.dropsCalls = fresh, fresh
			})
		}
		cl.withLock(func() { h.dropsHeartbeats, h.dropsCalls = true, true })
	default:
		cl.mu.Lock()
		defer cl.mu.Unlock()
		h, s := cl.hosts["at-"+e.host], cl.servers["at-s"+e.host[1:]]
		switch e.kind {
		case "kill", "revive":
			s.down, s.downSince = e.kind == "kill", time.Now()
		case "lag":
			tr.cl.lag = map[string]bool{s.id: true}
		case "pause", "resume":
			h.paused = e.kind == "pause"
		case "cut":
			dropCallsAndReplies(h)
		case "mend":
			h.dropsCalls, h.dropsReplies, h.dropsHeartbeats = false, false, false
		}
	}
}

// TestOneOwner guards against two hosts that act on one lease or as owners of a
// primary at the same time, against a primary that lacks acknowledged writes,
// and against a group that does not recover after random sequences of faults,
// drains and leader changes.
func TestOneOwner(t *testing.T) {
	t.Parallel()
	draw := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultEvent {
		return faultEvent{
			delay: time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond,
			kind: rapid.SampledFrom([]string{
				"pause", "pause", "resume", "cut", "isolate", "mend", "restart", "lead", "drain", "undrain",
				"kill", "kill", "revive", "lag", "request", "join", "depart",
			}).Draw(t, "kind"),
			host: rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host"),
		}
	}), 1, 12)
	rapid.Check(t, func(rt *rapid.T) {
		events := draw.Draw(rt, "events")
		if v := runFaults(t, control.Options{}, events); len(v) > 0 {
			rt.Fatalf("%s", strings.Join(v, "; "))
		}
	})
}

// TestOneOwnerMechanisms shows that the check of TestOneOwner detects the
// absence of each mechanism that it relies on.
func TestOneOwnerMechanisms(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		mechanism string
		events    []faultEvent
	}{
		{"grant expiry", []faultEvent{{500 * ms, "cut", "h1"}, {10 * ms, "drain", "h1"}}},
		{"leader grace period", []faultEvent{{500 * ms, "isolate", "h1"}, {10 * ms, "lead", ""}}},
	} {
		for _, mechanism := range []string{"", tc.mechanism} {
			t.Run(tc.mechanism+", off: "+mechanism, func(t *testing.T) {
				is := is.New(t)
				found := runFaults(t, control.Options{}.Without(mechanism), tc.events)
				is.Equal(len(found) > 0, mechanism != "")
			})
		}
	}
}

// TestNewLeader guards against a new leader that revokes the lease of a host
// which has just renewed its session with the old leader, or that otherwise
// moves leases of healthy hosts.
func TestNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, control.Options{})
		defer cl.stop()
		startGroup(cl)
		time.Sleep(10 * time.Second) // until the placement is stable
		before := cl.view().Leases
		for range 5 {
			_ = replaceLeader(cl)
			time.Sleep(700 * time.Millisecond)
		}
		is.Equal(cl.view().Leases, before)
		for server := range before {
			is.Equal(len(cl.owners(server)), 1)
		}
		is.NoErr(cl.controls[cl.leader].Stop(t.Context())) // planned stop
		time.Sleep(2 * time.Second)
		is.Equal(cl.view().Leases, before)
		for server := range before {
			is.Equal(len(cl.owners(server)), 1)
		}
	})
}

// TestDrainHost guards against leases that stay at a draining host or return to
// it, and against a move that leaves the server without an owner for longer than
// until the new owner's next heartbeat.
func TestDrainHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, control.Options{})
		defer cl.stop()
		startGroup(cl)
		time.Sleep(10 * time.Second)
		setDraining(cl, "h1", false)
		cl.eventually(400*time.Millisecond, "the lease has moved", func() bool {
			o := cl.owners("s1")
			return len(o) == 1 && o[0] != "h1/a"
		})
		time.Sleep(5 * time.Second)
		if l := cl.view().Leases["s1"]; l.Host == "h1" {
			t.Errorf("a draining host owns s1: %v", l)
		}
		setDraining(cl, "h1", true)
		cl.eventually(8*time.Second, "the lease is back in the server's data centre", func() bool {
			o := cl.owners("s1")
			return len(o) == 1 && o[0] == "h1/a"
		})
	})
}

// TestReplacedProcess guards against an old process of a host that still runs
// next to the new one and takes back the registration or leases of the host.
func TestReplacedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, control.Options{})
		defer cl.stop()
		startGroup(cl)
		time.Sleep(10 * time.Second)
		old := cl.hosts["at-h1"]
		defer old.cancel()
		cl.addHost("h1", "b", "dc-h1", "region")
		cl.eventually(3*time.Second, "the new process owns s1", func() bool {
			o := cl.owners("s1")
			return len(o) == 1 && o[0] == "h1/b"
		})
		version := cl.view().Version
		time.Sleep(10 * time.Second)
		is.Equal(cl.view().Version, version)
		is.Equal(len(old.activeLeases()), 0)
	})
}
