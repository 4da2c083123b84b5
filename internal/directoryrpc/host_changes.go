package directoryrpc

import (
	"maps"
	"slices"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// HostChanges is the difference between two versions of the list of hosts with a
// lease, or the whole list. A version is a digest of the list, so that it stays the
// same when another leader sends an equal list.
type HostChanges struct {
	Since   uint64   `codec:"i"` // version that the changes apply to; 0 for the whole list
	Version uint64   `codec:"v"`
	Put     []Host   `codec:"p"`
	Removed []string `codec:"r"`
}

// Merge returns the list after the changes. It does not modify old, whose version is
// given.
func (c *HostChanges) Merge(old map[string]Host, version uint64) (map[string]Host, error) {
	next := make(map[string]Host, len(old)+len(c.Put))
	if c.Since != 0 {
		if c.Since != version {
			return old, errkind.New(errkind.Conflict, "changes of hosts since %x do not apply to %x", c.Since, version)
		}
		maps.Copy(next, old)
	}
	for _, h := range c.Put {
		next[h.ID] = h
	}
	for _, id := range c.Removed {
		delete(next, id)
	}
	return next, nil
}

// SortedHosts returns the hosts of a list in the order of their ids.
func SortedHosts(list map[string]Host) []Host {
	out := make([]Host, 0, len(list))
	for _, id := range slices.Sorted(maps.Keys(list)) {
		out = append(out, list[id])
	}
	return out
}
