package consensus

import "github.com/arbutusring/arbutusring/internal/wal"

// memoryLog holds the log entries after the entry (base, baseTerm).
type memoryLog struct {
	base     uint64
	baseTerm uint64
	entries  []wal.Entry
	unstable uint64 // first index not yet returned in Output.Entries
}

func (l *memoryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index i, if it is known.
func (l *memoryLog) term(i uint64) (uint64, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// entriesFrom returns the entries from index lo, limited to maxEntries and
// maxBytes, but at least one. The result shares memory with the log and must
// not be changed.
func (l *memoryLog) entriesFrom(lo uint64, maxEntries, maxBytes int) []wal.Entry {
	if lo <= l.base || lo > l.lastIndex() {
		return nil
	}
	entries := l.entries[lo-l.base-1:]
	n, size := 0, 0
	for n < len(entries) && n < maxEntries {
		size += len(entries[n].Data)
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	return entries[:n:n]
}

// replace stores the entry at its index and drops all later ones. It copies the
// entries instead of overwriting one, because callers of entriesFrom share
// memory with the log.
func (l *memoryLog) replace(e wal.Entry) {
	if e.Index == l.lastIndex()+1 {
		l.append(e)
		return
	}
	keep := e.Index - l.base - 1
	l.entries = append(l.entries[:keep:keep], e)
	l.unstable = min(l.unstable, e.Index)
}

func (l *memoryLog) append(e wal.Entry) { l.entries = append(l.entries, e) }

// compact drops the entries up to index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.base || index > l.lastIndex() {
		return
	}
	l.baseTerm, _ = l.term(index)
	l.entries = append([]wal.Entry(nil), l.entries[index-l.base:]...)
	l.base = index
}

func (l *memoryLog) reset(index, term uint64) {
	*l = memoryLog{base: index, baseTerm: term, unstable: index + 1}
}

// findTerm returns the greatest index up to i whose term is at most t, and
// its term. With it both sides skip whole terms when their logs differ.
func (l *memoryLog) findTerm(i, t uint64) (uint64, uint64) {
	i = min(i, l.lastIndex())
	for i > l.base {
		if term, _ := l.term(i); term <= t {
			return i, term
		}
		i--
	}
	return l.base, l.baseTerm
}
