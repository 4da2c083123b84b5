package wal

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"path/filepath"
)

const identityFile = "identity.json"

// Identity identifies a data folder and its incarnation. A folder whose files
// were lost gets a new incarnation, so that the host is not taken for the member
// that cast the earlier votes.
type Identity struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"` // 32 hexadecimal digits, random

	// Ready is set once the first segment of the log exists. A ready folder
	// without segments has lost votes and entries that this incarnation has
	// acknowledged.
	Ready bool `json:"ready"`
}

// loadIdentity reads the identity of the folder. If there is none and the folder
// holds no log files, it creates one; created reports whether it did.
func loadIdentity(files fileSystem, dir, host string) (id Identity, created bool, err error) {
	path := filepath.Join(dir, identityFile)
	b, err := files.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		id, err = createIdentity(files, dir, path, host)
		return id, true, err
	}
	if err != nil {
		return Identity{}, false, Error.Wrap(err)
	}
	if err := json.Unmarshal(b, &id); err != nil {
		return Identity{}, false, Error.New("%s: %v", path, err)
	}
	if id.Incarnation == "" {
		return Identity{}, false, Error.New("%s: incarnation is missing", path)
	}
	if id.Host != host {
		return Identity{}, false, Error.New("%s: the folder belongs to host %q, not to %q", path, id.Host, host)
	}
	return id, false, nil
}

// createIdentity creates an identity with a random incarnation. It refuses a
// folder that holds log files.
func createIdentity(files fileSystem, dir, path, host string) (Identity, error) {
	for _, pattern := range []string{segmentPattern, snapshotPattern} {
		names, err := files.Glob(filepath.Join(dir, pattern))
		if err != nil {
			return Identity{}, Error.Wrap(err)
		}
		if len(names) > 0 {
			return Identity{}, Error.New("%s: missing, but the folder holds the log file %s", path, names[0])
		}
	}
	random := make([]byte, 16)
	_, _ = rand.Read(random) // never returns an error: it aborts the program instead
	id := Identity{Host: host, Incarnation: hex.EncodeToString(random)}
	return id, id.save(files, dir)
}

func (id *Identity) save(files fileSystem, dir string) error {
	b, err := json.Marshal(id)
	if err != nil {
		return Error.Wrap(err)
	}
	return writeFileAtomic(files, filepath.Join(dir, identityFile), append(b, '\n'))
}
