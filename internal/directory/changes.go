package directory

import (
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

// encodedChanges holds the encoded changes from earlier versions to the current
// one, so that they are encoded once, not for every host.
type encodedChanges map[encodedKey]directoryrpc.EncodedChanges

// encodedKey identifies changes to the current version.
type encodedKey struct {
	since  uint64
	config uint64 // version of the configuration that the host has
}

const (
	// maxEncoded bounds the number of versions for which changes are kept encoded.
	maxEncoded = 64
	// maxBaseChanges is the number of changes after which a whole state is encoded
	// again.
	maxBaseChanges = 200
)

func (e *encodedChanges) clear() { *e = nil }

func (e *encodedChanges) put(key encodedKey, c directoryrpc.EncodedChanges) {
	if *e == nil {
		*e = make(encodedChanges)
	}
	if len(*e) < maxEncoded {
		(*e)[key] = c
	}
}

// baseState is an encoded whole state. Encoding thousands of servers takes
// milliseconds, so one is kept for all hosts that start, although the state changes
// meanwhile; they are sent the changes since then as well.
type baseState struct {
	version uint64
	config  uint64
	encoded directoryrpc.EncodedChanges // Data is nil if there is none
}

// ChangesSince returns the encoded changes from the version that a host has to the
// current one. If they are not known, it returns a whole state, base, and the changes
// since that. config is the version of the configuration that the host has; its
// document is left out if it is the current one.
func (m *Machine) ChangesSince(version, config uint64) (base, changes directoryrpc.EncodedChanges) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.knowsChanges(version) {
		m.updateBase()
		base, version, config = m.base.encoded, m.base.version, m.base.config
		if version == m.state.Version {
			return base, changes
		}
	}
	key := encodedKey{version, config}
	if c, ok := m.encoded[key]; ok {
		return base, c
	}
	changes = m.changesSince(version, config).Encode()
	m.encoded.put(key, changes)
	return base, changes
}

// WholeStateBytes returns the size of the whole state that a host with the given
// version needs, or 0 if it needs only changes.
func (m *Machine) WholeStateBytes(version uint64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.knowsChanges(version) || m.state.Version == 0 {
		return 0
	}
	m.updateBase()
	return len(m.base.encoded.Data)
}

// knowsChanges reports whether the changes since the version are known. The caller
// holds mu.
func (m *Machine) knowsChanges(version uint64) bool {
	return version > 0 && version <= m.state.Version && m.history.Knows(version)
}

// updateBase encodes the whole state unless the last one is recent enough. The
// caller holds mu.
func (m *Machine) updateBase() {
	if m.base.encoded.Data != nil && m.knowsChanges(m.base.version) && m.history.Count(m.base.version) <= maxBaseChanges {
		return
	}
	out := &directoryrpc.Changes{Whole: true, Version: m.state.Version, ConfigVersion: m.state.ConfigVersion, Document: m.state.Document}
	for id := range m.state.Servers {
		out.Servers = controlrpc.PutChange(out.Servers, m.state.Servers, id)
	}
	for name := range m.state.Groups {
		out.Groups = m.putGroup(out.Groups, name)
	}
	m.base = baseState{version: m.state.Version, config: m.state.ConfigVersion, encoded: out.Encode()}
}

// changesSince returns the changes since a version from which they are known. The
// caller holds mu.
func (m *Machine) changesSince(version, config uint64) *directoryrpc.Changes {
	out := &directoryrpc.Changes{Since: version, Version: m.state.Version, ConfigVersion: m.state.ConfigVersion}
	for _, key := range m.history.Since(version) {
		if key.server != "" {
			out.Servers = controlrpc.PutChange(out.Servers, m.state.Servers, key.server)
		}
		if key.group != "" {
			out.Groups = m.putGroup(out.Groups, key.group)
		}
	}
	if config != m.state.ConfigVersion {
		out.Document = m.state.Document
	}
	return out
}

// putGroup adds a group to changes for hosts. The caller holds mu.
func (m *Machine) putGroup(out map[string]*directoryrpc.Group, name string) map[string]*directoryrpc.Group {
	out = controlrpc.PutChange(out, m.state.Groups, name)
	if g := out[name]; g != nil {
		g.Starts = nil
	}
	return out
}
