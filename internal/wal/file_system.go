package wal

// fileSystem is the part of the operating system that a Log keeps its files with.
// Tests replace it with one that loses power.
type fileSystem interface {
	OpenFile(path string, flag int) (file, error)
	ReadFile(path string) ([]byte, error)
	Glob(pattern string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the directory entries of a folder durable.
	SyncDir(dir string) error
}
