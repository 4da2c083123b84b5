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

// event is one fault of a schedule, after a delay.
type event struct {
	delay time.Duration
	kind  string // see play
	host  string // h1 to h3; for servers, the server of that number
}

// play sets up three hosts with three servers, plays the events and returns
// the violations that traffic found.
func play(t *testing.T, opts control.Options, events []event) []string {
	var out []string
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, opts)
		defer w.stop()
		startGroup(w)
		time.Sleep(10 * time.Second) // each server is owned in its data centre
		tr := w.startTraffic()
		for _, e := range events {
			time.Sleep(e.delay)
			w.play(e, tr)
		}
		time.Sleep(2 * time.Second)
		revive(w, tr)
		for _, h := range []string{"h1", "h2", "h3"} {
			setDraining(w, h, true)
		}
		w.eventually(15*time.Second, "each server has an owner and follows", func() bool {
			return len(w.owners("s1")) == 1 && len(w.owners("s2")) == 1 && len(w.owners("s3")) == 1 && w.allFollow("orders")
		})
		tr.progress(time.Second)
		w.locked(func() { out = tr.violations })
	})
	return out
}

func (w *world) play(e event, tr *traffic) {
	switch e.kind {
	case "lead":
		_ = replaceLeader(w)
	case "join":
		if w.view().Servers["s4"].ID == "" {
			join("s4")(w, tr)
		}
	case "depart":
		depart("s"+e.host[1:])(w, tr)
	case "request":
		if w.view().Groups["orders"].Phase != controlrpc.PhaseWaiting {
			request(w, tr)
		}
	case "drain", "undrain":
		setDraining(w, e.host, e.kind == "undrain")
	case "restart":
		w.mu.Lock()
		old := w.hosts["at-"+e.host]
		old.cancelled()
		// The old process no longer acts on anything.
		old.until = time.Time{}
		w.mu.Unlock()
		w.addHost(e.host, "restarted at "+time.Now().String(), old.info.DataCentre, old.info.Region)
	case "isolate":
		// Right after a heartbeat the host may act for the longest time.
		h, fresh := w.hosts["at-"+e.host], false
		for i := 0; i < 400 && !fresh; i++ {
			time.Sleep(time.Millisecond)
			w.locked(func() {
				fresh = time.Until(h.until) > 1190*time.Millisecond
				h.mute, h.silent = fresh, fresh
			})
		}
		w.locked(func() { h.mute, h.silent = true, true })
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		h, s := w.hosts["at-"+e.host], w.servers["at-s"+e.host[1:]]
		switch e.kind {
		case "kill", "revive":
			s.down, s.lost = e.kind == "kill", time.Now()
		case "lag":
			tr.w.lag = map[string]bool{s.id: true}
		case "pause", "resume":
			h.paused = e.kind == "pause"
		case "cut":
			cut(h)
		case "mend":
			h.silent, h.deaf, h.mute = false, false, false
		}
	}
}

// TestOneOwner guards against two hosts that act on one lease or as owners of
// a primary at the same time, against a primary without acknowledged writes,
// and against a group that does not recover, whatever is paused, cut off,
// restarted, drained, killed or replaced.
func TestOneOwner(t *testing.T) {
	t.Parallel()
	draw := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
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
		if v := play(t, control.Options{}, events); len(v) > 0 {
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
		events    []event
	}{
		{"run out", []event{{500 * ms, "cut", "h1"}, {10 * ms, "drain", "h1"}}},
		{"new leader", []event{{500 * ms, "isolate", "h1"}, {10 * ms, "lead", ""}}},
	} {
		for _, mechanism := range []string{"", tc.mechanism} {
			t.Run(tc.mechanism+", off: "+mechanism, func(t *testing.T) {
				is := is.New(t)
				found := play(t, control.Options{}.Without(mechanism), tc.events)
				is.Equal(len(found) > 0, mechanism != "")
			})
		}
	}
}

// TestNewLeader guards against a new leader that takes a lease from a host
// which renewed with the old leader just before, and against leaders that
// move leases of hosts which are well.
func TestNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, control.Options{})
		defer w.stop()
		startGroup(w)
		time.Sleep(10 * time.Second) // placements have settled
		before := w.view().Leases
		for range 5 {
			_ = replaceLeader(w)
			time.Sleep(700 * time.Millisecond)
		}
		is.Equal(w.view().Leases, before)
		for server := range before {
			is.Equal(len(w.owners(server)), 1)
		}
		is.NoErr(w.controls[w.leader].Stop(t.Context())) // planned stop
		time.Sleep(2 * time.Second)
		is.Equal(w.view().Leases, before)
		for server := range before {
			is.Equal(len(w.owners(server)), 1)
		}
	})
}

// TestDrainHost guards against leases that stay at a draining host or come
// back to it, and against a move that leaves the server without owner for
// longer than the new owner's next heartbeat.
func TestDrainHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, control.Options{})
		defer w.stop()
		startGroup(w)
		time.Sleep(10 * time.Second)
		setDraining(w, "h1", false)
		w.eventually(400*time.Millisecond, "the lease has moved", func() bool {
			o := w.owners("s1")
			return len(o) == 1 && o[0] != "h1/a"
		})
		time.Sleep(5 * time.Second)
		if l := w.view().Leases["s1"]; l.Host == "h1" {
			t.Errorf("a draining host owns s1: %v", l)
		}
		setDraining(w, "h1", true)
		w.eventually(8*time.Second, "the lease is back in the server's data centre", func() bool {
			o := w.owners("s1")
			return len(o) == 1 && o[0] == "h1/a"
		})
	})
}

// TestReplacedProcess guards against an old process of a host that still runs
// beside the new one: it must not take the host's registration or leases back.
func TestReplacedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, control.Options{})
		defer w.stop()
		startGroup(w)
		time.Sleep(10 * time.Second)
		old := w.hosts["at-h1"]
		defer old.cancelled()
		w.addHost("h1", "b", "dc-h1", "region")
		w.eventually(3*time.Second, "the new process owns s1", func() bool {
			o := w.owners("s1")
			return len(o) == 1 && o[0] == "h1/b"
		})
		version := w.view().Version
		time.Sleep(10 * time.Second)
		is.Equal(w.view().Version, version)
		is.Equal(len(old.acts()), 0)
	})
}
