package wal

import (
	"os"
	"path/filepath"
	"syscall"
)

// folderLock prevents two processes from using one data folder. The kernel
// releases it when the process ends.
type folderLock struct {
	file *os.File
}

func lockFolder(dir string) (*folderLock, error) {
	path := filepath.Join(dir, "lock")
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, Error.New("%s: the data folder is in use by another process: %v", path, err)
	}
	return &folderLock{file: f}, nil
}

func (l *folderLock) release() error { return Error.Wrap(l.file.Close()) }
