package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
)

const (
	snapshotPattern = "snapshot-*.snap"
	snapshotFormat  = "snapshot-%016x-%016x.snap"
	tempSuffix      = ".tmp"
)

// Snapshot is the state after the entry (Index, Term) was applied.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []byte // encoded membership at Index, opaque to this package
	Data    []byte // encoded state, opaque to this package
}

func (s *Snapshot) encode() []byte {
	b := make([]byte, 0, len(s.Members)+len(s.Data)+4*binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = appendBytes(b, s.Members)
	return appendBytes(b, s.Data)
}

func decodeSnapshot(payload []byte) (*Snapshot, error) {
	d := decoder{rest: payload}
	s := &Snapshot{Index: d.uvarint(), Term: d.uvarint(), Members: d.bytes(), Data: d.bytes()}
	if d.failed || len(d.rest) != 0 {
		return nil, Error.New("snapshot content is malformed")
	}
	return s, nil
}

// writeSnapshot writes s under a temporary name, syncs it, renames it and
// syncs the folder. A crash leaves either no snapshot file or a complete one.
func writeSnapshot(files fileSystem, dir string, s *Snapshot) error {
	record, err := encodeRecord(s.encode())
	if err != nil {
		return err
	}
	return writeFileAtomic(files, filepath.Join(dir, snapshotName(s)), record)
}

func snapshotName(s *Snapshot) string { return fmt.Sprintf(snapshotFormat, s.Index, s.Term) }

// loadSnapshot returns the newest snapshot, or nil if there is none. It refuses
// a damaged snapshot, because the log entries that it replaces may be gone.
func loadSnapshot(files fileSystem, dir string) (*Snapshot, error) {
	names, err := files.Glob(filepath.Join(dir, snapshotPattern))
	if err != nil || len(names) == 0 {
		return nil, Error.Wrap(err)
	}
	path := names[len(names)-1] // Glob sorts, and the index has a fixed width
	b, err := files.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	payload, next, status := readRecord(b, 0)
	if status != recordValid || next != len(b) {
		return nil, Error.New("%s: offset 0: snapshot is corrupt", path)
	}
	s, err := decodeSnapshot(payload)
	if err != nil {
		return nil, Error.New("%s: offset 0: %v", path, err)
	}
	if name := snapshotName(s); filepath.Base(path) != name {
		return nil, Error.New("%s: offset 0: the content is that of %s", path, name)
	}
	return s, nil
}

// removeOldSnapshots removes the snapshot files of entries before index.
func removeOldSnapshots(files fileSystem, dir string, index uint64) error {
	names, err := files.Glob(filepath.Join(dir, snapshotPattern))
	if err != nil {
		return Error.Wrap(err)
	}
	for _, path := range names {
		var i, t uint64
		if _, err := fmt.Sscanf(filepath.Base(path), snapshotFormat, &i, &t); err != nil || i >= index {
			continue
		}
		if err := files.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return Error.Wrap(err)
		}
	}
	return nil
}
