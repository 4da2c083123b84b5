package connector

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hosts is an immutable list of hosts, prepared for Choose.
type Hosts struct {
	all      []node
	byRegion map[string][]node
}

// node is a host with the hash of its id.
type node struct {
	id   string
	hash uint64
}

// weighted is a host with its weight for one key.
type weighted struct {
	node
	weight uint64
}

// NewHosts prepares a list of hosts.
func NewHosts(list []Host) *Hosts {
	h := &Hosts{byRegion: make(map[string][]node)}
	for _, host := range list {
		n := node{id: host.ID, hash: xxhash.Sum64String(host.ID)}
		h.all = append(h.all, n)
		h.byRegion[host.Region] = append(h.byRegion[host.Region], n)
	}
	return h
}

// Len returns the number of hosts.
func (h *Hosts) Len() int { return len(h.all) }

// Choose returns the connectors of a server. They are hosts of the server's region,
// or any hosts if the region has none.
func (h *Hosts) Choose(server, region string, usable int) Choice {
	candidates := h.byRegion[region]
	if len(candidates) == 0 {
		candidates = h.all
	}
	if len(candidates) == 0 {
		return Choice{}
	}
	k := count(usable, len(candidates))
	c := Choice{Limit: usable / k, hosts: highest(candidates, keyHash(server), k)}
	slices.SortFunc(c.hosts, func(a, b node) int { return cmp.Compare(a.id, b.id) })
	return c
}

// highest returns the n candidates with the highest weights for a key.
func highest(candidates []node, key uint64, n int) []node {
	if n >= len(candidates) {
		return slices.Clone(candidates)
	}
	top := make([]weighted, 0, n+1) // in descending order
	for _, c := range candidates {
		w := weighted{c, weight(key, c.hash)}
		if len(top) == n && compareWeighted(w, top[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, w, compareWeighted)
		top = slices.Insert(top, at, w)
		top = top[:min(len(top), n)]
	}
	out := make([]node, len(top))
	for i, w := range top {
		out[i] = w.node
	}
	return out
}

// compareWeighted orders by descending weight, then by id.
func compareWeighted(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
}

// weight returns the weight of a host for a key.
func weight(key, host uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], host)
	return xxhash.Sum64(b[:])
}

// keyHash returns the hash of the parts of a key. A part ends with a zero byte, so
// that ("a", "bc") and ("ab", "c") differ.
func keyHash(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
