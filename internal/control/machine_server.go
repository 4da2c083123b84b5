package control

import (
	"maps"
	"slices"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

func (m *Machine) announceServer(index uint64, c *AnnounceServer) (Result, bool) {
	s := withoutHints(c.Server)
	if s.ID == "" || s.Group == "" || s.Address == "" {
		return refused("server %q: id, group and address must not be empty", s.ID), false
	}
	if m.serverRevisions[s.ID] != c.Revision {
		return conflict("server %q has changed", s.ID), false
	}
	old, known := m.state.Servers[s.ID]
	if known && old.Group != s.Group {
		return refused("server %q is in group %q and cannot move to %q", s.ID, old.Group, s.Group), false
	}
	if known && sameServer(old, s) {
		return Result{}, false
	}
	m.state.Servers[s.ID] = s
	m.serverRevisions[s.ID] = index
	m.serversByGroup.add(s.Group, s.ID)
	m.recordChange(index, partServers, s.ID)
	m.chooseInitialMembers(index, s.Group)
	return Result{}, true
}

func (m *Machine) removeServer(index uint64, c *RemoveServer) (Result, bool) {
	s, ok := m.state.Servers[c.ID]
	if !ok || m.serverRevisions[c.ID] != c.Revision {
		return conflict("server %q has changed", c.ID), false
	}
	if g := m.state.Groups[s.Group]; slices.Contains(g.Members, c.ID) {
		return refused("server %q is a member of %q", c.ID, s.Group), false
	}
	delete(m.state.Servers, c.ID)
	delete(m.serverRevisions, c.ID)
	m.serversByGroup.remove(s.Group, c.ID)
	m.leasedByHost.remove(m.state.Leases[c.ID].Host, c.ID)
	delete(m.state.Leases, c.ID)
	delete(m.state.Draining, c.ID)
	m.recordChange(index, partServers, c.ID)
	m.recordChange(index, partLeases, c.ID)
	m.recordChange(index, partDraining, c.ID)
	return Result{}, true
}

// chooseInitialMembers chooses the members of a group that has had no primary
// yet: first the servers that already are members, then the other known servers
// in the order of their ids, up to the declared number. Later the members
// change only with NamePrimary, because earlier writes were confirmed by a
// majority of the old members.
func (m *Machine) chooseInitialMembers(index uint64, group string) {
	g, ok := m.state.Groups[group]
	if !ok || g.Phase != controlrpc.PhaseWaiting {
		return
	}
	declared := m.declaredCounts[group]
	usable := func(id string) bool {
		s, ok := m.state.Servers[id]
		return ok && s.Group == group && !s.Departing
	}
	members := make([]string, 0, declared)
	for _, id := range g.Members {
		if usable(id) && len(members) < declared {
			members = append(members, id)
		}
	}
	for _, id := range m.serversByGroup[group] {
		if usable(id) && len(members) < declared && !slices.Contains(members, id) {
			members = append(members, id)
		}
	}
	if slices.Equal(g.Members, members) {
		return
	}
	g.Members = members
	m.state.Groups[group] = g
	m.recordChange(index, partGroups, group)
}

// withoutHints clears the fields of an announcement that are only hints and
// change all the time.
func withoutHints(s controlrpc.Server) controlrpc.Server {
	s.Term, s.LSN = 0, 0
	return s
}

// sameServer reports whether two servers are equal in all stored fields.
func sameServer(a, b controlrpc.Server) bool {
	return a.ID == b.ID && a.Group == b.Group && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.Connections == b.Connections && a.Departing == b.Departing &&
		maps.Equal(a.Labels, b.Labels)
}
