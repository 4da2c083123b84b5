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

// killPrimary stops the primary. Its owner reports it as suspect after 500 ms.
func killPrimary(cl *cluster, _ *traffic) {
	id := cl.primary("orders")
	cl.mu.Lock()
	defer cl.mu.Unlock()
	s := cl.servers["at-"+id]
	s.down, s.downSince = true, time.Now()
}

// repairAll restarts all servers and owners, undoes all drains and ends all
// faults.
func repairAll(cl *cluster, tr *traffic) {
	for id := range cl.view().Draining {
		setDraining(cl, id, true)
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.beforeCall, cl.afterPropose = nil, nil
	clear(tr.cl.lag)
	for _, s := range cl.servers {
		s.down = false
	}
	for _, h := range cl.hosts {
		h.paused, h.dropsCalls, h.dropsReplies, h.dropsHeartbeats, h.serversUnreachable = false, false, false, false, false
	}
}

// atOwner returns a fault that calls act with the owner of the primary.
func atOwner(act func(*host)) func(*cluster, *traffic) {
	return func(cl *cluster, _ *traffic) {
		owner := cl.view().Leases[cl.primary("orders")].Host
		cl.withLock(func() { act(cl.hosts["at-"+owner]) })
	}
}

// dropCalls makes a host ignore calls from control, while it continues to send
// heartbeats.
func dropCalls(h *host) { h.dropsCalls = true }

func pause(h *host) { h.paused = true }

// dropCallsAndReplies also drops the replies to the heartbeats, so that the host
// acts on the last reply until the TTL expires.
func dropCallsAndReplies(h *host) { h.dropsCalls, h.dropsReplies = true, true }

func requestFailover(cl *cluster, _ *traffic) {
	reply, err := cl.client().Failover(cl.t.Context(), &controlrpc.FailoverArgs{Group: "orders"})
	cl.expectOK("failover", reply.Answer, err)
}

func drainPrimary(cl *cluster, _ *traffic) { setDraining(cl, cl.primary("orders"), false) }

func setDraining(cl *cluster, id string, undo bool) {
	reply, err := cl.client().Drain(cl.t.Context(), &controlrpc.DrainArgs{
		ID: id, Undo: undo, ChangeID: fmt.Sprint(id, undo, time.Now()),
	})
	cl.expectOK("drain", reply.Answer, err)
}

// faultAt returns a fault that calls act when a step is reached, at most times
// times. act replaces the leader or makes the call fail.
func faultAt(step string, times int32, act func(cl *cluster) error) func(*cluster, *traffic) {
	return func(cl *cluster, _ *traffic) {
		var seen atomic.Int32
		cl.withLock(func() {
			earlier := cl.beforeCall
			cl.beforeCall = func(s string) error {
				if earlier != nil && earlier(s) != nil {
					return errNoAnswer
				}
				if strings.HasPrefix(s, step) && seen.Add(1) <= times {
					return act(cl)
				}
				return nil
			}
		})
	}
}

func failCall(*cluster) error { return errNoAnswer }

// swapLag lets the lagging replica overtake the other one between the first
// status calls and the fencing.
func swapLag(cl *cluster, tr *traffic) {
	cl.mu.Lock()
	tr.cl.lag["s3"] = true
	cl.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	faultAt("propose begin", 1, func(cl *cluster) error {
		cl.mu.Lock()
		tr.cl.lag = map[string]bool{"s1": true}
		cl.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		return nil
	})(cl, tr)
}

func replaceLeader(cl *cluster) error {
	var next int
	cl.withLock(func() { next = (cl.leader + 1) % len(cl.controls) })
	cl.setLeader(next)
	return nil
}

// loseAnswer returns a fault that drops the answer of the first proposal of a
// step after it was applied.
func loseAnswer(step string) func(*cluster, *traffic) {
	return func(cl *cluster, _ *traffic) {
		var seen atomic.Int32
		cl.withLock(func() {
			cl.afterPropose = func(s string) error {
				if s == step && seen.Add(1) == 1 {
					return errNoAnswer
				}
				return nil
			}
		})
	}
}

// TestFailover guards against a group that stays without a primary, loses an
// acknowledged write or has two owners of a primary after a failure at any step
// of the change.
func TestFailover(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		faults []func(*cluster, *traffic)
		limit  time.Duration // longest time without an acknowledged write
	}{
		{"primary lost", []func(*cluster, *traffic){killPrimary}, 2 * time.Second},
		{"primary and its owner lost", []func(*cluster, *traffic){killPrimary, atOwner(pause)}, 4 * time.Second},
		{"owner paused", []func(*cluster, *traffic){atOwner(pause)}, 3 * time.Second},
		{"owner does not reach the primary", []func(*cluster, *traffic){atOwner(func(h *host) { h.serversUnreachable = true })}, 5 * time.Second},
		{"old owner silent", []func(*cluster, *traffic){atOwner(dropCalls), killPrimary}, 3 * time.Second},
		{"old owner silent, operator's request", []func(*cluster, *traffic){atOwner(dropCalls), requestFailover}, 3 * time.Second},
		{"old owner cut off, operator's request", []func(*cluster, *traffic){atOwner(dropCallsAndReplies), requestFailover}, 3 * time.Second},
		{"replica lags", []func(*cluster, *traffic){lagging("s1", true), killPrimary}, 2 * time.Second},
		{"operator's request", []func(*cluster, *traffic){requestFailover}, time.Second},
		{"primary draining", []func(*cluster, *traffic){drainPrimary}, time.Second},
		{"primary draining, replica lags", []func(*cluster, *traffic){lagging("s1", true), drainPrimary}, time.Second},
		{"fence lost", []func(*cluster, *traffic){faultAt("fence", 3, failCall), killPrimary}, 5 * time.Second},
		{"fence of one member lost", []func(*cluster, *traffic){faultAt("fence at-s1", 1, failCall), requestFailover}, 3 * time.Second},
		{"promote lost", []func(*cluster, *traffic){faultAt("promote", 2, failCall), killPrimary}, 8 * time.Second},
		{"revoke lost", []func(*cluster, *traffic){faultAt("revoke", 2, failCall), requestFailover}, 3 * time.Second},
		{"begin not proposed", []func(*cluster, *traffic){faultAt("propose begin", 1, failCall), killPrimary}, 3 * time.Second},
		{"begin's answer lost", []func(*cluster, *traffic){loseAnswer("begin"), killPrimary}, 3 * time.Second},
		{"name not proposed", []func(*cluster, *traffic){faultAt("propose name", 1, failCall), killPrimary}, 3 * time.Second},
		{"name's answer lost", []func(*cluster, *traffic){loseAnswer("name"), killPrimary}, 3 * time.Second},
		{"leader replaced before begin", []func(*cluster, *traffic){faultAt("propose begin", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced before fence", []func(*cluster, *traffic){faultAt("fence", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced twice before fence", []func(*cluster, *traffic){faultAt("fence", 4, replaceLeader), killPrimary}, 5 * time.Second},
		{"leader replaced before revoke", []func(*cluster, *traffic){faultAt("revoke", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced before promote", []func(*cluster, *traffic){faultAt("promote", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced before name", []func(*cluster, *traffic){faultAt("propose name", 1, replaceLeader), killPrimary}, 4 * time.Second},
		{"leader replaced, old owner silent", []func(*cluster, *traffic){atOwner(dropCalls), faultAt("fence", 1, replaceLeader), killPrimary}, 5 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, control.Options{})
				defer cl.stop()
				startGroup(cl)
				tr := cl.startTraffic()
				// The same faults hit the repaired group a second time.
				for range 2 {
					tr.awaitWrites(2 * time.Second)
					for _, fault := range tc.faults {
						fault(cl, tr)
					}
					time.Sleep(tc.limit)
					tr.awaitWrites(tc.limit)
					gap := tr.takeMaxGap()
					t.Logf("longest time without an acknowledged write: %v", gap)
					if gap > tc.limit {
						t.Errorf("no write was acknowledged for %v, want at most %v", gap, tc.limit)
					}
					repairAll(cl, tr)
					cl.eventually(10*time.Second, "all members follow", func() bool { return cl.allFollow("orders") })
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
		faults    []func(*cluster, *traffic)
		want      string // part of the violation
	}{
		{"grant expiry", []func(*cluster, *traffic){atOwner(dropCallsAndReplies), requestFailover}, "still acted"},
		{"preparation", []func(*cluster, *traffic){atOwner(dropCalls), requestFailover}, "still acted"},
		{"majority", []func(*cluster, *traffic){lagging("s1", true), faultAt("fence at-s2", 1, failCall), faultAt("fence at-s3", 1, failCall), requestFailover}, "without"},
		{"caught up", []func(*cluster, *traffic){
			lagging("s1", true), lagging("s4", true), join("s4"), depart("s3"), waitFiveSeconds, waitFiveSeconds, killPrimary,
		}, "without"},
		{"fenced positions", []func(*cluster, *traffic){swapLag, requestFailover}, "without"},
	} {
		for _, mechanism := range []string{"", tc.mechanism} {
			t.Run(tc.mechanism+", off: "+mechanism, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newCluster(t, 3, control.Options{}.Without(mechanism))
					defer cl.stop()
					startGroup(cl)
					tr := cl.startTraffic()
					tr.awaitWrites(2 * time.Second)
					for _, fault := range tc.faults {
						fault(cl, tr)
					}
					time.Sleep(5 * time.Second)
					var found string
					cl.withLock(func() { found = strings.Join(tr.violations, "; ") })
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
