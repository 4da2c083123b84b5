package control

import (
	"maps"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

func (m *Machine) registerHost(index uint64, c *RegisterHost) (Result, bool) {
	if c.Host.ID == "" || c.Host.Address == "" || c.Host.Incarnation == "" {
		return refused("host %q: id, incarnation and address must not be empty", c.Host.ID), false
	}
	if m.hostRevisions[c.Host.ID] != c.Revision {
		return conflict("host %q has changed", c.Host.ID), false
	}
	if old, ok := m.state.Hosts[c.Host.ID]; ok && sameHost(old, c.Host) {
		return Result{}, false
	}
	m.state.Hosts[c.Host.ID] = c.Host
	m.hostRevisions[c.Host.ID] = index
	m.recordChange(index, partHosts, c.Host.ID)
	return Result{}, true
}

func (m *Machine) forgetHost(index uint64, c *ForgetHost) (Result, bool) {
	if _, ok := m.state.Hosts[c.ID]; !ok || m.hostRevisions[c.ID] != c.Revision {
		return conflict("host %q has changed", c.ID), false
	}
	if leases := m.leasedByHost[c.ID]; len(leases) > 0 {
		return conflict("host %q holds the lease of %q", c.ID, leases[0]), false
	}
	delete(m.state.Hosts, c.ID)
	delete(m.hostRevisions, c.ID)
	delete(m.state.Draining, c.ID)
	m.recordChange(index, partHosts, c.ID)
	m.recordChange(index, partDraining, c.ID)
	return Result{}, true
}

// setDraining is idempotent by change id like configure, so that a late resend
// of a drain has no effect after the host was put back into service.
func (m *Machine) setDraining(index uint64, c *SetDraining) (Result, bool) {
	a := c.Args
	sum := digest(a)
	if r, ok := m.changes.firstAnswer(a.ChangeID, sum); ok {
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
	m.recordChange(index, partDraining, a.ID)
	return r, r.Kind == errkind.OK
}

func sameHost(a, b controlrpc.Host) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Address == b.Address &&
		a.OperatorAddress == b.OperatorAddress && a.DataCentre == b.DataCentre && a.Region == b.Region &&
		a.Draining == b.Draining && maps.Equal(a.Labels, b.Labels)
}
