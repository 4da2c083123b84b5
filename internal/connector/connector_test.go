package connector_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/arbutusring/arbutusring/internal/connector"
	"github.com/matryer/is"
)

// installation is a synthetic installation of three regions.
type installation struct {
	hosts, servers, maxConnections int
}

// sizes are the number of hosts of the installations that were described, and the
// design size.
var sizes = []installation{
	{30, 24, 70}, {68, 24, 49}, {84, 24, 49}, {300, 90, 49}, {1000, 300, 49}, {4800, 600, 25},
}

var regions = []string{"r1", "r2", "r3"}

func (in installation) list() []connector.Host {
	var list []connector.Host
	for i := range in.hosts {
		list = append(list, connector.Host{ID: fmt.Sprint("entry-", i), Region: regions[i%3]})
	}
	return list
}

func (in installation) choices(h *connector.Hosts) []connector.Choice {
	var out []connector.Choice
	for i := range in.servers {
		out = append(out, h.Choose(server(i), regions[i%3], connector.Usable(in.maxConnections)))
	}
	return out
}

func server(i int) string { return fmt.Sprint("server-", i) }

func (in installation) run(t *testing.T, test func(is *is.I)) {
	t.Run(fmt.Sprint(in.hosts), func(t *testing.T) { test(is.New(t)) })
}

// TestSumsStayWithinUsable guards against connectors that may together open more
// connections than the server has, at any number of hosts of its region.
func TestSumsStayWithinUsable(t *testing.T) {
	for _, in := range sizes {
		in.run(t, func(is *is.I) {
			list := in.list()
			for _, n := range []int{in.hosts, in.hosts - 1, in.hosts / 2, 4, 1} {
				h := connector.NewHosts(list[:n])
				for _, c := range in.choices(h) {
					sum := 0
					for _, host := range list {
						sum += c.LimitOf(host.ID)
					}
					is.True(sum <= in.maxConnections-2 && sum > 0)
					is.Equal(sum, len(c.Hosts())*c.Limit)
				}
			}
		})
	}
}

// TestOneHostMovesFewPlaces guards against a choice in which the loss of one host
// closes connections at others: only its own places move, each to one other host.
func TestOneHostMovesFewPlaces(t *testing.T) {
	for _, in := range sizes {
		in.run(t, func(is *is.I) {
			list := in.list()
			before := in.choices(connector.NewHosts(list))
			without := slices.Delete(slices.Clone(list), 3, 4)
			lost, moved, places := 0, 0, 0
			for i, c := range in.choices(connector.NewHosts(without)) {
				lost += min(before[i].LimitOf(list[3].ID), 1)
				places += len(c.Hosts())
				for _, id := range c.Hosts() {
					if before[i].LimitOf(id) == 0 {
						moved++
					}
				}
			}
			is.True(moved <= lost)
			is.True(lost <= places/20)
		})
	}
}

// TestSendersMoveLittle guards against senders that change their connector although
// it has not changed: the loss of a host moves the senders that used it.
func TestSendersMoveLittle(t *testing.T) {
	for _, in := range sizes {
		in.run(t, func(is *is.I) {
			list := in.list()
			before := connector.NewHosts(list).Choose(server(0), "r1", connector.Usable(in.maxConnections))
			gone := before.Hosts()[0]
			without := slices.DeleteFunc(slices.Clone(list), func(h connector.Host) bool { return h.ID == gone })
			after := connector.NewHosts(without).Choose(server(0), "r1", connector.Usable(in.maxConnections))
			for _, h := range without {
				old, now := before.Order(h.ID, "r1"), after.Order(h.ID, "r1")
				entered := !slices.Contains(before.Hosts(), now[0])
				is.True(old[0] == gone || now[0] == old[0] || entered)
			}
		})
	}
}

// TestLoadIsSpread guards against hosts that are connectors of far more servers, or
// of far more senders, than others.
func TestLoadIsSpread(t *testing.T) {
	for _, in := range sizes {
		in.run(t, func(is *is.I) {
			list := in.list()
			places, senders := make(map[string]int), make(map[string]int)
			total := 0
			for i, c := range in.choices(connector.NewHosts(list)) {
				for _, id := range c.Hosts() {
					places[id]++
					total++
				}
				if i >= 24 {
					continue // the senders of 24 servers are enough, and quick
				}
				for _, h := range list {
					if c.LimitOf(h.ID) == 0 {
						senders[c.Order(h.ID, regions[i%3])[0]]++
					}
				}
			}
			mean := float64(total) / float64(in.hosts)
			// A binomial count exceeds its mean by five standard deviations in less
			// than one of a million cases.
			is.True(float64(maxOf(places)) <= mean+5*math.Sqrt(mean)+1)
			sum := 0
			for _, n := range senders {
				sum += n
			}
			meanSenders := float64(sum) / float64(max(1, len(senders)))
			is.True(float64(maxOf(senders)) <= 6*meanSenders+5)
		})
	}
}

// TestFewPeers guards against a host that needs a connection to most others: without
// customers it prefers the same few connectors for all servers of a region. Where
// most hosts of a region are no connectors of a server, it needs one for each server.
func TestFewPeers(t *testing.T) {
	for _, in := range sizes[:5] {
		in.run(t, func(is *is.I) {
			list := in.list()
			choices := in.choices(connector.NewHosts(list))
			peers := make(map[string]bool)
			for i, c := range choices {
				peers[c.Order(list[0].ID, regions[i%3])[0]] = true
			}
			is.True(len(peers) <= max(3, in.servers/2))
			if in.hosts <= 84 {
				is.True(len(peers) <= 6)
			}
		})
	}
}

// TestCustomersAreSpread guards against connectors that hold the connections of most
// customers while others hold none.
func TestCustomersAreSpread(t *testing.T) {
	is := is.New(t)
	in := sizes[0]
	c := in.choices(connector.NewHosts(in.list()))[0]
	counts := make(map[string]int)
	for i := range 71 {
		counts[c.Order(fmt.Sprint("customer", i), server(0))[0]]++
	}
	is.Equal(len(c.Hosts()), 10)
	is.Equal(c.Limit, 6)
	is.Equal(len(counts), 10)
	is.True(maxOf(counts) <= 16)
}

// TestRegionWithoutHosts guards against a server without connectors because its
// region has no host.
func TestRegionWithoutHosts(t *testing.T) {
	is := is.New(t)
	h := connector.NewHosts([]connector.Host{{"a", "r1"}, {"b", "r2"}})
	is.Equal(h.Choose("s", "r3", 10).Hosts(), []string{"a", "b"})
	is.Equal(connector.NewHosts(nil).Choose("s", "r3", 10).Hosts(), []string{})
}

// TestApplies guards against connectors in an installation that did not ask for them.
func TestApplies(t *testing.T) {
	is := is.New(t)
	is.True(!connector.Applies(connector.Usable(70), 68, false))
	is.True(!connector.Applies(68, 68, false))
	is.True(connector.Applies(connector.Usable(49), 68, false))
	is.True(connector.Applies(connector.Usable(70), 30, true))
}

// BenchmarkChoose measures the choice for one server at the design size.
func BenchmarkChoose(b *testing.B) {
	in := sizes[len(sizes)-1]
	h := connector.NewHosts(in.list())
	b.ReportAllocs()
	for b.Loop() {
		h.Choose("server-1", "r1", connector.Usable(in.maxConnections))
	}
}

func maxOf(counts map[string]int) int {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}
