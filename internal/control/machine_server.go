package control

import (
	"maps"
	"slices"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

func (m *Machine) announce(index uint64, c *AnnounceServer) (Result, bool) {
	s := stored(c.Server)
	if s.ID == "" || s.Group == "" || s.Address == "" {
		return refused("server %q: id, group and address must not be empty", s.ID), false
	}
	if m.servers[s.ID] != c.Revision {
		return conflict("server %q has changed", s.ID), false
	}
	was, known := m.state.Servers[s.ID]
	if known && was.Group != s.Group {
		return refused("server %q is in group %q and cannot move to %q", s.ID, was.Group, s.Group), false
	}
	if known && sameServer(was, s) {
		return Result{}, false
	}
	m.state.Servers[s.ID] = s
	m.servers[s.ID] = index
	m.byGroup.add(s.Group, s.ID)
	m.touch(index, partServers, s.ID)
	m.fill(index, s.Group)
	return Result{}, true
}

func (m *Machine) remove(index uint64, c *RemoveServer) (Result, bool) {
	s, ok := m.state.Servers[c.ID]
	if !ok || m.servers[c.ID] != c.Revision {
		return conflict("server %q has changed", c.ID), false
	}
	if g := m.state.Groups[s.Group]; slices.Contains(g.Members, c.ID) {
		return refused("server %q is a member of %q", c.ID, s.Group), false
	}
	delete(m.state.Servers, c.ID)
	delete(m.servers, c.ID)
	m.byGroup.remove(s.Group, c.ID)
	m.byHost.remove(m.state.Leases[c.ID].Host, c.ID)
	delete(m.state.Leases, c.ID)
	delete(m.state.Draining, c.ID)
	m.touch(index, partServers, c.ID)
	m.touch(index, partLeases, c.ID)
	m.touch(index, partDraining, c.ID)
	return Result{}, true
}

// fill chooses the members of a group that has had no primary yet: the known
// servers in the order of their ids, those that are members already first, up
// to the declared number. Later the members change only with NamePrimary,
// because earlier writes were confirmed by a majority of the old members.
func (m *Machine) fill(index uint64, group string) {
	g, ok := m.state.Groups[group]
	if !ok || g.Phase != controlrpc.PhaseWaiting {
		return
	}
	declared := m.declared[group]
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
	for _, id := range m.byGroup[group] {
		if usable(id) && len(members) < declared && !slices.Contains(members, id) {
			members = append(members, id)
		}
	}
	if slices.Equal(g.Members, members) {
		return
	}
	g.Members = members
	m.state.Groups[group] = g
	m.touch(index, partGroups, group)
}

// stored drops the hints of an announcement, which change all the time.
func stored(s controlrpc.Server) controlrpc.Server {
	s.Term, s.LSN = 0, 0
	return s
}

// sameServer compares two servers as they are stored.
func sameServer(a, b controlrpc.Server) bool {
	return a.ID == b.ID && a.Group == b.Group && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.Connections == b.Connections && a.Departing == b.Departing &&
		maps.Equal(a.Labels, b.Labels)
}
