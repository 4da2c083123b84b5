package control_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// fleet returns a state of the size of the design page: 10,000 groups of
// three members on 4,800 hosts in nine data centres, all leases assigned.
func fleet(b *testing.B) (*control.Machine, uint64) {
	const groups, hosts = 10_000, 4_800
	m, index := control.NewMachine(), uint64(0)
	apply := func(c control.Command) {
		index++
		results, err := control.DecodeResults(m.Apply(index, control.EncodeCommands(c)))
		if err != nil || results[0].Err() != nil {
			b.Fatal(err, results)
		}
	}
	for i := range hosts {
		id := fmt.Sprint("h", i)
		apply(control.Command{Register: &control.RegisterHost{Host: controlrpc.Host{
			ID: id, Incarnation: "a", Address: id, DataCentre: fmt.Sprint("dc", i%9), Region: fmt.Sprint("r", i%3),
		}}})
	}
	var text strings.Builder
	for g := range groups {
		fmt.Fprintf(&text, "[[database_group]]\nname = \"g%d\"\nmembers = 3\n", g)
		for k := range 3 {
			id := fmt.Sprintf("s%d-%d", g, k)
			apply(control.Command{Announce: &control.AnnounceServer{Server: controlrpc.Server{
				ID: id, Group: fmt.Sprint("g", g), Address: id, DataCentre: fmt.Sprint("dc", (g+3*k)%9),
			}}})
			apply(control.Command{Assign: &control.AssignLease{
				Server: id, Host: fmt.Sprint("h", (g+3*k)%9+9*(g/9%(hosts/9))), Incarnation: "a",
			}})
		}
	}
	apply(control.Command{Configure: &control.Configure{Args: controlrpc.ApplyArgs{ChangeID: "c", Operator: "o", Text: text.String()}}})
	return m, index
}

// BenchmarkFleet measures what the leader does after one change at that size.
func BenchmarkFleet(b *testing.B) {
	m, index := fleet(b)
	touch := func() {
		index++
		m.Apply(index, control.EncodeCommands(control.Command{Drain: &control.SetDraining{
			Args: controlrpc.DrainArgs{ID: "s0-0", ChangeID: fmt.Sprint(index)},
		}}))
	}
	b.Run("view", func(b *testing.B) {
		for b.Loop() {
			touch()
			m.View()
		}
	})
	b.Run("plan", func(b *testing.B) {
		for b.Loop() {
			control.PlanAll(m.View())
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			b.SetBytes(int64(len(m.Snapshot())))
		}
	})
}
