package control

import "github.com/arbutusring/arbutusring/internal/controlrpc"

// ChangesSince returns the changes between a version and the current one, nil
// if they are no longer known. The version must be one that this state has had.
func (m *Machine) ChangesSince(version uint64) *controlrpc.StateChanges {
	m.mu.Lock()
	changes, ok := m.history.since(version)
	v := m.current()
	m.mu.Unlock()
	if !ok || version > v.Version {
		return nil
	}
	out := &controlrpc.StateChanges{Since: version, Version: v.Version, ConfigVersion: v.ConfigVersion}
	for _, c := range changes {
		switch c.part {
		case partServers:
			out.Servers = putChange(out.Servers, v.Servers, c.id)
		case partHosts:
			out.Hosts = putChange(out.Hosts, v.Hosts, c.id)
		case partLeases:
			out.Leases = putChange(out.Leases, v.Leases, c.id)
		case partGroups:
			out.Groups = putChange(out.Groups, v.Groups, c.id)
		case partDraining:
			out.Draining = putChange(out.Draining, v.Draining, c.id)
		case partConfig:
			out.ConfigText = &v.ConfigText
		}
	}
	return out
}

// putChange puts the current value of an object into out, nil if the object no
// longer exists.
func putChange[V any](out map[string]*V, now map[string]V, id string) map[string]*V {
	if out == nil {
		out = make(map[string]*V)
	}
	if value, ok := now[id]; ok {
		out[id] = &value
	} else {
		out[id] = nil
	}
	return out
}
