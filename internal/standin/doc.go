// Package standin is a stand-in database server for tests and benchmarks. It
// implements the backend server contract of docs/backend-contract.md and a
// small subset of SQL over PostgreSQL protocol v3. It is not a real database:
// all data is held in memory, and the log is never compacted.
//
// # SQL
//
// Every table has the columns k (text, unique) and v (text), and exists
// implicitly: CREATE TABLE has no effect. The subset is: SELECT of a literal,
// with AS; SELECT with count(*) or columns, WHERE k = value, FOR UPDATE; INSERT
// with ON CONFLICT; UPDATE, including SET v = v || value; DELETE; RETURNING;
// transactions; SET, SHOW, DISCARD ALL and pg_sleep. Both the simple and the
// extended protocol are supported. Isolation is read committed: a transaction
// locks each row that it changes until it ends.
//
// # Log and replication
//
// A committed transaction is one record of the log, with a term and an LSN
// that grows by one. Replicas stream the records over the PostgreSQL port
// (START_REPLICATION) and report what they have stored and applied. A replica
// whose log has diverged first truncates it after the last common record.
//
// # Locks
//
// node.logMu serialises all changes of the log, the fenced term and the role,
// and is held while the log is synced. node.mu guards the data in memory. logMu
// is taken before mu; the only lock that is taken while mu is held is faults.mu.
//
// # Usage
//
//	srv, err := standin.New(standin.Options{ID: "m1", Group: "orders"})
//	if err != nil { ... }
//	if err := srv.Start(); err != nil { ... }
//	defer srv.Stop(ctx)
//	dsn := "postgres://proxy@" + srv.Address() + "/orders?sslmode=disable"
//
// Faults are injected with Server.SetFault, or in SQL with
// SELECT standin_fault('freeze', '2s').
package standin
