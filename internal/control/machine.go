package control

import (
	"slices"
	"sync"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// configFile is the file name in errors about the text of a configuration.
const configFile = "policy.toml"

// Machine is the replicated state. Apply, Snapshot and Restore are called by
// the log, one at a time; View and Changed by anyone. Apply depends on
// nothing but the state and its arguments, so every control host reaches the
// same state.
type Machine struct {
	mu        sync.Mutex
	state     controlrpc.State
	config    *policy.Config      // parsed state.ConfigText
	declared  map[string]int      // members by group, from config; replaced, never changed
	wonBy     string              // operator of the configuration in force
	wonChange string              // change id of the configuration in force
	old       map[string]oldOwner // by group
	named     map[string]bool     // groups that have had a primary
	servers   map[string]uint64   // revision by server id
	hosts     map[string]uint64   // revision by host id
	changes   *changes
	byHost    index         // ids of leased servers by host id
	byGroup   index         // ids of servers by group
	view      *View         // last view
	dirty     [parts]bool   // changed since view
	history   history       // what the last entries changed
	stale     bool          // view is not the current state
	changed   chan struct{} // closed at the next change
}

// image is the form of a snapshot.
type image struct {
	State     controlrpc.State    `codec:"s"`
	WonBy     string              `codec:"w"`
	WonChange string              `codec:"x"`
	Old       map[string]oldOwner `codec:"o"`
	Named     map[string]bool     `codec:"n"`
	Servers   map[string]uint64   `codec:"r"`
	Hosts     map[string]uint64   `codec:"h"`
	Changes   []change            `codec:"c"`
}

// NewMachine returns the state before the first log entry.
func NewMachine() *Machine {
	m := &Machine{changed: make(chan struct{})}
	m.load(image{}, new(policy.Config))
	return m
}

// Apply carries out one log entry and returns the encoded results.
func (m *Machine) Apply(index uint64, entry []byte) []byte {
	var commands []Command
	if err := decode(entry, &commands, "a log entry"); err != nil {
		// Every host refuses the entry alike, so the states stay equal.
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

// apply returns the result and whether the state changed.
func (m *Machine) apply(index uint64, c Command) (Result, bool) {
	switch {
	case c.Announce != nil:
		return m.announce(index, c.Announce)
	case c.Remove != nil:
		return m.remove(index, c.Remove)
	case c.Register != nil:
		return m.register(index, c.Register)
	case c.Forget != nil:
		return m.forget(index, c.Forget)
	case c.Revoke != nil:
		return m.revoke(index, c.Revoke)
	case c.Assign != nil:
		return m.assign(index, c.Assign)
	case c.Begin != nil:
		return m.begin(index, c.Begin)
	case c.Name != nil:
		return m.name(index, c.Name)
	case c.Drain != nil:
		return m.drain(index, c.Drain)
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
	m.stale = true
	close(m.changed)
	m.changed = make(chan struct{})
}

// touch records that a command changes an object. The caller holds mu.
func (m *Machine) touch(index uint64, p part, id string) {
	m.dirty[p] = true
	m.history.add(touch{index, p, id})
}

// View returns the current state.
func (m *Machine) View() *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current()
}

// current returns the view of the current state. The caller holds mu.
func (m *Machine) current() *View {
	if m.stale {
		m.view, m.dirty, m.stale = newView(m, m.view, m.dirty), [parts]bool{}, false
	}
	return m.view
}

// Changed returns a channel that is closed at the next change. A reader takes
// the channel before the View, so that it misses no change.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Snapshot returns the whole state. Equal states have equal snapshots. It
// encodes without the lock, because that takes several 100 ms at fleet size.
func (m *Machine) Snapshot() []byte {
	m.mu.Lock()
	v := m.current()
	changes := slices.Clone(m.changes.order)
	m.mu.Unlock()
	return encode(image{
		State: v.State, WonBy: v.wonBy, WonChange: v.wonChange,
		Old: v.old, Named: v.named, Servers: v.servers, Hosts: v.hosts, Changes: changes,
	})
}

// Restore replaces the state by a snapshot. The state is unchanged on error.
func (m *Machine) Restore(snapshot []byte) error {
	var img image
	if err := decode(snapshot, &img, "a snapshot"); err != nil {
		return err
	}
	config, err := policy.Parse(configFile, img.State.ConfigText)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "configuration %d in a snapshot", img.State.ConfigVersion)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load(img, config)
	m.publish(img.State.Version)
	return nil
}

// load takes over the image, whose maps may be nil.
func (m *Machine) load(img image, config *policy.Config) {
	m.state = img.State
	m.state.Groups = orEmpty(img.State.Groups)
	m.state.Servers = orEmpty(img.State.Servers)
	m.state.Leases = orEmpty(img.State.Leases)
	m.state.Hosts = orEmpty(img.State.Hosts)
	m.state.Draining = orEmpty(img.State.Draining)
	m.config, m.declared = config, declaredMembers(config)
	m.wonBy, m.wonChange = img.WonBy, img.WonChange
	m.old = orEmpty(img.Old)
	m.named = orEmpty(img.Named)
	m.servers = orEmpty(img.Servers)
	m.hosts = orEmpty(img.Hosts)
	m.changes = newChanges(img.Changes)
	m.byHost, m.byGroup = make(index), make(index)
	for _, l := range m.state.Leases {
		m.byHost.add(l.Host, l.Server)
	}
	for _, s := range m.state.Servers {
		m.byGroup.add(s.Group, s.ID)
	}
	m.view, m.stale = new(View), true
	for p := range m.dirty {
		m.dirty[p] = true
	}
	m.history = history{floor: img.State.Version}
}

func orEmpty[V any](in map[string]V) map[string]V {
	if in == nil {
		return make(map[string]V)
	}
	return in
}

func declaredMembers(config *policy.Config) map[string]int {
	out := make(map[string]int, len(config.DatabaseGroups))
	for _, g := range config.DatabaseGroups {
		out[g.Name] = g.Members
	}
	return out
}
