package wal

import (
	"os"
	"sync"
)

const (
	defaultSegmentBytes = 16 << 20
	// recordSplitBytes is the record size from which Save starts another record.
	recordSplitBytes = 32 << 20
)

// Log is the open data folder of one host.
type Log struct {
	opts      Options
	lock      *folderLock
	segments  []segment // the last one is open for appending
	file      file
	hardState HardState
	buf       []byte

	mu     sync.Mutex // guards failed
	failed error
}

// Open locks the data folder and reads it. It creates the folder if necessary.
func Open(opts Options) (*Log, *Contents, error) {
	if opts.Dir == "" || opts.Host == "" {
		return nil, nil, Error.New("the data folder and the host id must not be empty")
	}
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	if opts.files == nil {
		opts.files = osFiles{}
	}
	if err := makeDir(opts.Dir); err != nil {
		return nil, nil, err
	}
	lock, err := lockFolder(opts.Dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{opts: opts, lock: lock}
	contents, err := l.load()
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return l, contents, nil
}

func (l *Log) load() (*Contents, error) {
	dir, files := l.opts.Dir, l.opts.files
	// A process that was killed may have left names that are not durable yet. What
	// follows depends on them.
	if err := files.SyncDir(dir); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := removeTemporary(files, dir); err != nil {
		return nil, err
	}
	c := new(Contents)
	var err error
	if c.Identity, c.Created, err = loadIdentity(files, dir, l.opts.Host); err != nil {
		return nil, err
	}
	if c.Snapshot, err = loadSnapshot(files, dir); err != nil {
		return nil, err
	}
	if l.segments, err = listSegments(files, dir); err != nil {
		return nil, err
	}
	if c.Identity.Ready && len(l.segments) == 0 {
		return nil, Error.New("%s: the segments of the log are missing", dir)
	}
	r := new(replay)
	for i := range l.segments {
		last := i == len(l.segments)-1
		truncatedBytes, err := l.segments[i].load(files, r, last)
		if err != nil {
			return nil, err
		}
		c.TruncatedBytes += truncatedBytes
	}
	if err := r.reconcile(c.Snapshot); err != nil {
		return nil, Error.New("%s: %v", dir, err)
	}
	c.HardState, c.Entries = r.hardState, r.entries
	l.hardState = r.hardState
	if err := l.openLast(r); err != nil || c.Identity.Ready {
		return c, err
	}
	c.Identity.Ready = true
	return c, c.Identity.save(files, dir)
}

// openLast opens the last segment for appending. It starts a new segment if
// there is none or if the first record of the last one was cut off. If no entry
// follows the snapshot, it writes a reset, because the entries in the segments
// may conflict with the snapshot or end before it.
func (l *Log) openLast(r *replay) error {
	n := len(l.segments)
	if n == 0 {
		return l.startSegment(1)
	}
	last := &l.segments[n-1]
	if last.size == 0 {
		number := last.number
		l.segments = l.segments[:n-1]
		return l.startSegment(number)
	}
	f, err := l.opts.files.OpenFile(last.path, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return Error.Wrap(err)
	}
	l.file = f
	if err := f.Sync(); err != nil { // the last record of a process that was killed
		return Error.Wrap(err)
	}
	if uint64(len(r.entries)) == 0 && r.base > 0 {
		return l.Reset(r.base, 0) // replay ignores the term
	}
	return nil
}

// startSegment creates a segment. Its first record repeats the hard state, so
// that older segments can be removed.
func (l *Log) startSegment(number uint64) error {
	path := segmentPath(l.opts.Dir, number)
	f, err := l.opts.files.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return Error.Wrap(err)
	}
	if l.file != nil {
		_ = l.file.Close() // its content is already synced
	}
	l.file = f
	l.segments = append(l.segments, segment{number: number, path: path})
	l.beginRecord()
	l.buf = appendHardState(appendSegment(l.buf, number), l.hardState)
	if err := l.flushRecord(); err != nil {
		return err
	}
	return Error.Wrap(l.opts.files.SyncDir(l.opts.Dir))
}

