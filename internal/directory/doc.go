// Package directory is the control plane for database groups whose backend
// servers announce their roles and are promoted by an external service. Its
// clients are the entry hosts that run package gateway. Package control is its
// counterpart for deployments in which each backend server has one owner.
//
// # Replicated state
//
// Machine holds the configuration in force, the backend servers and the
// primary of each group. Every change goes through the replicated log, so an
// acknowledged configuration or removal is as durable as the log.
//
// # Leases
//
// Every entry host holds one lease, which the leader renews with each reply to
// Sync. While the lease is valid, the host may use the primaries named in its
// newest state. Before another server is promoted, the leader logs the group as
// switching and waits until every host has either confirmed that state, with
// its statements at the old primary finished or aborted, or lost its lease. A
// new leader does not know the leases that its predecessor granted and waits
// for a full TTL, extended by the clock drift.
//
// # Changes and reports
//
// The reply to Sync carries the objects that changed since the version of the host,
// encoded once for all hosts of that version. A host that starts gets a whole state,
// which is kept encoded, and the changes since. Changes of groups and of the
// configuration are sent at once; others are collected. A host reports only on groups
// that switch, whose primary it fails to reach, or that the leader asks about because
// another host fails to reach their primary.
//
// # Switchover
//
// A switchover is planned if the primary is leaving or some hosts can't reach
// it: the new primary must first have received every log position that a host
// has seen. It is forced if the primary is lost or acts as a replica: the most
// advanced replica is promoted. The target is logged before it is promoted, so
// that the next leader continues with the same one. Positions that a crashed or
// silent host did not report are unknown: a planned switchover then needs an answer of
// the old primary, until another primary has been named.
//
// # Promotions
//
// A promotion that was requested may have taken effect, whatever came of the request. The
// replicated group therefore holds three things. Term is that of the recorded primary: a
// server counts as promoted only in a later one. Asked holds the servers whose promotion was
// requested since: while there are any, the recorded primary is used again only after a
// promotion of its own. Starts holds where the recent terms began: a log with commits beyond
// them was rolled back and does not lead again.
//
// # Usage
//
//	d := directory.New(directory.Options{Members: members, Promote: promote, SyncReplicas: replicas, Control: addresses})
//	node, err := consensus.Start(consensus.Options{Apply: d.Apply, ...})
//	d.Start(log)
//	srv.Register("Directory", d.Service())
package directory
