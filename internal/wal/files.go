package wal

import (
	"os"
	"path/filepath"
)

// syncDir makes the directory entries of a folder durable.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return Error.Wrap(err)
	}
	err = f.Sync()
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return Error.Wrap(err)
}

// writeFileAtomic atomically and durably replaces the content of the file at path
// with data.
func writeFileAtomic(path string, data []byte) error {
	temp := path + tempSuffix
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
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
	if err := os.Rename(temp, path); err != nil {
		return Error.Wrap(err)
	}
	return syncDir(filepath.Dir(path))
}

// removeTemporary removes the unfinished files that a crash left behind.
func removeTemporary(dir string) error {
	names, err := filepath.Glob(filepath.Join(dir, "*"+tempSuffix))
	if err != nil {
		return Error.Wrap(err)
	}
	for _, path := range names {
		if err := os.Remove(path); err != nil {
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
		if err := syncDir(parent); err != nil {
			return err
		}
	}
	return nil
}
