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

// maxEncoded bounds the number of versions for which changes are kept encoded.
const maxEncoded = 64

func (e *encodedChanges) clear() { *e = nil }

func (e *encodedChanges) put(key encodedKey, c directoryrpc.EncodedChanges) {
	if *e == nil {
		*e = make(encodedChanges)
	}
	if len(*e) < maxEncoded {
		(*e)[key] = c
	}
}

// ChangesSince returns the encoded changes from the version that a host has to the
// current one, or the whole state if they are not known. config is the version of
// the configuration that the host has; its document is left out if it is the
// current one.
func (m *Machine) ChangesSince(version, config uint64) directoryrpc.EncodedChanges {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := encodedKey{version, config}
	if c, ok := m.encoded[key]; ok {
		return c
	}
	out := m.changesSince(version)
	if config != m.state.ConfigVersion {
		out.Document = m.state.Document
	}
	c := out.Encode()
	m.encoded.put(key, c)
	return c
}

// changesSince returns the changes without the document. The caller holds mu.
func (m *Machine) changesSince(version uint64) *directoryrpc.Changes {
	out := &directoryrpc.Changes{Since: version, Version: m.state.Version, ConfigVersion: m.state.ConfigVersion}
	keys, known := m.history.Since(version)
	if !known || version > m.state.Version {
		out.Whole = true
		for id := range m.state.Servers {
			out.Servers = controlrpc.PutChange(out.Servers, m.state.Servers, id)
		}
		for name := range m.state.Groups {
			out.Groups = controlrpc.PutChange(out.Groups, m.state.Groups, name)
		}
		return out
	}
	for _, key := range keys {
		if key.server != "" {
			out.Servers = controlrpc.PutChange(out.Servers, m.state.Servers, key.server)
		}
		if key.group != "" {
			out.Groups = controlrpc.PutChange(out.Groups, m.state.Groups, key.group)
		}
	}
	return out
}
