package wal_test

import (
	"os"
	"slices"
	"testing"

	"github.com/arbutusring/arbutusring/internal/wal"
	"pgregory.net/rapid"
)

// TestModel guards against an order of writes, truncations, snapshots and
// restarts after which Open returns another log than the one that was written.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "wal")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		var base, term, snapshot uint64 // of the model; snapshot is 0 for none
		var model []uint64              // terms of the entries after base
		l, _, err := wal.Open(wal.Options{Dir: dir, Host: "h", SegmentBytes: 300})
		check := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		check(err)
		defer func() { _ = l.Close() }()
		term = 1
		last := func() uint64 { return base + uint64(len(model)) }
		t.Repeat(map[string]func(*rapid.T){
			"save": func(t *rapid.T) {
				from := rapid.Uint64Range(max(base, snapshot)+1, last()+1).Draw(t, "from")
				count := rapid.Uint64Range(1, 6).Draw(t, "count")
				if from <= last() {
					term++
				}
				check(l.Save(&wal.HardState{Term: term}, entries(from, from+count-1, term)))
				model = append(model[:from-1-base:from-1-base], slices.Repeat([]uint64{term}, int(count))...)
			},
			"snapshot": func(t *rapid.T) {
				if last() <= snapshot {
					t.Skip("nothing new")
				}
				snapshot = rapid.Uint64Range(snapshot+1, last()).Draw(t, "index")
				check(l.SaveSnapshot(&wal.Snapshot{Index: snapshot, Term: model[snapshot-1-base]}))
				if rapid.Bool().Draw(t, "compact") {
					check(l.Compact(snapshot))
				}
			},
			"install": func(t *rapid.T) {
				term++
				snapshot = last() + rapid.Uint64Range(1, 9).Draw(t, "ahead")
				check(l.SaveSnapshot(&wal.Snapshot{Index: snapshot, Term: term}))
				if rapid.Bool().Draw(t, "reset") {
					check(l.Save(&wal.HardState{Term: term}, nil))
					check(l.Reset(snapshot, term))
					base, model = snapshot, nil
					return
				}
				check(l.Close()) // crash between the snapshot and the reset
				base, model = snapshot, nil
				l, _, err = wal.Open(wal.Options{Dir: dir, Host: "h", SegmentBytes: 300})
				check(err)
			},
			"restart": func(t *rapid.T) {
				check(l.Close())
				var c *wal.Contents
				l, c, err = wal.Open(wal.Options{Dir: dir, Host: "h", SegmentBytes: 300})
				check(err)
				_, got := terms(c)
				if want := model[max(base, snapshot)-base:]; !slices.Equal(got, want) {
					t.Fatalf("terms are %v, want %v", got, want)
				}
				if (c.Snapshot == nil) != (snapshot == 0) || c.Snapshot != nil && c.Snapshot.Index != snapshot {
					t.Fatalf("snapshot is %+v, want index %d", c.Snapshot, snapshot)
				}
				model = model[max(base, snapshot)-base:]
				base = max(base, snapshot)
			},
		})
	})
}
