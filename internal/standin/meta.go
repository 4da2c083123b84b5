package standin

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// meta is the persistent state of a server besides the log.
type meta struct {
	ID           string `json:"id"`
	FencedTerm   uint64 `json:"fenced_term"`
	PrimaryTerm  uint64 `json:"primary_term"` // term at which the server was promoted; 0 on a replica
	Upstream     string `json:"upstream"`     // address of the followed primary; empty if there is none
	UpstreamTerm uint64 `json:"upstream_term"`
}

// isPrimary reports whether the server is the primary of the fenced term.
func (m meta) isPrimary() bool { return m.PrimaryTerm != 0 && m.PrimaryTerm == m.FencedTerm }

const metaFileName = "meta.json"

// readMeta reads the metadata file in folder. found is false if there is none.
func readMeta(folder string) (m meta, found bool, err error) {
	data, err := os.ReadFile(filepath.Join(folder, metaFileName))
	if os.IsNotExist(err) {
		return meta{}, false, nil
	}
	if err != nil {
		return meta{}, false, Error.Wrap(err)
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return meta{}, false, Error.New("%s: %v", metaFileName, err)
	}
	return m, true, nil
}

// writeMeta replaces the metadata file in folder atomically and durably.
func writeMeta(folder string, m meta) error {
	data, err := json.Marshal(m)
	if err != nil {
		return Error.Wrap(err)
	}
	temp := filepath.Join(folder, metaFileName+".new")
	f, err := os.Create(temp)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temp, filepath.Join(folder, metaFileName))
	}
	if err == nil {
		err = syncFolder(folder)
	}
	return Error.Wrap(err)
}

// syncFolder makes the creation and renaming of files in folder durable.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}
