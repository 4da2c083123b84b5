// Package owner executes cycles on the backend servers that an entry host
// owns by lease. A cycle is one Query message, or the extended-protocol
// messages up to and including Sync; it is answered as a whole.
//
// Every backend server has one owner at a time, so the owner sees the whole
// queue of the server and holds all of its connections. For each server the
// package keeps a scheduler (slots and a queue for each traffic rank), a
// connection pool, the open transactions, and a monitor that reads the status
// of the server and the positions of its replicas.
//
// # Stages of a cycle
//
// A cycle is recorded under its request id, so a repeated request joins the
// execution in progress or gets the stored answer. The cycle then waits for
// the required position, for a permit if it may open a transaction, and for a
// slot. Lease, role, term and drain state are checked immediately before the
// cycle is sent, so a refused request was never sent. A cycle that may have
// committed a write releases its slot and connection and waits until a
// majority of the group has received the position. Lease and term are checked
// again before the answer, under the lock that a revocation takes.
//
// # Leases
//
// New work needs a lease that the newest heartbeat reply lists and that has
// not expired. When a lease or the primary role moves as planned, work in
// progress may finish until the expiry that the last reply granted; a
// revocation waits for it for at most Limits.RevokeGrace and then ends it.
// Control assigns a lease or role to another host only after that expiry or
// after the revocation was confirmed. A commit whose lease expires while it
// waits is answered with an unknown outcome, however late the waiting
// goroutine is scheduled.
//
// # Answers
//
// Every answer has exactly one kind. A kind whose outcome is not_run is given
// only if nothing was sent, or if the server provably refused (SQLSTATE
// 25006) or rolled back. Any uncertain outcome is errkind.OutcomeUnknown.
//
// # Concurrency
//
// The lock order is
//
//	Owner.mu, server.mu, and then at most one of
//	leaseTable.mu, Scheduler.mu, pool.mu, monitor.mu, outcomeStore.mu,
//	entryTable.mu, tokenTable.mu, permits.mu
//
// The locks of the last group are leaf locks: no other lock is taken while one
// is held. No lock is held during a call to a Conn or to Options.Connect.
//
// # Usage
//
//	o := owner.New(owner.Options{Host: "host-1", Connect: connect, Logger: log, Registry: reg})
//	go o.Run(ctx)
//	srv.Register("Owner", o.Service())
//	o.SetState(state, cfg)           // after every state change
//	o.SetLeases(sentAt, reply)       // after every heartbeat
//	args.Suspects = o.Suspects()     // for the next heartbeat
//	err := o.Drain(ctx)              // planned stop
package owner
