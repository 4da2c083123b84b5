// Package gateway proxies caller statements to the backend servers of database
// groups, for deployments in which every entry host connects to the servers
// directly. It implements sessions, routing, admission control, connection
// pooling, retries and transactions.
//
// # Consistency
//
// A read that has to see every acknowledged commit runs at the primary, under
// the lease of this host. Any other read carries the log position that a server
// must have applied: the later of the session's own commits and the oldest
// sample of the primary's log within the maximum staleness. Samples are the log
// positions returned with every answer of the primary, so no polling is needed.
// Without a recent enough sample the read goes to the primary, whose answer
// provides one.
//
// # Leases
//
// The directory grants one lease to the host and renews it with every reply to
// the host's Sync requests, about every half second. Statements go to a primary
// only while the lease is valid and the group is not switching primaries, and
// both are checked again before the answer is returned to the caller. When a
// group switches, Release waits for work in progress and aborts what does not end
// in time. Only then may the host confirm the new state.
//
// A host whose lease has ended isn't waited for. If a group has changed by the time
// that the host gets a lease again, its transactions, statements and samples at the
// earlier primary end at once, even if the same server is the primary.
//
// # Outcomes
//
// A refusal guarantees that the statement or transaction has no effect. It is
// returned only if nothing was sent, if the server reported that it did not run
// the statement, or if no COMMIT of the transaction was sent and its connection
// is closed. The outcome is unknown for a COMMIT, or a write outside of a
// transaction, that was sent and not answered.
//
// # Load
//
// Every server has a limit on the statements in progress from this host and a
// queue for each traffic rank. Statements of an open transaction bypass the
// queue: the transaction has already used resources, and it holds a connection
// until it ends.
//
// # Customers
//
// If the configuration names customers, a session belongs to the customer of its
// key, and its statements run only on connections that were opened under the name
// of that customer. Each statement requires that the key is in the newest
// configuration and that the host has its lease, without which that configuration
// may have been replaced. Both are checked when the statement is received and
// immediately before anything is sent for it. docs/design/customers.md has the
// details.
//
// # Concurrency
//
// The statements of a session run one at a time. Views are immutable and
// replaced as a whole. Lock order: Session.mu, Gateway.mu, then one of group.mu,
// member.mu, pool.mu. No lock but Session.mu is held while a connection is opened
// or during Conn.Do.
//
// # Usage
//
//	g := gateway.New(gateway.Options{Connect: connect, Place: place})
//	defer g.Close()
//	g.SetState(state, cfg)
//	g.RenewLease(sentAt.Add(ttl), hosts)
//	s, err := g.Open(ctx, "orders", key)
//	answer := s.Execute(ctx, request)
//	s.Close()
package gateway
