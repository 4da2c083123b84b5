// Package control decides the configuration, the primary of each database
// group and the owner of each backend server, and serves these decisions to
// the entry hosts, which run package owner.
//
// # Parts
//
// Machine is the replicated state. It changes only through commands of the
// replicated log, and every command states what it expects to find, so a
// command that is repeated, or that an old leader proposed, changes nothing.
// All other parts run only on the leader and read the Machine:
// Sessions (host sessions, in memory), Assigner (owner leases), Failover
// (primaries), Followers (replication sources) and Service (the rpc methods).
// Control connects them to each other and to the log.
//
// # Safety
//
// Two rules prevent two owners from acting at the same time. The start of each
// move is logged before it is carried out, so a new leader continues where the
// old one stopped.
//
//   - A lease moves in three steps: it is logged as revoking, after which no
//     heartbeat reply grants it; its holder confirms the release, or the last
//     grant that it may have received expires; the new owner is logged.
//   - A primary changes likewise: the next term is logged in phase fencing,
//     after which no heartbeat reply grants the primary role; a majority of the
//     members is fenced; the old owner confirms the release, or its last grant
//     expires; the chosen member is promoted; the new primary is logged.
//
// Each attempt to name a primary uses a new term, also when it repeats an
// attempt that did not finish. Two members are therefore never promoted at the
// same term, even if a deposed leader is still running an attempt.
//
// # Members
//
// The configuration declares the number of members of a group. A group is in
// phase waiting until that many servers have announced themselves, and keeps
// these members from then on. A server joins, leaves or is replaced only in a
// planned change of the primary: all acknowledgements stop, the old members are
// fenced, and the new members are logged together with the primary if a
// majority of them has received what the chosen member had when it was fenced.
// A member that disappears without announcing its departure is replaced once
// an operator drains it.
//
// # What the owners must do
//
// An owner acts only on the leases in the newest heartbeat reply, counts the
// TTL from before it called Heartbeat, and gives up the leases and roles that
// Owner.Revoke names. It acknowledges a write once a majority of Group.Members
// has it, at exactly the term of its role: while its copy of the state shows
// another term of the group, it acknowledges nothing, because the members may
// have changed with the term.
//
// # Usage
//
//	ctl := control.New(control.Options{Members: members, Revoke: owner.Revoke, Log: log})
//	node, err := consensus.Start(consensus.Options{Apply: ctl.Apply, Snapshot: ctl.Snapshot,
//		Restore: ctl.Restore, OnLeader: ctl.OnLeader})
//	ctl.Start(control.Log{Propose: node.Propose, ...})
//	err = server.Register("Control", ctl.Service())
//	defer ctl.Stop(ctx)
package control
