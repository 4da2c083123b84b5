package control

import "slices"

// part is a part of the state that changes on its own.
type part int

const (
	partServers part = iota
	partHosts
	partLeases
	partGroups
	partDraining
	partConfig
	parts // number of parts
)

// keptTouches is how many changes of single objects are remembered for
// watchers. The loss of a data centre with a ninth of 4,800 hosts and 30,000
// servers touches about 10,000 objects within seconds.
const keptTouches = 20_000

// touch is a change of one object.
type touch struct {
	index uint64 // of the log entry
	part  part
	id    string
}

// history remembers which objects the last log entries have changed, oldest
// first. It is not part of the replicated state: after a restore it starts
// anew, and watchers get the whole state once.
type history struct {
	floor uint64 // changes up to this version are forgotten
	list  []touch
}

func (h *history) add(t touch) {
	h.list = append(h.list, t)
	if len(h.list) > keptTouches {
		h.floor = h.list[0].index
		h.list = h.list[1:]
	}
}

// since returns the changes after a version, false if some are forgotten.
func (h *history) since(version uint64) ([]touch, bool) {
	if version < h.floor {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(h.list, version+1, func(t touch, v uint64) int {
		if t.index < v {
			return -1
		}
		return 1
	})
	return slices.Clone(h.list[at:]), true
}
