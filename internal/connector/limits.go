package connector

const (
	// Reserved is the number of connections of each server that are left to the
	// directory.
	Reserved = 2
	// minPerConnector is the number of connections that each connector gets at
	// least, if the server has that many. With one only, an open transaction at a
	// connector would block all other statements there.
	minPerConnector = 2
)

// Usable returns the connections of a server that hosts may open together.
func Usable(maxConnections int) int { return max(1, maxConnections-Reserved) }

// Applies reports whether connectors are used for a server: it has fewer usable
// connections than there are hosts, or its connections serve one customer each.
func Applies(usable, hosts int, customers bool) bool { return customers || usable < hosts }

// count returns the number of connectors of a server in a region with the given
// number of hosts.
func count(usable, hosts int) int { return max(1, min(hosts, usable/minPerConnector)) }
