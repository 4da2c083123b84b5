package wal_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/wal"
	"github.com/matryer/is"
)

func openLog(t testing.TB, dir string) (*wal.Log, *wal.Contents) {
	t.Helper()
	l, c, err := wal.Open(wal.Options{Dir: dir, Host: "h", SegmentBytes: 600})
	if err != nil {
		t.Fatal(err)
	}
	return l, c
}

// entries returns the entries lo to hi of one term, about 40 bytes each.
func entries(lo, hi, term uint64) []wal.Entry {
	var es []wal.Entry
	for i := lo; i <= hi; i++ {
		es = append(es, wal.Entry{Index: i, Term: term, Data: []byte(strings.Repeat("x", 36))})
	}
	return es
}

// terms returns the first index and the terms of the entries after the snapshot.
func terms(c *wal.Contents) (first uint64, terms []uint64) {
	for _, e := range c.Entries {
		terms = append(terms, e.Term)
	}
	if len(c.Entries) > 0 {
		first = c.Entries[0].Index
	}
	return first, terms
}

// writeTwoRecords creates a log with the entries 1 to 6 in two records of one
// segment. It returns the path of the file and the offset of the second record.
func writeTwoRecords(t testing.TB, dir string) (path string, secondOffset int64) {
	l, _ := openLog(t, dir)
	is := is.New(t)
	path = filepath.Join(dir, "0000000000000001.wal")
	is.NoErr(l.Save(&wal.HardState{Term: 1, Vote: "a"}, entries(1, 3, 1)))
	info, err := os.Stat(path)
	is.NoErr(err)
	is.NoErr(l.Save(nil, entries(4, 6, 1)))
	is.NoErr(l.Close())
	return path, info.Size()
}

// TestTornTail guards against refusing a log whose last write was interrupted by
// a crash at any byte, and against keeping a part of that write.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path, secondOffset := writeTwoRecords(t, dir)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for size := secondOffset; size <= int64(len(whole)); size++ {
		for _, tail := range [][]byte{nil, make([]byte, 1024)} { // the file system may have extended the file before the data was written
			if len(tail) > 0 && size == int64(len(whole)) {
				continue
			}
			is.NoErr(os.WriteFile(path, append(slices.Clone(whole[:size]), tail...), 0o600))
			l, c := openLog(t, dir)
			want := 3
			if size == int64(len(whole)) {
				want = 6
			}
			is.Equal(len(c.Entries), want)
			is.Equal(c.HardState, wal.HardState{Term: 1, Vote: "a"})
			is.NoErr(l.Save(nil, entries(uint64(want)+1, 7, 2)))
			is.NoErr(l.Close())
			l, c = openLog(t, dir)
			is.Equal(c.Entries[len(c.Entries)-1].Index, uint64(7))
			is.NoErr(l.Close())
		}
	}
}

// TestDamagedByte guards against silent loss of synced entries: Open must refuse
// a flipped bit anywhere in the log, with the file and the offset.
func TestDamagedByte(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path, _ := writeTwoRecords(t, dir)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for i := range whole {
		b := slices.Clone(whole)
		b[i] ^= 0x40
		is.NoErr(os.WriteFile(path, b, 0o600))
		_, _, err := wal.Open(wal.Options{Dir: dir, Host: "h"})
		if err == nil || !strings.Contains(err.Error(), path+": offset ") {
			t.Fatalf("byte %d: error %v does not name the file and the offset", i, err)
		}
	}
}

