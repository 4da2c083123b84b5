package control

import "github.com/arbutusring/arbutusring/internal/controlrpc"

func (m *Machine) revokeLease(index uint64, c *RevokeLease) (Result, bool) {
	l, ok := m.state.Leases[c.Server]
	if !ok || l.Epoch != c.Epoch || l.Revoking {
		return conflict("lease of %q is not held at epoch %d", c.Server, c.Epoch), false
	}
	l.Revoking = true
	m.state.Leases[c.Server] = l
	m.recordChange(index, partLeases, c.Server)
	return Result{}, true
}

// assignLease relies on the proposer for what the state cannot show: the holder
// of the revoking lease has released it, or its grant has expired.
func (m *Machine) assignLease(index uint64, c *AssignLease) (Result, bool) {
	if _, ok := m.state.Servers[c.Server]; !ok {
		return conflict("there is no server %q", c.Server), false
	}
	if h, ok := m.state.Hosts[c.Host]; !ok || h.Incarnation != c.Incarnation {
		return conflict("host %q is not registered as incarnation %q", c.Host, c.Incarnation), false
	}
	l, ok := m.state.Leases[c.Server]
	if l.Epoch != c.Epoch || (ok && !l.Revoking) {
		return conflict("lease of %q is not free at epoch %d", c.Server, c.Epoch), false
	}
	m.leasedByHost.remove(l.Host, c.Server)
	m.leasedByHost.add(c.Host, c.Server)
	m.state.Leases[c.Server] = controlrpc.Lease{
		Server: c.Server, Host: c.Host, Incarnation: c.Incarnation, Epoch: index,
	}
	m.recordChange(index, partLeases, c.Server)
	return Result{}, true
}
