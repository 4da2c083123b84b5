package directory_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestLineage guards against logs that are taken for a part of the present one although
// they have rolled back commits, or for complete although they lack some.
func TestLineage(t *testing.T) {
	starts := []directoryrpc.TermStart{{Term: 2, LSN: 100}, {Term: 4, LSN: 150}}
	tests := []struct {
		name            string
		starts          []directoryrpc.TermStart
		term            uint64
		received        logpos.Position
		required        logpos.Position
		holds, includes bool
	}{
		{"the recorded term", starts, 4, pos(4, 160), pos(4, 155), true, true},
		{"lacks commits of the recorded term", starts, 4, pos(4, 154), pos(4, 155), true, false},
		{"no commit of the recorded term yet", starts, 4, pos(2, 150), pos(2, 150), true, true},
		{"rolled back by the last promotion", starts, 1, pos(2, 151), pos(4, 150), false, true},
		{"rolled back by an earlier promotion", starts, 1, pos(1, 101), pos(4, 155), false, false},
		{"of the first term, behind", starts, 1, pos(1, 100), pos(4, 155), true, false},
		{"the required commit was rolled back", starts, 4, pos(2, 150), pos(2, 170), true, true},
		{"start not known, follows the term", nil, 4, pos(2, 170), pos(2, 170), true, true},
		{"start not known, does not follow it", nil, 1, pos(1, 50), pos(2, 170), false, true},
		{"no term is known", nil, 0, pos(1, 50), pos(1, 60), true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			recorded := uint64(4)
			if test.term == 0 {
				recorded = 0
			}
			l := directory.NewLineage(recorded, test.starts)
			is.Equal(l.Holds(statement.ServerStatus{Term: test.term, Received: test.received}), test.holds)
			is.Equal(l.Includes(test.received, test.required), test.includes)
		})
	}
}

// TestTermStarts guards against a bound of an earlier term that is lost or raised when
// starts are merged: a log with rolled back commits would count.
func TestTermStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all, kept []directoryrpc.TermStart
		for term := uint64(2); term < uint64(rapid.IntRange(3, 40).Draw(t, "terms")); term++ {
			lsn := uint64(rapid.IntRange(0, 50).Draw(t, "lsn"))
			all = append(all, directoryrpc.TermStart{Term: term, LSN: lsn})
			kept = directory.StartTerm(kept, term, lsn)
		}
		if len(all) == 0 {
			return
		}
		last := all[len(all)-1].Term
		for term := range last {
			for lsn := range uint64(52) {
				st := statement.ServerStatus{Term: term, Received: pos(term, lsn)}
				held := directory.NewLineage(last, kept).Holds(st)
				if held && !directory.NewLineage(last, all).Holds(st) {
					t.Fatalf("a log at %v counts with %v, not with %v", st.Received, kept, all)
				}
				if !held && len(all) <= 8 && directory.NewLineage(last, all).Holds(st) {
					t.Fatalf("a log at %v does not count with %v, but with %v", st.Received, kept, all)
				}
			}
		}
	})
}
