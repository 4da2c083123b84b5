package control

import (
	"slices"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

func (m *Machine) beginTerm(index uint64, c *BeginTerm) (Result, bool) {
	g, ok := m.state.Groups[c.Group]
	if !ok || g.Term != c.ExpectTerm || g.Phase != c.ExpectPhase || c.Term <= g.Term {
		return conflict("group %q is not in phase %s of term %d", c.Group, c.ExpectPhase, c.ExpectTerm), false
	}
	if g.Phase == controlrpc.PhaseWaiting {
		if n := m.declaredCounts[c.Group]; len(g.Members) == 0 || len(g.Members) != n {
			return conflict("group %q has %d of %d members", c.Group, len(g.Members), n), false
		}
	}
	if l, ok := m.state.Leases[g.Primary]; ok && g.Phase == controlrpc.PhaseSteady {
		// The holder is recorded even if its lease is being revoked, because it
		// may not have released the lease yet.
		m.oldOwners[c.Group] = oldOwner{Server: g.Primary, Host: l.Host, Incarnation: l.Incarnation, Term: g.Term}
	}
	g.Term, g.Phase, g.Primary = c.Term, controlrpc.PhaseFencing, ""
	m.state.Groups[c.Group] = g
	m.recordChange(index, partGroups, c.Group)
	return Result{}, true
}

// namePrimary relies on the proposer for what the state cannot show: a majority
// of the members is fenced at Term, the old owner has released the role or its
// grant has expired, and Server has been promoted at Term.
func (m *Machine) namePrimary(index uint64, c *NamePrimary) (Result, bool) {
	g, ok := m.state.Groups[c.Group]
	if !ok || g.Term != c.Term || g.Phase != controlrpc.PhaseFencing {
		return conflict("group %q is not in phase %s of term %d", c.Group, controlrpc.PhaseFencing, c.Term), false
	}
	members := g.Members
	if len(c.Members) > 0 {
		members = c.Members
	}
	if !slices.Contains(members, c.Server) {
		return conflict("server %q is not a member of %q", c.Server, c.Group), false
	}
	for _, id := range members {
		if m.state.Servers[id].Group != c.Group {
			return conflict("server %q is not in group %q", id, c.Group), false
		}
	}
	g.Phase, g.Primary, g.Members = controlrpc.PhaseSteady, c.Server, members
	m.state.Groups[c.Group] = g
	m.recordChange(index, partGroups, c.Group)
	m.hadPrimary[c.Group] = true
	delete(m.oldOwners, c.Group)
	return Result{}, true
}
