package directory

import (
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// maxTermStarts bounds the terms of a group whose start is kept.
const maxTermStarts = 8

// lineage decides which logs the log of the recorded primary continues. The term of a
// position is that of the last commit, so a log ends in an earlier term until it has
// received the first commit of the recorded one.
//
// When a server is promoted, commits of earlier terms beyond its log are rolled back. A log
// that still has some of them must never lead again: what was read meanwhile would lack
// them.
type lineage struct {
	term   uint64 // of the recorded primary; 0 if it is not known
	starts []directoryrpc.TermStart
}

// bound returns the number of commits of terms up to the given one that are still in force,
// and whether it is known.
func (l lineage) bound(term uint64) (lsn uint64, known bool) {
	for _, s := range l.starts {
		if s.Term > term && (!known || s.LSN < lsn) {
			lsn, known = s.LSN, true
		}
	}
	return lsn, known
}

// holds reports whether a log has no commit that was rolled back. If the start of the
// recorded term is not known, the log of a server that follows that term counts.
func (l lineage) holds(st statement.ServerStatus) bool {
	if st.Received.Term >= l.term {
		return true
	}
	bound, known := l.bound(st.Received.Term)
	if !known {
		return st.Term >= l.term
	}
	return st.Received.LSN <= bound
}

// follows reports whether a server has had contact with a primary of the recorded term.
func (l lineage) follows(st statement.ServerStatus) bool {
	return max(st.Term, st.Received.Term) >= l.term
}

// includes reports whether a log that holds includes every commit up to the required
// position that is still in force.
func (l lineage) includes(received, required logpos.Position) bool {
	lsn := required.LSN
	if required.Term < l.term {
		bound, known := l.bound(required.Term)
		if !known {
			return true // no commit of the recorded term is known
		}
		lsn = min(lsn, bound)
	}
	return received.LSN >= lsn
}

// startTerm returns starts with that of a new term. An earlier start that does not lie
// before the new one bounds nothing any more.
func startTerm(starts []directoryrpc.TermStart, term, lsn uint64) []directoryrpc.TermStart {
	var next []directoryrpc.TermStart
	for _, s := range starts {
		if s.LSN < lsn {
			next = append(next, s)
		}
	}
	next = append(next, directoryrpc.TermStart{Term: term, LSN: lsn})
	if len(next) > maxTermStarts {
		// The second start stands for the first one too, with the lower bound of both.
		next[1].LSN = next[0].LSN
		next = next[1:]
	}
	return next
}
