package capacity

import (
	"fmt"
	"strings"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// The installation size that the system is designed for, see docs/design.md.
const (
	DesignGroups      = 10_000
	DesignHosts       = 4_800
	DesignMembers     = 3 // per group
	DesignDataCentres = 9
	DesignRegions     = 3
)

// GroupCounts are the numbers of groups at which the benchmarks measure.
var GroupCounts = []int{100, 300, 1_000, 3_000, 10_000}

// Fleet is a synthetic installation in which every group has a primary and
// every server has an owner in its data centre. The members of a group are in
// three different regions.
type Fleet struct {
	Groups, Hosts int
}

// NewFleet returns a fleet with the ratio of hosts to groups of the design
// size, and at least one host in each data centre.
func NewFleet(groups int) Fleet {
	return Fleet{Groups: groups, Hosts: max(groups*DesignHosts/DesignGroups, DesignDataCentres)}
}

// Host returns the host with index i. Its data centre is i modulo 9.
func (f Fleet) Host(i int) controlrpc.Host {
	return controlrpc.Host{
		ID: fmt.Sprintf("host-%05d", i), Incarnation: "c9x1k2m3n4p5",
		Address:         fmt.Sprintf("10.%d.%d.%d:7001", i%DesignDataCentres, i>>8&255, i&255),
		OperatorAddress: fmt.Sprintf("10.%d.%d.%d:7002", i%DesignDataCentres, i>>8&255, i&255),
		DataCentre:      dataCentreName(i % DesignDataCentres), Region: fmt.Sprintf("region-%d", i%DesignDataCentres%DesignRegions),
		Labels: map[string]string{"rack": fmt.Sprintf("rack-%03d", i/40)},
	}
}

func dataCentreName(i int) string { return fmt.Sprintf("region-%d-dc-%d", i%DesignRegions, i) }

// GroupName returns the name of group g.
func (f Fleet) GroupName(g int) string { return fmt.Sprintf("orders_%05d", g) }

// ServerID returns the id of member k of group g.
func (f Fleet) ServerID(g, k int) string { return fmt.Sprintf("orders-%05d-%d", g, k) }

// DataCentreIndex returns the index of the data centre of member k of group g.
// The primaries, k = 0, are spread evenly over the data centres.
func (f Fleet) DataCentreIndex(g, k int) int { return (g + k) % DesignDataCentres }

// OwnerIndex returns the index of the host that owns member k of group g.
func (f Fleet) OwnerIndex(g, k int) int {
	dc := f.DataCentreIndex(g, k)
	hostCount := (f.Hosts - dc + DesignDataCentres - 1) / DesignDataCentres // in the data centre
	return dc + DesignDataCentres*((g/DesignDataCentres*DesignMembers+k)%hostCount)
}

// Server returns member k of group g.
func (f Fleet) Server(g, k int) controlrpc.Server {
	return controlrpc.Server{
		ID: f.ServerID(g, k), Group: f.GroupName(g), Address: fmt.Sprintf("10.1%d.%d.%d:5432", f.DataCentreIndex(g, k), g>>8, g&255),
		DataCentre: dataCentreName(f.DataCentreIndex(g, k)), Slots: 3, Connections: 25,
	}
}

// ConfigText returns the configuration text, with every group, three ranks and
// four policies.
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

// Commands returns the commands that produce the state of the fleet.
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
			owner := f.Host(f.OwnerIndex(g, k))
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

// Load applies all commands of the fleet and returns the next log index, or the
// error of the first command that is refused.
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
