package control_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// fleet returns a state of the size that the design assumes: 10,000 groups of
// three members on 4,800 hosts in nine data centres, with all leases assigned.
func fleet(b *testing.B) *replica {
	const groups, hosts = 10_000, 4_800
	r := newReplica(b)
	for i := range hosts {
		r.do(control.Command{Register: &control.RegisterHost{Host: controlrpc.Host{
			ID: fmt.Sprint("h", i), Incarnation: "a", Address: "x", DataCentre: fmt.Sprint("dc", i%9), Region: fmt.Sprint("r", i%3),
		}}})
	}
	var text strings.Builder
	for g := range groups {
		fmt.Fprintf(&text, "[[database_group]]\nname = \"g%d\"\nmembers = 3\n", g)
		for k := range 3 {
			id, dc := fmt.Sprintf("s%d-%d", g, k), (g+3*k)%9
			r.do(control.Command{Announce: &control.AnnounceServer{Server: controlrpc.Server{
				ID: id, Group: fmt.Sprint("g", g), Address: id, DataCentre: fmt.Sprint("dc", dc),
			}}})
			r.do(assign(id, 0, fmt.Sprint("h", dc+9*(g/9%(hosts/9)))))
		}
	}
	r.configure("c", "ann", 0, text.String())
	return r
}

// BenchmarkFleet measures the work of the leader after one change at the size of
// fleet.
func BenchmarkFleet(b *testing.B) {
	r := fleet(b)
	b.Run("view", func(b *testing.B) {
		for b.Loop() {
			r.do(drain("s0-0", fmt.Sprint(r.index), false))
			r.View()
		}
	})
	b.Run("plan", func(b *testing.B) {
		for b.Loop() {
			control.PlanMoves(r.View(), nil)
		}
	})
}
