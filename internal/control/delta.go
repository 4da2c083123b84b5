package control

import "github.com/arbutusring/arbutusring/internal/controlrpc"

// ChangesSince returns the changes between a version and the current one, nil
// if they are no longer known. The version must be one that this state has had.
func (m *Machine) ChangesSince(version uint64) *controlrpc.StateChanges {
	m.mu.Lock()
	known, changes := m.history.Knows(version), m.history.Since(version)
	v := m.current()
	m.mu.Unlock()
	if !known || version > v.Version {
		return nil
	}
	out := &controlrpc.StateChanges{Since: version, Version: v.Version, ConfigVersion: v.ConfigVersion}
	for _, c := range changes {
		switch c.part {
		case partServers:
			out.Servers = controlrpc.PutChange(out.Servers, v.Servers, c.id)
		case partHosts:
			out.Hosts = controlrpc.PutChange(out.Hosts, v.Hosts, c.id)
		case partLeases:
			out.Leases = controlrpc.PutChange(out.Leases, v.Leases, c.id)
		case partGroups:
			out.Groups = controlrpc.PutChange(out.Groups, v.Groups, c.id)
		case partDraining:
			out.Draining = controlrpc.PutChange(out.Draining, v.Draining, c.id)
		case partConfig:
			out.ConfigText = &v.ConfigText
		}
	}
	return out
}
