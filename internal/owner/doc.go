// Package owner executes cycles on the backend servers that an entry host
// owns by lease.
//
// Every backend server has one owner at a time, so the owner sees the whole
// queue of the server and holds all of its connections. For each server the
// package keeps a scheduler (slots and a queue for each traffic rank), a
// connection pool, the open transactions, and a monitor that reads the status
// of the server and the positions of its replicas.
//
// # What a cycle passes
//
// A cycle is recorded by its request id, which makes a repeated request join
// or repeat the first answer. It then waits for the required position, for a
// permit if it may open a transaction, and for a slot. Lease, role, term and
// drain are checked when the cycle is about to be sent, so a request that was
// refused was never sent. A cycle that may have committed a write gives its
// slot and connection back and waits until a majority of the group has
// received the position. Lease and term are checked once more, under the lock
// that a revocation takes, at the moment of the answer.
//
// # Leases
//
// New work needs a lease that the newest heartbeat reply lists and whose time
// has not passed. Work in progress may still finish when a lease or the
// primary role moves as planned, within the time of the last listing; a
// revocation waits for it for a short time and then ends it. Control hands a
// lease or role on only after either. A commit whose time passes while it
// waits is answered as unknown, however late the waiting goroutine runs.
//
// # Answers
//
// Every answer has exactly one kind. A kind whose outcome is not_run is given
// only if nothing was sent, or if the server provably refused (SQLSTATE
// 25006) or rolled back. Every doubt becomes errkind.OutcomeUnknown.
//
// # Concurrency
//
// The lock order is
//
//	Owner.mu, server.mu, and then at most one of
//	leaseTable.mu, Scheduler.mu, pool.mu, monitor.mu, outcomeStore.mu,
//	entryTable.mu, tokenTable.mu, permits.mu
//
// The locks of the last group are leaves: no other lock is taken under them.
// No lock is held during a call of a Conn or of Options.Connect.
//
// # Usage
//
//	o := owner.New(owner.Options{Host: "host-1", Connect: connect, Logger: log, Registry: reg})
//	go o.Run(ctx)
//	srv.Register("Owner", o.Service())
//	o.SetState(state, cfg)           // at every change of the state
//	o.SetLeases(sentAt, reply)       // after every heartbeat
//	args.Suspects = o.Suspects()     // for the next heartbeat
//	err := o.Drain(ctx)              // planned stop
package owner
