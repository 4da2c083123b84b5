package connector

import (
	"cmp"
	"slices"
)

// Choice is the connectors of one server.
type Choice struct {
	Limit int    // connections that each connector may open
	hosts []node // ordered by id
}

// Hosts returns the ids of the connectors in alphabetical order.
func (c Choice) Hosts() []string {
	ids := make([]string, len(c.hosts))
	for i, n := range c.hosts {
		ids[i] = n.id
	}
	return ids
}

// LimitOf returns the number of connections that a host may open; 0 if it is no
// connector.
func (c Choice) LimitOf(host string) int {
	_, ok := slices.BinarySearchFunc(c.hosts, host, func(n node, id string) int { return cmp.Compare(n.id, id) })
	if !ok {
		return 0
	}
	return c.Limit
}

// Order returns the ids of the connectors in the order in which a sender tries
// them. The key without customers is the own host and the region of the server, so
// that a host needs few peers. With customers it is the customer and the server, so
// that few connectors hold connections of one customer.
func (c Choice) Order(key ...string) []string {
	hash := keyHash(key...)
	list := make([]weighted, len(c.hosts))
	for i, n := range c.hosts {
		list[i] = weighted{n, weight(hash, n.hash)}
	}
	slices.SortFunc(list, compareWeighted)
	ids := make([]string, len(list))
	for i, w := range list {
		ids[i] = w.id
	}
	return ids
}