// TestFaults guards against wrong contents after damage to single files, and
// after a crash between two steps of an operation that changes several files.
func TestFaults(t *testing.T) {
	remove := func(name string) func(t *testing.T, dir string, l *wal.Log) {
		return func(t *testing.T, dir string, _ *wal.Log) {
			is.New(t).NoErr(os.Remove(filepath.Join(dir, name)))
		}
	}
	snapshot := func(index, term uint64) *wal.Snapshot {
		return &wal.Snapshot{Index: index, Term: term, Members: []byte("m"), Data: []byte("data")}
	}
	save := func(t *testing.T, _ string, l *wal.Log) { is.New(t).NoErr(l.Save(nil, entries(4, 4, 2))) }
	for _, test := range []struct {
		name  string
		steps func(t *testing.T, dir string, l *wal.Log) // after entries 1 to 40 of term 1, several segments
		after func(t *testing.T, dir string, l *wal.Log) // after Close
		err   string
		first uint64
		count int
	}{
		{name: "intact", first: 1, count: 40},
		{name: "truncated suffix", steps: save, first: 1, count: 4},
		{name: "missing identity", after: remove("identity.json"), err: "identity.json: missing"},
		{name: "missing log", err: "segments of the log are missing",
			after: func(t *testing.T, dir string, _ *wal.Log) {
				names, err := filepath.Glob(filepath.Join(dir, "*.wal"))
				is.New(t).NoErr(err)
				for _, name := range names {
					is.New(t).NoErr(os.Remove(name))
				}
			}},
		{name: "missing first segment", after: remove("0000000000000001.wal"), err: "there is no snapshot"},
		{name: "missing middle segment", after: remove("0000000000000002.wal"), err: "segment before it is missing"},
		{name: "torn end of a segment that is not the last", err: "0000000000000001.wal: offset",
			after: func(t *testing.T, dir string, _ *wal.Log) {
				path := filepath.Join(dir, "0000000000000001.wal")
				info, err := os.Stat(path)
				is.New(t).NoErr(err)
				is.New(t).NoErr(os.Truncate(path, info.Size()-1))
			}},
		{name: "crash before a snapshot is renamed", first: 1, count: 40,
			after: func(t *testing.T, dir string, _ *wal.Log) {
				name := filepath.Join(dir, "snapshot-0000000000000020-0000000000000001.snap.tmp")
				is.New(t).NoErr(os.WriteFile(name, []byte("part"), 0o600))
			}},
		{name: "crash before a new segment is written", first: 1, count: 40,
			after: func(t *testing.T, dir string, _ *wal.Log) {
				names, err := filepath.Glob(filepath.Join(dir, "*.wal"))
				is.New(t).NoErr(err)
				next := strings.Replace(names[len(names)-1], "000"+string(rune('0'+len(names))), "000"+string(rune('1'+len(names))), 1)
				is.New(t).NoErr(os.WriteFile(next, nil, 0o600))
			}},
		{name: "crash before the prefix is removed", first: 21, count: 20,
			steps: func(t *testing.T, _ string, l *wal.Log) { is.New(t).NoErr(l.SaveSnapshot(snapshot(20, 1))) }},
		{name: "removed prefix", first: 21, count: 20,
			steps: func(t *testing.T, dir string, l *wal.Log) {
				is := is.New(t)
				is.NoErr(l.SaveSnapshot(snapshot(10, 1)))
				is.NoErr(l.SaveSnapshot(snapshot(20, 1)))
				is.NoErr(l.Compact(20))
				_, err := os.Stat(filepath.Join(dir, "0000000000000001.wal"))
				is.True(os.IsNotExist(err))
				names, err := filepath.Glob(filepath.Join(dir, "*.snap"))
				is.NoErr(err)
				is.Equal(len(names), 1)
			}},
		{name: "crash before the log is reset to an installed snapshot", count: 0,
			steps: func(t *testing.T, _ string, l *wal.Log) { is.New(t).NoErr(l.SaveSnapshot(snapshot(90, 3))) }},
		{name: "crash before a log of another term is reset", count: 0,
			steps: func(t *testing.T, _ string, l *wal.Log) { is.New(t).NoErr(l.SaveSnapshot(snapshot(20, 2))) }},
		{name: "installed snapshot", first: 91, count: 5,
			steps: func(t *testing.T, _ string, l *wal.Log) {
				is := is.New(t)
				is.NoErr(l.SaveSnapshot(snapshot(90, 3)))
				is.NoErr(l.Reset(90, 3))
				is.NoErr(l.Save(nil, entries(91, 95, 3)))
			}},
		{name: "corrupt snapshot", err: ".snap: offset 0",
			steps: func(t *testing.T, dir string, l *wal.Log) {
				is.New(t).NoErr(l.SaveSnapshot(snapshot(20, 1)))
				path := filepath.Join(dir, "snapshot-0000000000000014-0000000000000001.snap")
				is.New(t).NoErr(os.Truncate(path, 20))
			}},
		{name: "missing snapshot", err: "there is no snapshot",
			steps: func(t *testing.T, _ string, l *wal.Log) {
				is.New(t).NoErr(l.SaveSnapshot(snapshot(20, 1)))
				is.New(t).NoErr(l.Compact(20))
			},
			after: remove("snapshot-0000000000000014-0000000000000001.snap")},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			l, c := openLog(t, dir)
			is.True(c.Created && c.Empty())
			for i := uint64(1); i <= 40; i++ {
				is.NoErr(l.Save(&wal.HardState{Term: 1, Vote: "a", BootstrapVote: "p"}, entries(i, i, 1)))
			}
			if test.steps != nil {
				test.steps(t, dir, l)
			}
			is.NoErr(l.Close())
			if test.after != nil {
				test.after(t, dir, l)
			}
			l, c, err := wal.Open(wal.Options{Dir: dir, Host: "h", SegmentBytes: 600})
			if test.err != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), test.err))
				return
			}
			is.NoErr(err)
			first, ts := terms(c)
			is.Equal(first, test.first)
			is.Equal(len(ts), test.count)
			is.Equal(c.HardState, wal.HardState{Term: 1, Vote: "a", BootstrapVote: "p"})
			is.True(!c.Created && !c.Empty())
			last := uint64(0)
			if c.Snapshot != nil {
				last = c.Snapshot.Index
			}
			last += uint64(len(ts))
			is.NoErr(l.Save(nil, entries(last+1, last+1, 9))) // the log is still writable, also after another restart
			is.NoErr(l.Close())
			l, c = openLog(t, dir)
			_, ts = terms(c)
			is.Equal(ts[len(ts)-1], uint64(9))
			is.NoErr(l.Close())
		})
	}
}

// TestFolderOwner guards against two processes, or two hosts, that use one folder.
func TestFolderOwner(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "sub", "folder")
	l, c := openLog(t, dir)
	_, _, err := wal.Open(wal.Options{Dir: dir, Host: "h"})
	is.True(err != nil && strings.Contains(err.Error(), "in use"))
	is.NoErr(l.Close())
	is.True(l.Save(nil, entries(1, 1, 1)) != nil) // closed
	_, _, err = wal.Open(wal.Options{Dir: dir, Host: "other"})
	is.True(err != nil && strings.Contains(err.Error(), `belongs to host "h"`))
	l, again := openLog(t, dir)
	is.Equal(again.Identity, c.Identity)
	is.NoErr(l.Close())
	is.NoErr(os.RemoveAll(dir))
	l, again = openLog(t, dir)
	is.True(again.Identity.Incarnation != c.Identity.Incarnation)
	is.NoErr(l.Close())
}
