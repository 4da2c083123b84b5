// Package lineserver accepts callers whose protocol consists of lines, and
// hands each line to a Handler. It knows nothing of what the lines say.
//
// # Connections
//
// Sockets are served by nbio in edge-triggered mode; an idle connection holds
// no goroutine and no buffer. The lines of one connection run one at a time
// and in order on a worker pool. A connection with too many waiting lines is
// not read, so TCP flow control stops the caller.
//
// # Planned stop
//
// Quiesce closes connections as they become idle. A connection with bytes that
// were not read yet is not idle, so no request that arrived is lost.
//
// # Lock order
//
// conn.mu, then the locks of nbio and of the worker pool. No lock is held
// while a Handler function runs.
//
// # Usage
//
//	srv := lineserver.New(lineserver.Options{Address: address, Handler: handler})
//	err := srv.Start()
//	srv.Quiesce() // repeatedly, until Connections is 0
//	srv.Close()
package lineserver
