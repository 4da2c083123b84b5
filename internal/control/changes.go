package control

import (
	"github.com/cespare/xxhash/v2"
)

// keptChanges is how many change ids are remembered. At 3,200 changes a day
// this covers three days of resends.
const keptChanges = 10_000

// change is the first answer to one change id.
type change struct {
	ID     string `codec:"i"`
	Digest uint64 `codec:"d"` // of what was asked for
	Result Result `codec:"r"`
}

// changes remembers the first answers of the last change ids, oldest first.
// It is part of the replicated state and owned by the Machine.
type changes struct {
	order []change
	byID  map[string]change
}

func newChanges(order []change) *changes {
	c := &changes{order: order, byID: make(map[string]change, len(order))}
	for _, ch := range order {
		c.byID[ch.ID] = ch
	}
	return c
}

// first returns the first answer to the change id. A change id that was used
// for something else is refused, because the first answer would tell the
// operator that the new request was carried out.
func (c *changes) first(id string, digest uint64) (Result, bool) {
	ch, ok := c.byID[id]
	if !ok {
		return Result{}, false
	}
	if ch.Digest != digest {
		return refused("change id %q was already used for another change", id), true
	}
	return ch.Result, true
}

func (c *changes) add(id string, digest uint64, r Result) {
	ch := change{ID: id, Digest: digest, Result: r}
	c.order = append(c.order, ch)
	c.byID[id] = ch
	if len(c.order) > keptChanges {
		delete(c.byID, c.order[0].ID)
		c.order = c.order[1:]
	}
}

// digest identifies a request by its encoded arguments.
func digest(args any) uint64 { return xxhash.Sum64(encode(args)) }
