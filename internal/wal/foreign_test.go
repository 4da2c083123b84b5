package wal_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/wal"
	"github.com/matryer/is"
)

// TestForeignFile guards against a file that is obeyed although it is not the one that
// its name promises: renamed, copied from elsewhere, or with bytes after its end.
func TestForeignFile(t *testing.T) {
	segment := func(dir string, n string) string { return filepath.Join(dir, "000000000000000"+n+".wal") }
	rename := func(from, to func(dir string) string) func(is *is.I, dir string) {
		return func(is *is.I, dir string) { is.NoErr(os.Rename(from(dir), to(dir))) }
	}
	snapshot := func(index string) func(dir string) string {
		return func(dir string) string {
			return filepath.Join(dir, "snapshot-000000000000000"+index+"-0000000000000001.snap")
		}
	}
	for name, damage := range map[string]func(is *is.I, dir string){
		"snapshot of another index": rename(snapshot("2"), snapshot("3")),
		"snapshot of another term": rename(snapshot("2"), func(dir string) string {
			return filepath.Join(dir, "snapshot-0000000000000002-0000000000000002.snap")
		}),
		"snapshot with bytes after it": func(is *is.I, dir string) { appendTo(is, snapshot("2")(dir), "x") },
		"snapshot in two copies": func(is *is.I, dir string) {
			b, err := os.ReadFile(snapshot("2")(dir))
			is.NoErr(err)
			appendTo(is, snapshot("2")(dir), string(b))
		},
		"snapshot as segment": func(is *is.I, dir string) {
			b, err := os.ReadFile(snapshot("2")(dir))
			is.NoErr(err)
			is.NoErr(os.WriteFile(segment(dir, "2"), b, 0o600))
		},
		"segment of another number": func(is *is.I, dir string) {
			b, err := os.ReadFile(segment(dir, "1"))
			is.NoErr(err)
			is.NoErr(os.WriteFile(segment(dir, "2"), b, 0o600))
		},
		"records without the segment's": func(is *is.I, dir string) {
			b, err := wal.EncodeEntries(entries(3, 4, 7))
			is.NoErr(err)
			is.NoErr(os.WriteFile(segment(dir, "2"), b, 0o600))
		},
		"copy under a longer name": rename(func(dir string) string { return segment(dir, "1") }, func(dir string) string { return segment(dir, "1") + ".wal" }),
		"shorter name":             rename(func(dir string) string { return segment(dir, "1") }, func(dir string) string { return filepath.Join(dir, "1.wal") }),
		"identity of another host": func(is *is.I, dir string) {
			path := filepath.Join(dir, "identity.json")
			b, err := os.ReadFile(path)
			is.NoErr(err)
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(string(b), `"h"`, `"i"`, 1)), 0o600))
		},
		"identity with bytes after it": func(is *is.I, dir string) { appendTo(is, filepath.Join(dir, "identity.json"), "{}") },
		"identity cut": func(is *is.I, dir string) {
			is.NoErr(os.Truncate(filepath.Join(dir, "identity.json"), 20))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			l, _ := openLog(t, dir)
			is.NoErr(l.Save(&wal.HardState{Term: 1, Vote: "a"}, entries(1, 4, 1)))
			is.NoErr(l.SaveSnapshot(&wal.Snapshot{Index: 2, Term: 1, Members: []byte("m"), Data: []byte("d")}))
			is.NoErr(l.Close())
			damage(is, dir)
			l, _, err := wal.Open(wal.Options{Dir: dir, Host: "h", SegmentBytes: 600})
			if err == nil {
				is.NoErr(l.Close())
			}
			is.True(err != nil)
		})
	}
}

func appendTo(is *is.I, path, text string) {
	is.Helper()
	b, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, append(b, text...), 0o600))
}
