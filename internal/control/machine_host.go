package control

import (
	"maps"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

func (m *Machine) register(index uint64, c *RegisterHost) (Result, bool) {
	if c.Host.ID == "" || c.Host.Address == "" || c.Host.Incarnation == "" {
		return refused("host %q: id, incarnation and address must not be empty", c.Host.ID), false
	}
	if m.hosts[c.Host.ID] != c.Revision {
		return conflict("host %q has changed", c.Host.ID), false
	}
	if was, ok := m.state.Hosts[c.Host.ID]; ok && sameHost(was, c.Host) {
		return Result{}, false
	}
	m.state.Hosts[c.Host.ID] = c.Host
	m.hosts[c.Host.ID] = index
	m.touch(index, partHosts, c.Host.ID)
	return Result{}, true
}

func (m *Machine) forget(index uint64, c *ForgetHost) (Result, bool) {
	if _, ok := m.state.Hosts[c.ID]; !ok || m.hosts[c.ID] != c.Revision {
		return conflict("host %q has changed", c.ID), false
	}
	if held := m.byHost[c.ID]; len(held) > 0 {
		return conflict("host %q holds the lease of %q", c.ID, held[0]), false
	}
	delete(m.state.Hosts, c.ID)
	delete(m.hosts, c.ID)
	delete(m.state.Draining, c.ID)
	m.touch(index, partHosts, c.ID)
	m.touch(index, partDraining, c.ID)
	return Result{}, true
}

// drain is idempotent by change id like configure, so that a late resend of a
// drain does not take effect after the host was put back into service.
func (m *Machine) drain(index uint64, c *SetDraining) (Result, bool) {
	a := c.Args
	sum := digest(a)
	if r, ok := m.changes.first(a.ChangeID, sum); ok {
		return r, false
	}
	r := Result{}
	_, isHost := m.state.Hosts[a.ID]
	_, isServer := m.state.Servers[a.ID]
	switch {
	case !isHost && !isServer:
		r = refused("there is no host or server %q", a.ID)
	case a.Undo:
		delete(m.state.Draining, a.ID)
	default:
		m.state.Draining[a.ID] = true
	}
	m.changes.add(a.ChangeID, sum, r)
	m.touch(index, partDraining, a.ID)
	return r, r.Kind == errkind.OK
}

func sameHost(a, b controlrpc.Host) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Address == b.Address &&
		a.OperatorAddress == b.OperatorAddress && a.DataCentre == b.DataCentre && a.Region == b.Region &&
		a.Draining == b.Draining && maps.Equal(a.Labels, b.Labels)
}
