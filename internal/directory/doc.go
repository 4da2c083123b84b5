// Package directory is the control side for database groups whose backend
// servers announce their roles and are promoted by an outside service.
//
// # Replicated state
//
// Machine holds the configuration in force, the backend servers and the
// primary of each group. Every change passes the replicated log, so an
// acknowledged configuration or departure survives as long as the log does.
//
// # Leases
//
// Every entry host holds one lease, which the leader renews with each answer
// to Sync. Under it the host may use the primaries of its newest state. Before
// another server is promoted, the leader logs the group as switching and waits
// until every host has confirmed that state, with everything in progress
// finished or cut off, or until its lease has run out. A new leader does not
// know the leases of its predecessor and waits for a whole ttl.
//
// # Changes of a primary
//
// A change is planned if the primary is leaving or some hosts can't reach it:
// then the successor must first hold every position that a host has seen. It
// is forced if the primary is gone: then the most advanced replica is taken.
// The target is logged before it is promoted, so that the next leader goes on
// with the same one.
//
// # Usage
//
//	d := directory.New(directory.Options{Members: members, Promote: promote, Check: check})
//	node, err := consensus.Start(consensus.Options{Apply: d.Apply, ...})
//	d.Start(log)
//	srv.Register("Directory", d.Service())
package directory