// beginRecord starts a new record in buf.
func (l *Log) beginRecord() { l.buf = append(l.buf[:0], make([]byte, recordHeaderBytes)...) }

// flushRecord writes the record in buf and syncs the file.
func (l *Log) flushRecord() error {
	sealRecord(l.buf, l.buf[recordHeaderBytes:])
	if _, err := l.file.Write(l.buf); err != nil {
		return Error.Wrap(err)
	}
	l.segments[len(l.segments)-1].size += int64(len(l.buf))
	if cap(l.buf) > recordSplitBytes/8 {
		defer func() { l.buf = nil }() // release the memory of a large record
	}
	return Error.Wrap(l.file.Sync())
}

// Save makes the hard state (unless nil) and the entries durable. The first
// entry replaces the entry with the same index and all later ones.
func (l *Log) Save(hs *HardState, entries []Entry) error {
	if err := l.failure(); err != nil {
		return err
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	return l.recordFailure(l.save(hs, entries))
}

func (l *Log) save(hs *HardState, entries []Entry) error {
	if last := l.segments[len(l.segments)-1]; last.size >= l.opts.SegmentBytes {
		if err := l.startSegment(last.number + 1); err != nil {
			return err
		}
	}
	l.beginRecord()
	if hs != nil {
		l.buf = appendHardState(l.buf, *hs)
		l.hardState = *hs
	}
	last := &l.segments[len(l.segments)-1]
	for _, e := range entries {
		if len(l.buf) > recordSplitBytes {
			if err := l.flushRecord(); err != nil {
				return err
			}
			l.beginRecord()
		}
		if len(e.Data) > maxPayloadBytes/2 {
			return Error.New("entry of %d bytes is too large", len(e.Data))
		}
		l.buf = appendEntry(l.buf, e)
		last.maxIndex = max(last.maxIndex, e.Index)
	}
	return l.flushRecord()
}

// SaveSnapshot makes the snapshot durable and removes older ones. It doesn't
// change the log; see Compact and Reset.
func (l *Log) SaveSnapshot(s *Snapshot) error {
	if err := l.failure(); err != nil {
		return err
	}
	if err := writeSnapshot(l.opts.files, l.opts.Dir, s); err != nil {
		return l.recordFailure(err)
	}
	return l.recordFailure(removeOldSnapshots(l.opts.files, l.opts.Dir, s.Index))
}

// Reset empties the log: the next entry is index+1. A snapshot of index must
// be durable already.
func (l *Log) Reset(index, term uint64) error {
	if err := l.failure(); err != nil {
		return err
	}
	l.beginRecord()
	l.buf = appendReset(l.buf, index, term)
	return l.recordFailure(l.flushRecord())
}

// Compact removes the segments that hold only entries up to index. A snapshot
// of index or later must be durable already.
func (l *Log) Compact(index uint64) error {
	if err := l.failure(); err != nil {
		return err
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		if err := l.opts.files.Remove(l.segments[0].path); err != nil {
			return l.recordFailure(Error.Wrap(err))
		}
		// Without the sync, a crash could restore this segment although the next
		// one is gone.
		if err := l.opts.files.SyncDir(l.opts.Dir); err != nil {
			return l.recordFailure(Error.Wrap(err))
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Close closes the log and releases the folder.
func (l *Log) Close() error {
	_ = l.recordFailure(Error.New("the log is closed"))
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if lerr := l.lock.release(); err == nil {
		err = lerr
	}
	return Error.Wrap(err)
}

// failure returns the first recorded error, or nil.
func (l *Log) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// recordFailure records the first error, which later writes return, and returns
// err.
func (l *Log) recordFailure(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && l.failed == nil {
		l.failed = err
	}
	return err
}
