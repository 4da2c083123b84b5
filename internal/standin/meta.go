package standin

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// meta is what a server keeps durably besides the log.
type meta struct {
	ID           string `json:"id"`
	Fenced       uint64 `json:"fenced_term"`
	PrimaryTerm  uint64 `json:"primary_term"` // term that the server was promoted at; 0 as a replica
	Upstream     string `json:"upstream"`     // address of the primary that is followed
	UpstreamTerm uint64 `json:"upstream_term"`
}

// primary reports whether the server is the primary of the fenced term.
func (m meta) primary() bool { return m.PrimaryTerm != 0 && m.PrimaryTerm == m.Fenced }

const metaFile = "meta.json"

// readMeta reads the file in folder. found is false if there is none.
func readMeta(folder string) (m meta, found bool, err error) {
	data, err := os.ReadFile(filepath.Join(folder, metaFile))
	if os.IsNotExist(err) {
		return meta{}, false, nil
	}
	if err != nil {
		return meta{}, false, Error.Wrap(err)
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return meta{}, false, Error.New("%s: %v", metaFile, err)
	}
	return m, true, nil
}

// writeMeta replaces the file in folder atomically and durably.
func writeMeta(folder string, m meta) error {
	data, err := json.Marshal(m)
	if err != nil {
		return Error.Wrap(err)
	}
	temp := filepath.Join(folder, metaFile+".new")
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
		err = os.Rename(temp, filepath.Join(folder, metaFile))
	}
	if err == nil {
		err = syncFolder(folder)
	}
	return Error.Wrap(err)
}

// syncFolder makes created and renamed files of folder durable.
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
