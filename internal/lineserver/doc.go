// Package lineserver serves callers whose protocol consists of lines of text. It
// passes each line to a Handler and does not interpret it. A line ends at CR LF, and
// nowhere else: a CR or an LF alone is a part of its text.
//
// # Connections
//
// Sockets are served by nbio in edge-triggered mode; an idle connection holds
// no goroutine and no buffer. The lines of one connection run one at a time
// and in order on a worker pool. A connection whose queue of lines is full is
// not read, so TCP flow control stops the caller.
//
// # Planned stop
//
// Quiesce closes the connections that are idle. A connection with a queued,
// running or incomplete line is not idle, so no request that was read is lost.
//
// # Lock order
//
// conn.mu, then the locks of nbio and of the worker pool. No lock is held while
// Handler.Line or Handler.Close runs; the other Handler functions run with
// conn.mu held.
//
// # Usage
//
//	srv := lineserver.New(lineserver.Options{Address: address, Handler: handler})
//	err := srv.Start()
//	srv.Quiesce() // repeated until it returns 0
//	srv.Close()
package lineserver
