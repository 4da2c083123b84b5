package control_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// killPrimary stops the primary. Its owner reports that after 500 ms.
func killPrimary(w *world, _ *traffic) {
	id := w.primary("orders")
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers["at-"+id]
	s.down, s.lost = true, time.Now()
}

// revive starts all servers and owners again and ends all faults.
func revive(w *world, tr *traffic) {
	for id := range w.view().Draining {
		setDraining(w, id, true)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.before, w.after = nil, nil
	clear(tr.w.lag)
	for _, s := range w.servers {
		s.down = false
	}
	for _, h := range w.hosts {
		h.paused, h.silent, h.deaf, h.mute, h.blind = false, false, false, false, false
	}
}

// atOwner does something to the owner of the primary.
func atOwner(act func(*host)) func(*world, *traffic) {
	return func(w *world, _ *traffic) {
		owner := w.view().Leases[w.primary("orders")].Host
		w.locked(func() { act(w.hosts["at-"+owner]) })
	}
}

// silence makes a host ignore calls of control, while its heartbeats go on.
func silence(h *host) { h.silent = true }

func pause(h *host) { h.paused = true }

// cut also keeps the replies of control from the host, so that it acts on the
// last one as long as it may.
func cut(h *host) { h.silent, h.deaf = true, true }

func request(w *world, _ *traffic) {
	reply, err := w.client().Failover(w.t.Context(), &controlrpc.FailoverArgs{Group: "orders"})
	w.must("failover", reply.Answer, err)
}

func drainPrimary(w *world, _ *traffic) { setDraining(w, w.primary("orders"), false) }

func setDraining(w *world, id string, undo bool) {
	reply, err := w.client().Drain(w.t.Context(), &controlrpc.DrainArgs{
		ID: id, Undo: undo, ChangeID: fmt.Sprint(id, undo, time.Now()),
	})
	w.must("drain", reply.Answer, err)
}

// at returns a fault that replaces the leader or fails a call when a step is
// reached for the first few times.
func at(step string, times int32, act func(w *world) error) func(*world, *traffic) {
	return func(w *world, _ *traffic) {
		var seen atomic.Int32
		w.locked(func() {
			earlier := w.before
			w.before = func(s string) error {
				if earlier != nil && earlier(s) != nil {
					return errSilent
				}
				if strings.HasPrefix(s, step) && seen.Add(1) <= times {
					return act(w)
				}
				return nil
			}
		})
	}
}

func loseCall(*world) error { return errSilent }

// swapLag lets the replica that was behind overtake the other between the
// first look at the positions and the fencing.
func swapLag(w *world, tr *traffic) {
	w.mu.Lock()
	tr.w.lag["s3"] = true
	w.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	at("propose begin", 1, func(w *world) error {
		w.mu.Lock()
		tr.w.lag = map[string]bool{"s1": true}
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		return nil
	})(w, tr)
}

func replaceLeader(w *world) error {
	var next int
	w.locked(func() { next = (w.leader + 1) % len(w.controls) })
	w.lead(next)
	return nil
}

// loseAnswer loses the answer of a proposal that was carried out.
func loseAnswer(step string) func(*world, *traffic) {
	return func(w *world, _ *traffic) {
		var seen atomic.Int32
		w.locked(func() {
			w.after = func(s string) error {
				if s == step && seen.Add(1) == 1 {
					return errSilent
				}
				return nil
			}
		})
	}
}

// TestFailover guards against a group that stays without a primary, that
// loses an acknowledged write, or that has two owners of a primary, when
// something fails at any step of the change.
func TestFailover(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		faults []func(*world, *traffic)
		limit  time.Duration // longest time without an acknowledged write
	}{
		{"primary lost", []func(*world, *traffic){killPrimary}, 2 * time.Second},
		{"primary and its owner lost", []func(*world, *traffic){killPrimary, atOwner(pause)}, 4 * time.Second},
		{"owner paused", []func(*world, *traffic){atOwner(pause)}, 3 * time.Second},
		{"owner does not reach the primary", []func(*world, *traffic){atOwner(func(h *host) { h.blind = true })}, 5 * time.Second},
		{"old owner silent", []func(*world, *traffic){atOwner(silence), killPrimary}, 3 * time.Second},
		{"old owner silent, operator's request", []func(*world, *traffic){atOwner(silence), request}, 3 * time.Second},
		{"old owner cut off, operator's request", []func(*world, *traffic){atOwner(cut), request}, 3 * time.Second},
		{"replica lags", []func(*world, *traffic){lagging("s1", true), killPrimary}, 2 * time.Second},
		{"operator's request", []func(*world, *traffic){request}, time.Second},
		{"primary draining", []func(*world, *traffic){drainPrimary}, time.Second},
		{"primary draining, replica lags", []func(*world, *traffic){lagging("s1", true), drainPrimary}, time.Second},
		{"fence lost", []func(*world, *traffic){at("fence", 3, loseCall), killPrimary}, 5 * time.Second},
		{"fence of one member lost", []func(*world, *traffic){at("fence at-s1", 1, loseCall), request}, 3 * time.Second},
		{"promote lost", []func(*world, *traffic){at("promote", 2, loseCall), killPrimary}, 8 * time.Second},
		{"revoke lost", []func(*world, *traffic){at("revoke", 2, loseCall), request}, 3 * time.Second},
		{"begin not proposed", []func(*world, *traffic){at("propose begin", 1, loseCall), killPrimary}, 3 * time.Second},
		{"begin's answer lost", []func(*world, *traffic){loseAnswer("begin"), killPrimary}, 3 * time.Second},
		{"name not proposed", []func(*world, *traffic){at("propose name", 1, loseCall), killPrimary}, 3 * time.Second},
		{"name's answer lost", []func(*world, *traffic){loseAnswer("name"), killPrimary}, 3 * time.Second},
		{"leader replaced before begin", []func(*world, *traffic){at("propose begin", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced before fence", []func(*world, *traffic){at("fence", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced twice before fence", []func(*world, *traffic){at("fence", 4, replaceLeader), killPrimary}, 5 * time.Second},
		{"leader replaced before revoke", []func(*world, *traffic){at("revoke", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced before promote", []func(*world, *traffic){at("promote", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced before name", []func(*world, *traffic){at("propose name", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced, old owner silent", []func(*world, *traffic){atOwner(silence), at("fence", 1, replaceLeader), killPrimary}, 5 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, control.Options{})
				defer w.stop()
				startGroup(w)
				tr := w.startTraffic()
				// The same faults hit the repaired group a second time.
				for range 2 {
					tr.progress(2 * time.Second)
					for _, fault := range tc.faults {
						fault(w, tr)
					}
					time.Sleep(tc.limit)
					tr.progress(tc.limit)
					gap := tr.longestGap()
					t.Logf("longest time without an acknowledged write: %v", gap)
					if gap > tc.limit {
						t.Errorf("no write was acknowledged for %v, want at most %v", gap, tc.limit)
					}
					revive(w, tr)
					w.eventually(10*time.Second, "all members follow", func() bool { return w.allFollow("orders") })
				}
				for _, v := range tr.violations {
					t.Error(v)
				}
			})
		})
	}
}

// TestFailoverMechanisms shows that the checks of TestFailover detect the
// absence of each mechanism that they rely on.
func TestFailoverMechanisms(t *testing.T) {
	for _, tc := range []struct {
		mechanism string
		faults    []func(*world, *traffic)
		want      string // part of the violation
	}{
		{"run out", []func(*world, *traffic){atOwner(cut), request}, "still acted"},
		{"preparation", []func(*world, *traffic){atOwner(silence), request}, "still acted"},
		{"majority", []func(*world, *traffic){lagging("s1", true), at("fence at-s2", 1, loseCall), at("fence at-s3", 1, loseCall), request}, "without"},
		{"caught up", []func(*world, *traffic){
			lagging("s1", true), lagging("s4", true), join("s4"), depart("s3"), wait, wait, killPrimary,
		}, "without"},
		{"fenced positions", []func(*world, *traffic){swapLag, request}, "without"},
	} {
		for _, mechanism := range []string{"", tc.mechanism} {
			t.Run(tc.mechanism+", off: "+mechanism, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, 3, control.Options{}.Without(mechanism))
					defer w.stop()
					startGroup(w)
					tr := w.startTraffic()
					tr.progress(2 * time.Second)
					for _, fault := range tc.faults {
						fault(w, tr)
					}
					time.Sleep(5 * time.Second)
					var found string
					w.locked(func() { found = strings.Join(tr.violations, "; ") })
					if mechanism == "" && found != "" {
						t.Errorf("violations: %s", found)
					}
					if mechanism != "" && !strings.Contains(found, tc.want) {
						t.Errorf("violations %q don't contain %q although %q is off", found, tc.want, mechanism)
					}
				})
			})
		}
	}
}
