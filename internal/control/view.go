package control

import (
	"maps"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// View is an immutable copy of the replicated state. Its maps and slices are
// shared between readers and must not be changed.
type View struct {
	controlrpc.State
	Config *policy.Config

	old       map[string]oldOwner // by group
	named     map[string]bool     // groups that have had a primary
	servers   map[string]uint64   // revision by server id
	hosts     map[string]uint64   // revision by host id
	byHost    index               // ids of leased servers by host id
	byGroup   index               // ids of servers by group
	declared  map[string]int      // members by group
	wonBy     string
	wonChange string
}

// oldOwner is who may still act for the last primary of a group that is in
// phase fencing. It is kept until the next primary is named.
type oldOwner struct {
	Server      string `codec:"s" json:"server"`
	Host        string `codec:"h" json:"host"`
	Incarnation string `codec:"n" json:"incarnation"`
	Term        uint64 `codec:"t" json:"term"` // term of the role
}

// OutOfService reports whether the server should not be primary.
func (v *View) OutOfService(server string) bool {
	s, ok := v.Servers[server]
	return !ok || s.Departing || v.Draining[server]
}

// HostDraining reports whether the host should own nothing.
func (v *View) HostDraining(host string) bool {
	return v.Draining[host] || v.Hosts[host].Draining
}

// Declared returns the declared number of members of a group, 0 if the group
// is not declared.
func (v *View) Declared(group string) int { return v.declared[group] }

// Held returns the leases that a heartbeat reply grants to an incarnation of
// a host. Leases that are being revoked and roles of a group that is in phase
// fencing are not granted.
func (v *View) Held(host, incarnation string) []controlrpc.HeldLease {
	var out []controlrpc.HeldLease
	for _, id := range v.byHost[host] {
		l := v.Leases[id]
		if l.Incarnation != incarnation || l.Revoking {
			continue
		}
		s := v.Servers[id]
		g := v.Groups[s.Group]
		out = append(out, controlrpc.HeldLease{
			Server: id, Epoch: l.Epoch, Group: s.Group, Term: g.Term,
			Primary: g.Phase == controlrpc.PhaseSteady && g.Primary == id,
		})
	}
	return out
}

// GroupServers returns the ids of all servers of a group, members or not.
func (v *View) GroupServers(group string) []string { return v.byGroup[group] }

// newView copies what the Machine has changed in place since the last view,
// and shares the rest with that view. At fleet size a full copy takes tens of
// milliseconds.
func newView(m *Machine, last *View, dirty [parts]bool) *View {
	v := &View{State: m.state, Config: m.config, declared: m.declared, wonBy: m.wonBy, wonChange: m.wonChange}
	v.Servers = fresh(last.Servers, m.state.Servers, dirty[partServers])
	v.servers = fresh(last.servers, m.servers, dirty[partServers])
	v.byGroup = fresh(last.byGroup, m.byGroup, dirty[partServers])
	v.Hosts = fresh(last.Hosts, m.state.Hosts, dirty[partHosts])
	v.hosts = fresh(last.hosts, m.hosts, dirty[partHosts])
	v.Leases = fresh(last.Leases, m.state.Leases, dirty[partLeases])
	v.byHost = fresh(last.byHost, m.byHost, dirty[partLeases])
	v.Groups = fresh(last.Groups, m.state.Groups, dirty[partGroups])
	v.old = fresh(last.old, m.old, dirty[partGroups])
	v.named = fresh(last.named, m.named, dirty[partGroups])
	v.Draining = fresh(last.Draining, m.state.Draining, dirty[partDraining])
	return v
}

func fresh[V any](last, now map[string]V, changed bool) map[string]V {
	if changed {
		return maps.Clone(now)
	}
	return last
}
