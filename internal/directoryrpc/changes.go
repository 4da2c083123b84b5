package directoryrpc

import (
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Changes is the difference between two versions of the State, or a whole state. A
// nil value means that the object was removed. It leaves out what entry hosts don't
// use: Controls and HostCount.
type Changes struct {
	Since         uint64             `codec:"i"` // version that the changes apply to; ignored if Whole is set
	Whole         bool               `codec:"w"` // Servers and Groups replace all others
	Version       uint64             `codec:"v"`
	ConfigVersion uint64             `codec:"c"`
	Document      []byte             `codec:"d"` // nil if unchanged
	Servers       map[string]*Server `codec:"s"`
	Groups        map[string]*Group  `codec:"g"`
}

// MergeInto returns the state after Base and Changes of a reply. It does not modify
// old.
func (r *SyncReply) MergeInto(old State) (State, error) {
	next := old
	for _, e := range []EncodedChanges{r.Base, r.Changes} {
		if e.Data == nil {
			continue
		}
		c, err := e.Decode()
		if err != nil {
			return old, err
		}
		if next, err = c.Merge(next); err != nil {
			return old, err
		}
	}
	return next, nil
}

// Merge returns the state after the changes. It does not modify old, with which it
// shares unchanged maps. It returns an error if the changes apply to another
// version than that of old.
func (c *Changes) Merge(old State) (State, error) {
	next := old
	switch {
	case c.Whole:
		next.Servers, next.Groups = nil, nil
	case c.Since != old.Version:
		return old, errkind.New(errkind.Conflict, "changes since version %d do not apply to version %d", c.Since, old.Version)
	}
	next.Version = c.Version
	next.Servers = controlrpc.MergeMap(next.Servers, c.Servers)
	next.Groups = controlrpc.MergeMap(next.Groups, c.Groups)
	if c.Document != nil {
		next.Document = c.Document
	} else if c.ConfigVersion != old.ConfigVersion {
		return old, errkind.New(errkind.Internal, "the document of configuration %d is missing", c.ConfigVersion)
	}
	next.ConfigVersion = c.ConfigVersion
	return next, nil
}

// minCompressedBytes is the size from which on encoded changes are compressed.
const minCompressedBytes = 1 << 10

// EncodedChanges are encoded changes, which are encoded once for all hosts that
// have the same version.
type EncodedChanges struct {
	Data       []byte `codec:"d"` // nil if there are none
	Compressed bool   `codec:"c"`
}

// Encode returns the encoded form of the changes.
func (c *Changes) Encode() EncodedChanges {
	data := msgpack.Encode(c)
	if len(data) < minCompressedBytes {
		return EncodedChanges{Data: data}
	}
	return EncodedChanges{Data: Compress(data), Compressed: true}
}

// Decode returns the changes that Encode was called on.
func (e EncodedChanges) Decode() (*Changes, error) {
	data := e.Data
	if e.Compressed {
		var err error
		if data, err = Decompress(data); err != nil {
			return nil, err
		}
	}
	c := new(Changes)
	if err := msgpack.Decode(data, c, "changes of the state"); err != nil {
		return nil, err
	}
	return c, nil
}
