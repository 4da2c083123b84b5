package directory

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/arbutusring/arbutusring/internal/changelog"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Machine is the replicated state machine. The log calls Apply, Snapshot and
// Restore one at a time; State and Changed are safe for concurrent use. Apply is
// deterministic: it depends only on the state and its arguments.
type Machine struct {
	mu       sync.Mutex
	state    directoryrpc.State // its maps are not modified once State has returned them
	shared   bool               // State has returned state.Servers
	departed departures
	history  changelog.Log[objectKey] // what the latest entries changed
	ledger   SetAllowanceLedger       // of the latest leader that granted allowances
	urgent   uint64                   // version of the last change that hosts are sent at once
	changed  chan struct{}            // closed at the next change
	encoded  encodedChanges           // since the versions that hosts have
	base     baseState

	urgentChanged chan struct{} // closed at the next urgent change
}

// objectKey identifies an object of the state. The zero value is the configuration.
type objectKey struct {
	server string // id, or
	group  string // name
}

// maxHistory is how many changes of single objects are kept for hosts that have
// an earlier version.
const maxHistory = 20_000

// snapshotData is the encoded form of a snapshot.
type snapshotData struct {
	directoryrpc.State
	Departed []departure        `codec:"x"`
	Ledger   SetAllowanceLedger `codec:"al,omitempty"`
}

// NewMachine returns a Machine with the state before the first log entry.
func NewMachine() *Machine {
	m := &Machine{changed: make(chan struct{}), urgentChanged: make(chan struct{})}
	m.load(snapshotData{})
	return m
}

// load replaces the state. The caller holds mu, or is the only user of m.
func (m *Machine) load(s snapshotData) {
	s.Servers, s.Groups, s.Controls = orEmpty(s.Servers), orEmpty(s.Groups), orEmpty(s.Controls)
	m.state, m.departed, m.urgent = s.State, newDepartures(s.Departed), s.Version
	m.ledger = s.Ledger
	m.shared, m.base = false, baseState{}
	m.history = changelog.New[objectKey](maxHistory, s.Version)
}

// State returns the current state. Its maps must not be modified.
func (m *Machine) State() directoryrpc.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shared = true
	return m.state
}

// Server returns the last announcement of a server, if it is known.
func (m *Machine) Server(id string) (directoryrpc.Server, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.state.Servers[id]
	return s, ok
}

// Version returns the version of the current state.
func (m *Machine) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Version
}

// ConfigVersion returns the version of the configuration in force.
func (m *Machine) ConfigVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.ConfigVersion
}

// Config returns a state that holds only the configuration in force. Unlike State, it
// does not make the next announcement copy the servers.
func (m *Machine) Config() directoryrpc.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return directoryrpc.State{ConfigVersion: m.state.ConfigVersion, Document: m.state.Document}
}

// HostCount returns the number of entry hosts as last recorded by a leader.
func (m *Machine) HostCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.HostCount
}

// AllowanceLedger returns the state of the ledger of the latest leader that granted
// allowances.
func (m *Machine) AllowanceLedger() SetAllowanceLedger {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger
}

// ownServers makes state.Servers safe to modify. It copies the map only if State
// has returned it since the last copy.
func (m *Machine) ownServers() {
	if m.shared {
		m.state.Servers, m.shared = maps.Clone(m.state.Servers), false
	}
}

// Changed returns a channel that is closed at the next change. Callers must call
// Changed before State, so that they miss no change.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// UrgentChanged returns a channel that is closed at the next change that hosts are
// sent at once.
func (m *Machine) UrgentChanged() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.urgentChanged
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
	for _, key := range changed {
		m.history.Add(index, key)
		// The first primary of a group replaces none.
		if key.server == "" && (key.group == "" || m.state.Groups[key.group].Generation > 1) {
			m.urgent = index
		}
	}
	if len(changed) > 0 {
		m.publish(index)
	}
	return msgpack.Encode(r)
}

