package control

import (
	"github.com/cespare/xxhash/v2"
)

// maxChanges is how many change ids are kept. At 3,200 changes a day this
// recognizes resends for three days.
const maxChanges = 10_000

// change is the first answer to a change id.
type change struct {
	ID     string `codec:"i"`
	Digest uint64 `codec:"d"` // of the request
	Result Result `codec:"r"`
}

// changes holds the first answers to the most recent change ids, oldest first.
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

// firstAnswer returns the first answer to the change id, and whether the change
// id was used before. One that was used for a different request is refused,
// because its first answer would wrongly report to the operator that the new request
// was carried out.
func (c *changes) firstAnswer(id string, digest uint64) (Result, bool) {
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
	if len(c.order) > maxChanges {
		delete(c.byID, c.order[0].ID)
		c.order = c.order[1:]
	}
}

// digest returns a hash of the encoded arguments, which identifies a request.
func digest(args any) uint64 { return xxhash.Sum64(encode(args)) }
