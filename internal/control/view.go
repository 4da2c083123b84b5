package control

import (
	"maps"
	"slices"

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
	byHost    map[string][]string // ids of leased servers by host id, sorted
	byGroup   map[string][]string // server ids by group, sorted
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
func (v *View) Declared(group string) int {
	g, _ := v.Config.Group(group)
	return g.Members
}

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

// newView copies what the Machine changes in place.
func newView(m *Machine) *View {
	v := &View{
		State: m.state, Config: m.config,
		old: maps.Clone(m.old), named: maps.Clone(m.named), servers: maps.Clone(m.servers), hosts: maps.Clone(m.hosts),
		byHost: make(map[string][]string), byGroup: make(map[string][]string),
		wonBy: m.wonBy, wonChange: m.wonChange,
	}
	v.Groups = maps.Clone(m.state.Groups)
	v.Servers = maps.Clone(m.state.Servers)
	v.Leases = maps.Clone(m.state.Leases)
	v.Hosts = maps.Clone(m.state.Hosts)
	v.Draining = maps.Clone(m.state.Draining)
	for _, id := range slices.Sorted(maps.Keys(v.Leases)) {
		host := v.Leases[id].Host
		v.byHost[host] = append(v.byHost[host], id)
	}
	for _, id := range slices.Sorted(maps.Keys(v.Servers)) {
		group := v.Servers[id].Group
		v.byGroup[group] = append(v.byGroup[group], id)
	}
	return v
}
