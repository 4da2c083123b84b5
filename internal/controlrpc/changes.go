package controlrpc

import "maps"

// StateChanges is the difference between two versions of the state. A nil value
// means that the object was removed. At fleet size the whole state has several
// megabytes, while a typical change affects only a few objects.
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
// not modified; the new one shares its unchanged maps.
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
	next.Groups = MergeMap(old.Groups, c.Groups)
	next.Servers = MergeMap(old.Servers, c.Servers)
	next.Leases = MergeMap(old.Leases, c.Leases)
	next.Hosts = MergeMap(old.Hosts, c.Hosts)
	next.Draining = MergeMap(old.Draining, c.Draining)
	return next
}

// MergeMap returns old with the changes applied; a nil value removes an object. It
// does not modify old.
func MergeMap[V any](old map[string]V, changes map[string]*V) map[string]V {
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

// PutChange puts the current value of an object into out, nil if the object no
// longer exists. It returns out, which it creates if it is nil.
func PutChange[V any](out map[string]*V, now map[string]V, id string) map[string]*V {
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
