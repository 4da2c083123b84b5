// Package control decides the configuration, the primary of each database
// group and the owner of each backend server, and serves these decisions to
// the entry hosts.
//
// # Parts
//
// Machine is the replicated state. It changes only through commands of the
// replicated log, and every command states what it expects to find, so a
// command that is repeated, or that an old leader proposed, changes nothing.
// Everything else runs on the leader only and works from the Machine:
// Sessions (host sessions, in memory), Assigner (owner leases), Failover
// (primaries), Followers (replication sources) and Service (the rpc methods).
// Control connects them with each other and with the log.
//
// # Safety
//
// Two rules keep two owners from acting at once. Both are logged before they
// are carried out, so a new leader continues where the old one stopped.
//
//   - A lease moves in three steps: it is logged as revoking, from which
//     moment no heartbeat reply grants it; its holder confirms that it has let
//     go, or the last reply that may have granted it has run out; the new
//     owner is logged.
//   - A primary changes likewise: the next term is logged in phase fencing,
//     from which moment no heartbeat reply grants the primary role; a majority
//     of the members is fenced; the old owner confirms, or runs out; the chosen
//     member is promoted; the new primary is logged.
//
// Each attempt to name a primary has a term of its own, also when it repeats
// an attempt that did not finish. Two members are therefore never promoted at
// the same term, even if a deposed leader is still at work.
//
// # Members
//
// The declared number of members is taken from the configuration. A group is
// waiting until as many servers have announced themselves, and keeps these
// members from then on. A server joins, leaves or is replaced only in a
// planned change of the primary: all acknowledgements stop, the old members are
// fenced, and the new members are logged together with the primary if a
// majority of them has received what the chosen member had when it was fenced.
// A member that is gone without a departing announcement is replaced once an
// operator drains it.
//
// # What the owners must do
//
// An owner acts on a lease only as the newest heartbeat reply says, counts the
// ttl from before it called Heartbeat, and drops what Owner.Revoke names. The
// majority that it waits for is that of Group.Members at exactly the term of
// its role: while its state shows another term of the group, it acknowledges
// nothing, because the members may have changed with the term.
//
// # Usage
//
//	ctl := control.New(control.Options{Members: members, Revoke: owner.Revoke, Log: log})
//	node := consensus.New(consensus.Options{Apply: ctl.Apply, Snapshot: ctl.Snapshot,
//		Restore: ctl.Restore, OnLeader: ctl.OnLeader})
//	ctl.Start(control.Log{Propose: node.Propose, ...})
//	err := server.Register("Control", ctl.Service())
//	defer ctl.Stop(ctx)
package control
