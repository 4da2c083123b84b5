package control

import "slices"

// statePart is a part of the state that is copied and reported separately.
type statePart int

const (
	partServers statePart = iota
	partHosts
	partLeases
	partGroups
	partDraining
	partConfig
	partCount // number of parts
)

// maxHistory is how many changes of single objects are kept for watchers. The
// loss of a data centre with a ninth of 4,800 hosts and 30,000 servers changes
// about 10,000 objects within seconds.
const maxHistory = 20_000

// objectChange is a change of one object.
type objectChange struct {
	index uint64 // of the log entry
	part  statePart
	id    string
}

// history records which objects the latest log entries have changed, oldest
// first. It is not part of the replicated state: it is empty after a restore,
// and watchers then get the whole state once.
type history struct {
	floor   uint64 // changes up to this version have been dropped
	changes []objectChange
}

func (h *history) add(c objectChange) {
	h.changes = append(h.changes, c)
	if len(h.changes) > maxHistory {
		h.floor = h.changes[0].index
		h.changes = h.changes[1:]
	}
}

// since returns the changes after a version, false if some of them have been
// dropped.
func (h *history) since(version uint64) ([]objectChange, bool) {
	if version < h.floor {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(h.changes, version+1, func(c objectChange, v uint64) int {
		if c.index < v {
			return -1
		}
		return 1
	})
	return slices.Clone(h.changes[at:]), true
}
