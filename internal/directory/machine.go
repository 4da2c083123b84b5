package directory

import (
	"maps"
	"sync"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Machine is the replicated state machine. The log calls Apply, Snapshot and
// Restore one at a time; State and Changed are safe for concurrent use. Apply is
// deterministic: it depends only on the state and its arguments.
type Machine struct {
	mu      sync.Mutex
	state   directoryrpc.State // its maps are replaced, never modified
	changed chan struct{}      // closed at the next change
}

// NewMachine returns a Machine with the state before the first log entry.
func NewMachine() *Machine {
	return &Machine{changed: make(chan struct{}), state: directoryrpc.State{
		Servers: map[string]directoryrpc.Server{}, Groups: map[string]directoryrpc.Group{}, Controls: map[string]string{},
	}}
}

// State returns the current state. Its maps must not be modified.
func (m *Machine) State() directoryrpc.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Changed returns a channel that is closed at the next change. Callers must call
// Changed before State, so that they miss no change.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Apply applies one log entry and returns the encoded result.
func (m *Machine) Apply(index uint64, entry []byte) []byte {
	var c Command
	if err := msgpack.Decode(entry, &c, "a log entry"); err != nil {
		// Every host rejects the entry in the same way, so the states stay equal.
		return msgpack.Encode(result{Kind: errkind.BadRequest, Detail: err.Error()})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r, changed := m.apply(c)
	if changed {
		m.publish(index)
	}
	return msgpack.Encode(r)
}

func (m *Machine) apply(c Command) (result, bool) {
	switch {
	case c.Put != nil:
		return m.putConfig(c.Put)
	case c.Announce != nil:
		return m.putServer(c.Announce.Server)
	case c.Remove != nil:
		return m.removeServer(c.Remove)
	case c.Group != nil:
		return m.setGroup(c.Group)
	case c.Control != nil:
		controls := maps.Clone(m.state.Controls)
		controls[c.Control.ID] = c.Control.DataCentre
		m.state.Controls = controls
		return result{}, false // entry hosts do not use it
	case c.HostCount != nil:
		m.state.HostCount = c.HostCount.Count
		return result{}, false // entry hosts receive it with their lease
	}
	return result{Kind: errkind.BadRequest, Detail: "unknown command"}, false
}

func (m *Machine) putConfig(c *PutConfig) (result, bool) {
	if c.Version <= m.state.ConfigVersion {
		return result{}, false
	}
	m.state.ConfigVersion, m.state.Document = c.Version, c.Document
	return result{}, true
}

// putServer stores a server. An address belongs to one server at a time, so an
// older server with the same address is removed, and a late announcement of it
// is ignored because that server no longer exists.
func (m *Machine) putServer(s directoryrpc.Server) (result, bool) {
	old, known := m.state.Servers[s.ID]
	if known && !s.Newer(old) {
		return result{}, false
	}
	servers := maps.Clone(m.state.Servers)
	for id, other := range servers {
		if id == s.ID || other.Address != s.Address {
			continue
		}
		if other.Born > s.Born {
			return result{}, false
		}
		delete(servers, id)
	}
	servers[s.ID] = s
	m.state.Servers = servers
	return result{}, !known || !s.Same(old)
}

func (m *Machine) removeServer(c *RemoveServer) (result, bool) {
	old, known := m.state.Servers[c.ID]
	if !known || c.Born != 0 && old.Born > c.Born {
		return result{}, false
	}
	servers := maps.Clone(m.state.Servers)
	delete(servers, c.ID)
	m.state.Servers = servers
	return result{}, true
}

func (m *Machine) setGroup(c *SetGroup) (result, bool) {
	old := m.state.Groups[c.Group.Name]
	if old.Generation != c.ExpectedGeneration {
		return result{Kind: errkind.Conflict, Detail: "the generation of the group has changed"}, false
	}
	groups := maps.Clone(m.state.Groups)
	c.Group.Generation = old.Generation + 1
	groups[c.Group.Name] = c.Group
	m.state.Groups = groups
	return result{}, true
}

// publish sets the version of the state and wakes the readers that wait for a
// change. The caller holds mu.
func (m *Machine) publish(index uint64) {
	m.state.Version = max(m.state.Version, index)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte { return msgpack.Encode(m.State()) }

func orEmpty[V any](in map[string]V) map[string]V {
	if in == nil {
		return make(map[string]V)
	}
	return in
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	var s directoryrpc.State
	if err := msgpack.Decode(snapshot, &s, "a snapshot"); err != nil {
		return err
	}
	s.Servers, s.Groups, s.Controls = orEmpty(s.Servers), orEmpty(s.Groups), orEmpty(s.Controls)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.publish(s.Version)
	return nil
}
