// Package gateway is the entry side for database groups that every entry host
// connects to directly: sessions, the choice of a backend server for each
// statement, admission, connections, retries and transactions.
//
// # Consistency
//
// A read that has to see every acknowledged commit runs at the primary, under
// the lease of this host. Any other read states the position that a server
// must have applied: the later of the session's own commits and the oldest
// sample of the primary's log within the accepted age. Samples are the
// positions that come with every answer of the primary, so there are no polls.
// Without a sample young enough the read goes to the primary, which makes one.
//
// # Leases
//
// The directory grants one lease to the host and renews it every second.
// Statements go to a primary only while the lease is valid and the group is
// not switching, and the answer is checked against both again before it is
// given. When a group switches, Release waits for what is in progress, cuts
// the rest off and only then lets the host confirm the new state.
//
// # Outcomes
//
// A refusal says that nothing is kept. It is given only if nothing was sent,
// if the server said that it did not run the statement, or if the transaction
// was not asked to commit and its connection is closed. A commit or a write
// outside of a transaction that was sent and not answered is unknown.
//
// # Load
//
// Every server has a limit of statements in progress from this host and a
// queue for each rank. Statements of an open transaction pass the queue: work
// is already invested, and its connection is held until it ends.
//
// # Concurrency
//
// The statements of a session run one at a time. Views are immutable and
// replaced as a whole. Lock order: Gateway.mu, then one of session.mu,
// group.mu, member.mu, pool.mu. No lock is held during a call of a Conn, except
// session.mu.
//
// # Usage
//
//	g := gateway.New(gateway.Options{Connect: connect, Place: place})
//	defer g.Close()
//	g.SetState(state, cfg)
//	g.Renew(sentAt.Add(ttl), hosts)
//	s, err := g.Open("orders")
//	answer := s.Execute(ctx, request)
//	s.Close()
package gateway
