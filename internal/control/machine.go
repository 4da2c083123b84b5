package control

import (
	"slices"
	"sync"

	"github.com/arbutusring/arbutusring/internal/changelog"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// configFile is the file name in errors about the text of a configuration.
const configFile = "policy.toml"

// Machine is the replicated state machine. The log calls Apply, Snapshot and
// Restore, one at a time; View and Changed may be called concurrently. Apply
// depends only on the state and its arguments, so every control host reaches
// the same state.
type Machine struct {
	mu              sync.Mutex
	state           controlrpc.State
	config          *policy.Config           // parsed state.ConfigText
	declaredCounts  map[string]int           // declared number of members by group; replaced, never changed in place
	wonBy           string                   // operator of the configuration in force
	wonChange       string                   // change id of the configuration in force
	oldOwners       map[string]oldOwner      // by group in phase fencing
	hadPrimary      map[string]bool          // groups that have had a primary
	serverRevisions map[string]uint64        // revision by server id
	hostRevisions   map[string]uint64        // revision by host id
	changes         *changes                 // first answers by change id
	leasedByHost    index                    // ids of leased servers by host id
	serversByGroup  index                    // ids of servers by group
	view            *View                    // last view
	dirty           [partCount]bool          // parts changed since view
	history         changelog.Log[objectKey] // what the latest entries changed
	viewStale       bool                     // view is not the current state
	changed         chan struct{}            // closed at the next change
}

// snapshotData is the encoded form of a snapshot.
type snapshotData struct {
	State      controlrpc.State    `codec:"s"`
	WonBy      string              `codec:"w"`
	WonChange  string              `codec:"x"`
	OldOwners  map[string]oldOwner `codec:"o"`
	HadPrimary map[string]bool     `codec:"n"`
	Servers    map[string]uint64   `codec:"r"` // revision by server id
	Hosts      map[string]uint64   `codec:"h"` // revision by host id
	Changes    []change            `codec:"c"`
}

// NewMachine returns the state before the first log entry.
func NewMachine() *Machine {
	m := &Machine{changed: make(chan struct{})}
	m.load(snapshotData{}, new(policy.Config))
	return m
}

// Apply applies one log entry and returns the encoded results.
func (m *Machine) Apply(index uint64, entry []byte) []byte {
	var commands []Command
	if err := decode(entry, &commands, "a log entry"); err != nil {
		// Every host rejects the entry in the same way, so the states stay equal.
		return encode([]Result{{Kind: errkind.BadRequest, Detail: err.Error()}})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	results := make([]Result, 0, len(commands))
	for _, c := range commands {
		r, changed := m.apply(index, c)
		if changed {
			m.publish(index)
		}
		results = append(results, r)
	}
	return encode(results)
}

// apply applies one command. It returns the result and whether the state
// changed.
func (m *Machine) apply(index uint64, c Command) (Result, bool) {
	switch {
	case c.Announce != nil:
		return m.announceServer(index, c.Announce)
	case c.Remove != nil:
		return m.removeServer(index, c.Remove)
	case c.Register != nil:
		return m.registerHost(index, c.Register)
	case c.Forget != nil:
		return m.forgetHost(index, c.Forget)
	case c.Revoke != nil:
		return m.revokeLease(index, c.Revoke)
	case c.Assign != nil:
		return m.assignLease(index, c.Assign)
	case c.Begin != nil:
		return m.beginTerm(index, c.Begin)
	case c.Name != nil:
		return m.namePrimary(index, c.Name)
	case c.Drain != nil:
		return m.setDraining(index, c.Drain)
	case c.Configure != nil:
		return m.configure(index, c.Configure)
	}
	return refused("unknown command"), false
}

// publish makes a change visible. The caller holds mu.
func (m *Machine) publish(index uint64) {
	if m.state.Version < index {
		m.state.Version = index
	}
	m.viewStale = true
	close(m.changed)
	m.changed = make(chan struct{})
}

// recordChange records that a command changes an object. The caller holds mu.
func (m *Machine) recordChange(index uint64, p statePart, id string) {
	m.dirty[p] = true
	m.history.Add(index, objectKey{p, id})
}

// View returns the current state.
func (m *Machine) View() *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current()
}

// current returns the view of the current state. The caller holds mu.
func (m *Machine) current() *View {
	if m.viewStale {
		m.view, m.dirty, m.viewStale = newView(m, m.view, m.dirty), [partCount]bool{}, false
	}
	return m.view
}

// Changed returns a channel that is closed at the next change. A reader must
// get the channel before the View, so that it misses no change.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Snapshot returns the whole state. Equal states have equal snapshots. It
// encodes without holding the lock, because encoding takes several hundred
// milliseconds with 30,000 servers.
func (m *Machine) Snapshot() []byte {
	m.mu.Lock()
	v := m.current()
	changes := slices.Clone(m.changes.order)
	m.mu.Unlock()
	return encode(snapshotData{
		State: v.State, WonBy: v.wonBy, WonChange: v.wonChange,
		OldOwners: v.oldOwners, HadPrimary: v.hadPrimary, Servers: v.serverRevisions, Hosts: v.hostRevisions, Changes: changes,
	})
}

// Restore replaces the state by a snapshot. The state is unchanged on error.
func (m *Machine) Restore(snapshot []byte) error {
	var data snapshotData
	if err := decode(snapshot, &data, "a snapshot"); err != nil {
		return err
	}
	config, err := policy.Parse(configFile, data.State.ConfigText)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "cannot parse configuration %d of the snapshot", data.State.ConfigVersion)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load(data, config)
	m.publish(data.State.Version)
	return nil
}

// load replaces the state by data, whose maps may be nil. config is its parsed
// configuration.
func (m *Machine) load(data snapshotData, config *policy.Config) {
	m.state = data.State
	m.state.Groups = orEmpty(data.State.Groups)
	m.state.Servers = orEmpty(data.State.Servers)
	m.state.Leases = orEmpty(data.State.Leases)
	m.state.Hosts = orEmpty(data.State.Hosts)
	m.state.Draining = orEmpty(data.State.Draining)
	m.config, m.declaredCounts = config, declaredMembers(config)
	m.wonBy, m.wonChange = data.WonBy, data.WonChange
	m.oldOwners = orEmpty(data.OldOwners)
	m.hadPrimary = orEmpty(data.HadPrimary)
	m.serverRevisions = orEmpty(data.Servers)
	m.hostRevisions = orEmpty(data.Hosts)
	m.changes = newChanges(data.Changes)
	m.leasedByHost, m.serversByGroup = make(index), make(index)
	for _, l := range m.state.Leases {
		m.leasedByHost.add(l.Host, l.Server)
	}
	for _, s := range m.state.Servers {
		m.serversByGroup.add(s.Group, s.ID)
	}
	m.view, m.viewStale = new(View), true
	for p := range m.dirty {
		m.dirty[p] = true
	}
	m.history = changelog.New[objectKey](maxHistory, data.State.Version)
}

func orEmpty[V any](in map[string]V) map[string]V {
	if in == nil {
		return make(map[string]V)
	}
	return in
}

// declaredMembers returns the declared number of members by group.
func declaredMembers(config *policy.Config) map[string]int {
	out := make(map[string]int, len(config.DatabaseGroups))
	for _, g := range config.DatabaseGroups {
		out[g.Name] = g.Members
	}
	return out
}
