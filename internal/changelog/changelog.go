// Package changelog records which objects of a replicated state the latest log
// entries have changed, so that a host that has an earlier version is sent only
// those. It is not part of the replicated state: it is empty after a restore, and
// hosts then get the whole state once.
//
// # Usage
//
//	log := changelog.New[string](1000, restoredVersion)
//	log.Add(index, "server a")
//	if log.Knows(version) {
//		ids := log.Since(version)
//	} // otherwise the whole state has to be sent
package changelog

import "slices"

// Log holds the latest changes, oldest first. It is not safe for concurrent use.
type Log[K any] struct {
	limit   int
	floor   uint64 // changes up to this version are not known
	changes []change[K]
}

// change is a change of one object.
type change[K any] struct {
	index uint64 // of the log entry
	key   K
}

// New returns a log that keeps limit changes and knows those after version.
func New[K any](limit int, version uint64) Log[K] { return Log[K]{limit: limit, floor: version} }

// Add records that the log entry with the given index, which is not lower than
// that of the last call, changed an object.
func (l *Log[K]) Add(index uint64, key K) {
	l.changes = append(l.changes, change[K]{index, key})
	if len(l.changes) > l.limit {
		l.floor = l.changes[0].index
		l.changes = l.changes[1:]
	}
}

// Knows reports whether all changes after version are known.
func (l *Log[K]) Knows(version uint64) bool { return version >= l.floor }

// Since returns the known objects that were changed after version, in the order of
// their changes.
func (l *Log[K]) Since(version uint64) []K {
	changes := l.after(version)
	out := make([]K, 0, len(changes))
	for _, c := range changes {
		out = append(out, c.key)
	}
	return out
}

// Count returns the number of known changes after version.
func (l *Log[K]) Count(version uint64) int { return len(l.after(version)) }

func (l *Log[K]) after(version uint64) []change[K] {
	at, _ := slices.BinarySearchFunc(l.changes, version+1, func(c change[K], v uint64) int {
		if c.index < v {
			return -1
		}
		return 1
	})
	return l.changes[at:]
}
