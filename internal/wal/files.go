package wal

import (
	"os"
	"path/filepath"
)

// writeFileAtomic atomically and durably replaces the content of the file at path
// with data.
func writeFileAtomic(fs fileSystem, path string, data []byte) error {
	temp := path + tempSuffix
	f, err := fs.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return Error.Wrap(err)
	}
	if err := fs.Rename(temp, path); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(fs.SyncDir(filepath.Dir(path)))
}

// removeTemporary removes the unfinished files that a crash left behind.
func removeTemporary(fs fileSystem, dir string) error {
	names, err := fs.Glob(filepath.Join(dir, "*"+tempSuffix))
	if err != nil {
		return Error.Wrap(err)
	}
	for _, path := range names {
		if err := fs.Remove(path); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// makeDir creates the data folder and its missing parents, and makes the new
// directory entries durable.
func makeDir(dir string) error {
	dir = filepath.Clean(dir)
	var parents []string
	for d := dir; ; d = filepath.Dir(d) {
		if _, err := os.Stat(d); err == nil || filepath.Dir(d) == d {
			break
		}
		parents = append(parents, filepath.Dir(d))
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Error.Wrap(err)
	}
	for _, parent := range parents {
		if err := (osFiles{}).SyncDir(parent); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
