package wal_test

import (
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/arbutusring/arbutusring/internal/wal"
)

const simSectorBytes = 512

var errStopped = errors.New("the process has ended")

// disk is a simulated folder with its cache. The process ends at a chosen
// operation; a loss of power keeps what was synced and any part of the rest.
type disk struct {
	draw     func(n int, label string) int // from [0, n)
	names    map[string]*inode             // as processes see the folder
	synced   map[string]*inode             // as of the last sync of the folder
	changes  map[string][]*inode           // by name, since then; nil for a removal
	stopIn   int                           // operations until the process ends; 0 for never
	stopped  bool
	opsCount int
}

// inode is the content of a file.
type inode struct {
	data, synced []byte
	writes       []diskWrite // since the last sync
}

// diskWrite is a write to a file, or a truncation to off bytes if data is nil.
type diskWrite struct {
	off  int
	data []byte
}

// diskFile is an open file. It writes at the end, as O_APPEND does.
type diskFile struct {
	disk  *disk
	inode *inode
}

func newDisk(draw func(n int, label string) int) *disk {
	return &disk{draw: draw, names: make(map[string]*inode), synced: make(map[string]*inode), changes: make(map[string][]*inode)}
}

// step carries out one operation, unless the process ends before it. If the
// process ends after it, its caller doesn't learn the result.
func (d *disk) step(op func() error) error {
	if d.stopped {
		return errStopped
	}
	d.opsCount++
	if d.stopIn > 0 {
		if d.stopIn--; d.stopIn == 0 {
			d.stopped = true
			if d.draw(2, "operation done") == 1 {
				_ = op()
			}
			return errStopped
		}
	}
	return op()
}

func (d *disk) set(path string, i *inode) {
	if d.names[path] = i; i == nil {
		delete(d.names, path)
	}
	d.changes[path] = append(d.changes[path], i)
}

func (d *disk) OpenFile(path string, flag int) (wal.File, error) {
	var i *inode
	err := d.step(func() error {
		if i = d.names[path]; i == nil {
			if flag&os.O_CREATE == 0 {
				return fs.ErrNotExist
			}
			i = new(inode)
			d.set(path, i)
		}
		if flag&os.O_TRUNC != 0 && len(i.data) > 0 {
			i.write(diskWrite{})
		}
		return nil
	})
	return &diskFile{disk: d, inode: i}, err
}

func (d *disk) ReadFile(path string) ([]byte, error) {
	if d.stopped {
		return nil, errStopped
	}
	i := d.names[path]
	if i == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(i.data), nil
}

func (d *disk) Glob(pattern string) ([]string, error) {
	var names []string
	for _, path := range slices.Sorted(maps.Keys(d.names)) {
		if ok, err := filepath.Match(pattern, path); err != nil {
			return nil, err
		} else if ok {
			names = append(names, path)
		}
	}
	return names, nil
}

func (d *disk) Rename(from, to string) error {
	return d.step(func() error {
		i := d.names[from]
		if i == nil {
			return fs.ErrNotExist
		}
		d.set(to, i)
		d.set(from, nil)
		return nil
	})
}

func (d *disk) Remove(path string) error {
	return d.step(func() error {
		if d.names[path] == nil {
			return fs.ErrNotExist
		}
		d.set(path, nil)
		return nil
	})
}

func (d *disk) SyncDir(string) error {
	return d.step(func() error {
		d.synced = maps.Clone(d.names)
		clear(d.changes)
		return nil
	})
}

// restart makes the folder usable by the next process.
func (d *disk) restart() { d.stopped, d.stopIn = false, 0 }

// losePower drops what was not synced: all of it, or any part. Names are kept or
// lost independently of each other.
func (d *disk) losePower() {
	all := d.draw(3, "all unsynced data is lost") == 0
	for _, path := range slices.Sorted(maps.Keys(d.changes)) {
		states := append([]*inode{d.synced[path]}, d.changes[path]...)
		n := 0
		if !all {
			n = d.draw(len(states), "state of "+filepath.Base(path))
		}
		if d.synced[path] = states[n]; states[n] == nil {
			delete(d.synced, path)
		}
	}
	clear(d.changes)
	d.names = maps.Clone(d.synced)
	for _, path := range slices.Sorted(maps.Keys(d.names)) {
		d.names[path].losePower(d, all)
	}
}

// write changes the content that processes see.
func (i *inode) write(w diskWrite) {
	i.data = w.apply(i.data)
	i.writes = append(i.writes, w)
}

// losePower applies to the synced content any part of the writes since then.
func (i *inode) losePower(d *disk, all bool) {
	for _, w := range i.writes {
		fate := 0
		if !all {
			fate = d.draw(3, "write is lost, kept or torn")
		}
		switch {
		case fate == 1, fate == 2 && w.data == nil:
			i.synced = w.apply(i.synced)
		case fate == 2:
			i.synced = w.tear(d).apply(i.synced)
		}
	}
	i.writes, i.data = nil, slices.Clone(i.synced)
}

func (w diskWrite) apply(content []byte) []byte {
	if w.data == nil {
		return append(slices.Clone(content[:min(w.off, len(content))]), make([]byte, max(0, w.off-len(content)))...)
	}
	out := append(slices.Clone(content), make([]byte, max(0, w.off+len(w.data)-len(content)))...)
	copy(out[w.off:], w.data)
	return out
}

// tear returns the write with some sectors that were never written, or cut off.
func (w diskWrite) tear(d *disk) diskWrite {
	torn := diskWrite{off: w.off, data: slices.Clone(w.data)}
	if d.draw(2, "cut off") == 1 {
		torn.data = torn.data[:d.draw(len(torn.data)+1, "bytes kept")]
	}
	for off := 0; off < len(torn.data); {
		end := min(len(torn.data), ((w.off+off)/simSectorBytes+1)*simSectorBytes-w.off)
		if d.draw(2, "sector written") == 0 {
			clear(torn.data[off:end])
		}
		off = end
	}
	if torn.data == nil {
		torn.data = []byte{}
	}
	return torn
}

func (f *diskFile) Write(b []byte) (int, error) {
	return len(b), f.disk.step(func() error {
		f.inode.write(diskWrite{off: len(f.inode.data), data: slices.Clone(b)})
		return nil
	})
}

func (f *diskFile) Sync() error {
	return f.disk.step(func() error {
		f.inode.synced, f.inode.writes = slices.Clone(f.inode.data), nil
		return nil
	})
}

func (f *diskFile) Truncate(size int64) error {
	return f.disk.step(func() error {
		f.inode.write(diskWrite{off: int(size)})
		return nil
	})
}

func (f *diskFile) Close() error { return nil }