// apply applies a command and returns the objects that it changed.
func (m *Machine) apply(c Command) (result, []objectKey) {
	switch {
	case c.Put != nil:
		return m.putConfig(c.Put)
	case c.Announce != nil:
		return result{}, m.putServer(c.Announce.Server)
	case c.Remove != nil:
		return result{}, m.removeServer(c.Remove)
	case c.Group != nil:
		return m.setGroup(c.Group)
	case c.Control != nil:
		controls := maps.Clone(m.state.Controls)
		controls[c.Control.ID] = c.Control.DataCentre
		m.state.Controls = controls
		return result{}, nil // entry hosts do not use it
	case c.HostCount != nil:
		m.state.HostCount = c.HostCount.Count
		return result{}, nil // entry hosts receive it with their lease
	case c.AllowanceLedger != nil:
		if c.AllowanceLedger.Term >= m.ledger.Term {
			m.ledger = *c.AllowanceLedger
		}
		return result{}, nil // entry hosts do not use it
	}
	return result{Kind: errkind.BadRequest, Detail: "unknown command"}, nil
}

func (m *Machine) putConfig(c *PutConfig) (result, []objectKey) {
	if c.Version <= m.state.ConfigVersion {
		return result{}, nil
	}
	m.state.ConfigVersion, m.state.Document = c.Version, c.Document
	return result{}, []objectKey{{}}
}

// putServer stores a server. An address belongs to one server at a time, so an
// older server with the same address is removed. A late announcement of a server
// that has departed or was replaced is ignored.
func (m *Machine) putServer(s directoryrpc.Server) []objectKey {
	old, known := m.state.Servers[s.ID]
	if known && !s.Newer(old) || m.departed.includes(s.ID, s.Born) {
		return nil
	}
	var changed []objectKey
	for id, other := range m.state.Servers {
		if id == s.ID || other.Address != s.Address {
			continue
		}
		if other.Born > s.Born {
			return nil
		}
		changed = append(changed, objectKey{server: id})
	}
	slices.SortFunc(changed, func(a, b objectKey) int { return strings.Compare(a.server, b.server) })
	m.ownServers()
	for _, key := range changed {
		m.departed.add(key.server, m.state.Servers[key.server].Born)
		delete(m.state.Servers, key.server)
	}
	m.state.Servers[s.ID] = s
	if !known || !s.Same(old) {
		changed = append(changed, objectKey{server: s.ID})
	}
	return changed
}

func (m *Machine) removeServer(c *RemoveServer) []objectKey {
	old, known := m.state.Servers[c.ID]
	if known && c.Born != 0 && old.Born > c.Born {
		return nil
	}
	m.departed.add(c.ID, max(c.Born, old.Born))
	if !known {
		return nil
	}
	m.ownServers()
	delete(m.state.Servers, c.ID)
	return []objectKey{{server: c.ID}}
}

func (m *Machine) setGroup(c *SetGroup) (result, []objectKey) {
	old := m.state.Groups[c.Group.Name]
	if old.Generation != c.ExpectedGeneration {
		return result{Kind: errkind.Conflict, Detail: "the generation of the group has changed"}, nil
	}
	groups := maps.Clone(m.state.Groups)
	c.Group.Generation = old.Generation + 1
	groups[c.Group.Name] = c.Group
	m.state.Groups = groups
	return result{}, []objectKey{{group: c.Group.Name}}
}

// publish sets the version of the state and wakes the readers that wait for a
// change. The caller holds mu.
func (m *Machine) publish(index uint64) {
	m.encoded.clear()
	m.state.Version = max(m.state.Version, index)
	close(m.changed)
	m.changed = make(chan struct{})
	if m.urgent == m.state.Version {
		close(m.urgentChanged)
		m.urgentChanged = make(chan struct{})
	}
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	m.mu.Lock()
	m.shared = true
	s := snapshotData{m.state, slices.Clone(m.departed.order), m.ledger}
	m.mu.Unlock()
	return msgpack.Encode(s)
}

// Departed reports whether the process of a server that was started at born has
// departed, so that its announcements are ignored.
func (m *Machine) Departed(id string, born int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departed.includes(id, born)
}

// UrgentVersion returns the version of the last change that hosts are sent at
// once: one of the configuration, or of a group after its first primary was named.
func (m *Machine) UrgentVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.urgent
}

func orEmpty[V any](in map[string]V) map[string]V {
	if in == nil {
		return make(map[string]V)
	}
	return in
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	var s snapshotData
	if err := msgpack.Decode(snapshot, &s, "a snapshot"); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load(s)
	m.publish(s.Version)
	return nil
}
