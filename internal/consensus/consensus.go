// Package consensus is the replicated log of the control hosts.
//
// # Parts
//
// Machine is the protocol as a pure state machine: it opens no files and no
// sockets, starts no goroutines and reads no clock. Time comes in as an
// argument; what has to be written, applied and sent comes out as an Output.
// Node drives one Machine with the files of internal/wal, a transport and the
// runtime clock.
//
// # Protocol
//
// The protocol is Raft with pre-vote, leader stickiness, check-quorum,
// learners, single-server membership changes, snapshots sent in chunks, read
// leases and leadership transfer. These rules differ from the published
// algorithm:
//
//   - Members are identified by (id, incarnation). A host whose data folder was
//     lost returns with a new incarnation, and a quorum counts only the
//     incarnations that the membership lists.
//   - A host with an empty log never grants a vote.
//   - A host refuses votes for the minimum election timeout after its last
//     contact with a leader, and for the same time after its own start. The
//     read lease depends on it: the lease starts when the leader sent the
//     messages that a quorum answered, and lasts 90% of the minimum election
//     timeout. Clock rates may therefore differ by 10%. The clock must advance
//     while a process is stopped; a virtual machine that is suspended and
//     resumed with its old clock violates this.
//   - A host repeats its requests for votes until its election ends, and a host that
//     grants a pre-vote puts its own next election off, once.
//   - A leader that asks another host to take over gives up its lease for the
//     rest of its term, because the request may arrive late.
//
// # Bootstrap
//
// The first membership names incarnations, which are random. The bootstrap
// member with the lowest id is the coordinator: it creates the first
// membership, as log entry 1, once every bootstrap member has replied from an
// empty data folder. Before it replies, a member durably votes for one
// incarnation of the coordinator, so there is only one first membership. A
// host that loses its disk afterwards has a new incarnation that does not
// belong to the membership; it is added as a learner, even if bootstrap is
// still set.
//
// # Joining
//
// A host that no leader contacts asks to be added: one whose log is empty, and one
// that was removed from the membership. It sends hello messages to its seeds, which
// need not include the leader, to the members in its log, and to the hosts that it
// learns of: every member that it asks names the members, and members still send
// messages to the incarnation that it had before it lost its disk. The leader lists
// it in Status.Joining; the driver of the membership adds it.
//
// # Usage
//
//	node, err := consensus.Start(consensus.Options{
//		ID: "c1", Address: "127.0.0.1:7001", Dir: dir, Bootstrap: members,
//		Send: send, Apply: apply, Snapshot: snapshot, Restore: restore,
//	})
//	result, err := node.Propose(ctx, command)
//	err = node.ReadBarrier(ctx) // then read the applied state
//	err = node.Stop(ctx)
package consensus

import "github.com/zeebo/errs"

// Error is the class of this package's errors that have no errkind.Kind.
var Error = errs.Class("consensus")
