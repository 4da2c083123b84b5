package controlrpc

import "maps"

// StateChanges is the difference between two versions of the state. A nil
// value says that the object is gone. At fleet size the whole state has
// several megabytes, while a typical change touches a few objects.
type StateChanges struct {
	Since         uint64             `codec:"i"`
	Version       uint64             `codec:"v"`
	ConfigVersion uint64             `codec:"c"`
	ConfigText    *string            `codec:"t"` // nil if unchanged
	Groups        map[string]*Group  `codec:"g"`
	Servers       map[string]*Server `codec:"s"`
	Leases        map[string]*Lease  `codec:"l"`
	Hosts         map[string]*Host   `codec:"h"`
	Draining      map[string]*bool   `codec:"x"`
}

// Merge returns the state after the reply, given the state that the watcher
// had when it called with WatchArgs.Since set to its version. The old state is
// not changed; the new one shares the maps that are equal.
func (r *WatchReply) Merge(old State) State {
	switch {
	case !r.Changed:
		return old
	case r.Changes == nil:
		return r.State
	}
	c, next := r.Changes, old
	next.Version, next.ConfigVersion = c.Version, c.ConfigVersion
	if c.ConfigText != nil {
		next.ConfigText = *c.ConfigText
	}
	next.Groups = merged(old.Groups, c.Groups)
	next.Servers = merged(old.Servers, c.Servers)
	next.Leases = merged(old.Leases, c.Leases)
	next.Hosts = merged(old.Hosts, c.Hosts)
	next.Draining = merged(old.Draining, c.Draining)
	return next
}

func merged[V any](old map[string]V, changes map[string]*V) map[string]V {
	if len(changes) == 0 {
		return old
	}
	next := maps.Clone(old)
	if next == nil {
		next = make(map[string]V)
	}
	for id, value := range changes {
		if value == nil {
			delete(next, id)
		} else {
			next[id] = *value
		}
	}
	return next
}
