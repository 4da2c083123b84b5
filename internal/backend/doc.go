// Package backend is the client side of the backend server contract, which
// docs/backend-contract.md describes. It uses version 3 of the PostgreSQL
// protocol.
//
// A Conn is one connection to one backend server. It relays the raw messages
// of a cycle and returns the raw messages of the answer, without decoding
// rows. It also calls the functions of the contract: status, fence, promote,
// follow and replication progress.
//
// # Attribution
//
// Answers have no id, and a server may repeat one late. Every request is sent with a
// tag that the server must return, and an answer without the tag of its request
// closes the connection with ServerLost.
//
// # Errors
//
// Every error has a kind of pkg/errkind. The kind of an error of Relay and
// RelayCommit states whether the cycle may have been executed:
//
//   - ConnectFailed and BadRequest: nothing was sent.
//   - Draining: the server is shutting down and closed the connection before
//     it completed any statement of the cycle.
//   - ServerLost: the cycle may have been sent and executed.
//   - OutcomeUnknown (RelayCommit only): the cycle was answered, but its
//     position could not be read, so its commit can't be acknowledged.
//   - AnswerTooLarge: the cycle was executed; its answer was discarded.
//
// After any of these except AnswerTooLarge the Conn is closed.
//
// # Usage
//
//	c, err := backend.Connect(ctx, backend.ConnOptions{Address: "127.0.0.1:5432", Database: "orders", User: "proxy"})
//	if err != nil { ... }
//	defer c.Close()
//	answer, pos, err := c.RelayCommit(ctx, cycle, 1<<20)
//	status, err := c.Status(ctx)
//
// A Conn must be used by one goroutine at a time; only Close and Closed may be
// called at any time from any goroutine.
package backend
