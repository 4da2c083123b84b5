package wal

import "io"

// file is an open file of a fileSystem.
type file interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}
