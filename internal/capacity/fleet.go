package capacity

import (
	"fmt"
	"strings"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// The design size, see docs/design.md.
const (
	DesignGroups  = 10_000
	DesignHosts   = 4_800
	DesignMembers = 3
	DesignCentres = 9
	DesignRegions = 3
)

// Sizes are the numbers of groups that the benchmarks measure.
var Sizes = []int{100, 300, 1_000, 3_000, 10_000}

// Fleet is a made-up installation in which every group has a primary and
// every server an owner in its data centre. The members of a group are in
// three different regions.
type Fleet struct {
	Groups, Hosts int
}

// NewFleet returns a fleet with the proportion of hosts to groups of the
// design size, and at least one host for each data centre.
func NewFleet(groups int) Fleet {
	return Fleet{Groups: groups, Hosts: max(groups*DesignHosts/DesignGroups, DesignCentres)}
}

// Host returns the host with number i. Its data centre is i modulo 9.
func (f Fleet) Host(i int) controlrpc.Host {
	return controlrpc.Host{
		ID: fmt.Sprintf("host-%05d", i), Incarnation: "c9x1k2m3n4p5",
		Address:         fmt.Sprintf("10.%d.%d.%d:7001", i%DesignCentres, i>>8&255, i&255),
		OperatorAddress: fmt.Sprintf("10.%d.%d.%d:7002", i%DesignCentres, i>>8&255, i&255),
		DataCentre:      centre(i % DesignCentres), Region: fmt.Sprintf("region-%d", i%DesignCentres%DesignRegions),
		Labels: map[string]string{"rack": fmt.Sprintf("rack-%03d", i/40)},
	}
}

func centre(i int) string { return fmt.Sprintf("region-%d-dc-%d", i%DesignRegions, i) }

// GroupName returns the name of a group.
func (f Fleet) GroupName(g int) string { return fmt.Sprintf("orders_%05d", g) }

// ServerID returns the id of member k of a group.
func (f Fleet) ServerID(g, k int) string { return fmt.Sprintf("orders-%05d-%d", g, k) }

// Centre returns the number of the data centre of member k of a group. The
// primaries, k = 0, are spread evenly over the data centres.
func (f Fleet) Centre(g, k int) int { return (g + k) % DesignCentres }

// Owner returns the number of the host that owns member k of a group.
func (f Fleet) Owner(g, k int) int {
	c := f.Centre(g, k)
	hosts := (f.Hosts - c + DesignCentres - 1) / DesignCentres // of the data centre
	return c + DesignCentres*((g/DesignCentres*DesignMembers+k)%hosts)
}

// Server returns member k of a group.
func (f Fleet) Server(g, k int) controlrpc.Server {
	return controlrpc.Server{
		ID: f.ServerID(g, k), Group: f.GroupName(g), Address: fmt.Sprintf("10.1%d.%d.%d:5432", f.Centre(g, k), g>>8, g&255),
		DataCentre: centre(f.Centre(g, k)), Slots: 3, Connections: 25,
	}
}

// ConfigText returns the configuration: every group, three ranks and four
// policies.
func (f Fleet) ConfigText() string {
	var out strings.Builder
	out.WriteString(ranksAndPolicies)
	for g := range f.Groups {
		fmt.Fprintf(&out, "[[database_group]]\nname = %q\nmembers = %d\nlabels = { region = \"region-%d\" }\n",
			f.GroupName(g), DesignMembers, g%DesignRegions)
	}
	return out.String()
}

const ranksAndPolicies = `
[[traffic_rank]]
name = "urgent"
order = 0
[[traffic_rank]]
name = "normal"
order = 1
floor = 0.2
default = true
[[traffic_rank]]
name = "bulk"
order = 2
floor = 0.1
[[policy]]
name = "all"
deadline = "5s"
[[policy]]
name = "bulk"
ranks = "name=bulk"
queue_limit = 200
[[policy]]
name = "urgent"
ranks = "name=urgent"
hedge_after = "20ms"
[[policy]]
name = "region_0"
groups = "region=region-0"
max_staleness = "1s"
`

// Commands returns the log entries that lead to the state of the fleet.
func (f Fleet) Commands() []control.Command {
	var out []control.Command
	for i := range f.Hosts {
		out = append(out, control.Command{Register: &control.RegisterHost{Host: f.Host(i)}})
	}
	out = append(out, control.Command{Configure: &control.Configure{Args: controlrpc.ApplyArgs{
		ChangeID: "first", Operator: "operator", Text: f.ConfigText(),
	}}})
	for g := range f.Groups {
		for k := range DesignMembers {
			owner := f.Host(f.Owner(g, k))
			out = append(out,
				control.Command{Announce: &control.AnnounceServer{Server: f.Server(g, k)}},
				control.Command{Assign: &control.AssignLease{
					Server: f.ServerID(g, k), Host: owner.ID, Incarnation: owner.Incarnation,
				}})
		}
		out = append(out,
			control.Command{Begin: &control.BeginTerm{
				Group: f.GroupName(g), ExpectPhase: controlrpc.PhaseWaiting, Term: 1,
			}},
			control.Command{Name: &control.NamePrimary{Group: f.GroupName(g), Term: 1, Server: f.ServerID(g, 0)}})
	}
	return out
}

// Load carries out all commands of the fleet and returns the next log index.
// It returns the first refusal.
func (f Fleet) Load(apply func(index uint64, entry []byte) []byte) (uint64, error) {
	index := uint64(0)
	for _, c := range f.Commands() {
		index++
		results, err := control.DecodeResults(apply(index, control.EncodeCommands(c)))
		if err != nil {
			return 0, err
		}
		if err := results[0].Err(); err != nil {
			return 0, err
		}
	}
	return index + 1, nil
}
