package control_test

import (
	"fmt"
	"testing"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"pgregory.net/rapid"
)

// applyPlans applies plans until they are empty, and returns how many it applied.
func applyPlans(t *rapid.T, r *replica, dead map[string]bool) (moves int) {
	for {
		revoke, target := control.PlanMoves(r.View(), dead)
		if len(revoke)+len(target) == 0 {
			return moves
		}
		if moves++; moves > 100 {
			t.Fatalf("leases move for ever: %v, %v", revoke, target)
		}
		v := r.View()
		for _, id := range revoke {
			r.do(control.Command{Revoke: &control.RevokeLease{Server: id, Epoch: v.Leases[id].Epoch}})
		}
		for id, h := range target {
			r.do(control.Command{Assign: &control.AssignLease{Server: id, Epoch: v.Leases[id].Epoch, Host: h, Incarnation: "a"}})
		}
	}
}

// TestPlan guards against servers without an owner, owners that are dead,
// draining or farther away than needed, an uneven distribution, and leases that
// keep moving although nothing has changed.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplica(t)
		small := rapid.IntRange(0, 3)
		hosts := make(map[string]controlrpc.Host)
		for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
			dc := small.Draw(t, "data centre of a host")
			h := controlrpc.Host{
				ID: fmt.Sprint("h", i), Incarnation: "a", Address: "x",
				DataCentre: fmt.Sprint("dc", dc), Region: fmt.Sprint("r", dc/2),
			}
			hosts[h.ID] = h
			r.do(control.Command{Register: &control.RegisterHost{Host: h}})
		}
		for i := range rapid.IntRange(0, 20).Draw(t, "servers") {
			r.do(control.Command{Announce: &control.AnnounceServer{Server: controlrpc.Server{
				ID: fmt.Sprint("s", i), Group: "orders", Address: "x", DataCentre: fmt.Sprint("dc", small.Draw(t, "data centre of a server")),
			}}})
		}
		dead := make(map[string]bool)
		for round := range 3 {
			applyPlans(t, r, dead)
			checkPlacement(t, r.View(), hosts, dead)
			id := fmt.Sprint("h", rapid.IntRange(0, len(hosts)-1).Draw(t, "host"))
			if rapid.Bool().Draw(t, "drain") {
				r.do(drain(id, fmt.Sprint(round), false))
			} else {
				dead[id] = true
			}
		}
	})
}

func checkPlacement(t *rapid.T, v *control.View, hosts map[string]controlrpc.Host, dead map[string]bool) {
	usable := func(id string) bool { return !dead[id] && !v.Draining[id] }
	counts := make(map[string]int)
	best := make(map[string]int) // distance of the nearest usable host by data centre: 0 same, 1 same region, 2 elsewhere, 3 none
	distance := func(centre string, h controlrpc.Host) int {
		for _, other := range hosts {
			switch {
			case h.DataCentre == centre:
				return 0
			case other.DataCentre == centre && other.Region == h.Region:
				return 1
			}
		}
		return 2
	}
	for _, s := range v.Servers {
		near := 3
		for id, h := range hosts {
			if usable(id) {
				near = min(near, distance(s.DataCentre, h))
			}
		}
		best[s.DataCentre] = near
		l, ok := v.Leases[s.ID]
		if near == 3 {
			continue // no host can own it
		}
		if !ok || !usable(l.Host) || distance(s.DataCentre, hosts[l.Host]) > near {
			t.Fatalf("%s in %s is owned by %q; hosts %v, dead %v, draining %v", s.ID, s.DataCentre, l.Host, hosts, dead, v.Draining)
		}
		counts[l.Host]++
	}
	for _, s := range v.Servers {
		for id, h := range hosts {
			from := v.Leases[s.ID].Host
			near := best[s.DataCentre] < 3 && usable(id) && distance(s.DataCentre, h) == best[s.DataCentre]
			if near && counts[from] > counts[id]+1+counts[id]/4 {
				t.Fatalf("%s owns %d servers, %s owns %d", from, counts[from], id, counts[id])
			}
		}
	}
}
