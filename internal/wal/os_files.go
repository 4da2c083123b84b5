package wal

import (
	"os"
	"path/filepath"
)

// osFiles is the file system of the operating system.
type osFiles struct{}

func (osFiles) OpenFile(path string, flag int) (file, error) { return os.OpenFile(path, flag, 0o600) }

func (osFiles) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFiles) Glob(pattern string) ([]string, error) { return filepath.Glob(pattern) }

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) Remove(path string) error { return os.Remove(path) }

func (osFiles) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}
