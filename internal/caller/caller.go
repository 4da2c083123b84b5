// Package caller implements the server side of the PostgreSQL protocol for
// caller connections: it accepts connections, performs the startup, splits the
// byte stream into cycles and passes each cycle to a Handler.
//
// # Cycles
//
// A cycle is one Query message, or the extended-protocol messages up to and
// including Sync. The cycles of one connection run one at a time and in
// order. Further cycles wait in a bounded queue; while it is full, the
// connection is not read, so TCP flow control stops the caller.
//
// A Flush in the middle of a cycle requests answers before the Sync. The
// messages before it are passed to the handler as a cycle of kind KindFlush,
// whose answer has no ReadyForQuery; the handler decides whether it can execute
// them separately. After an error, the rest of the cycle up to its Sync is
// skipped, as in PostgreSQL.
//
// # Authentication and TLS
//
// Caller authentication and TLS are not implemented yet: every StartupMessage is
// answered with AuthenticationOk, and SSLRequest and GSSENCRequest with 'N'.
// Listen on trusted networks only.
//
// # Connections
//
// Sockets are served by nbio in edge-triggered mode. An idle connection holds
// no goroutine and no buffer. Cycles run on a worker pool that all
// connections share. The package has its own accept loop, because nbio cannot
// stop accepting connections while it serves the existing ones.
//
// nbio buffers the part of an answer that does not fit into the socket's send
// buffer. The next cycle starts only after it has been sent, which limits the
// memory for a slow reader to one answer. A caller that reads no byte of a
// pending answer for Options.WriteTimeout is disconnected.
//
// # Lock order
//
// conn.mu, then the locks of the guard, then the lock of nbio.Conn, then workers.mu or
// registry.mu, which are never held together. No lock is held while a Handler function runs.
//
// # Usage
//
//	srv := caller.New(caller.Options{Address: "127.0.0.1:5432", Handler: ent.Handler()})
//	err := srv.Start()
//	...
//	err = srv.Shutdown(ctx) // finishes cycles and transactions in progress
package caller

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Options configures a Server. A limit of zero means the default.
type Options struct {
	Address string // ip:port to listen on; port 0 lets the system choose
	Handler Handler
	Logger  zerolog.Logger

	MaxConnections  int           // open connections above which a new session is refused with SQLSTATE 53300
	MaxMessageBytes int           // bytes of one message with its header
	MaxCycleBytes   int           // bytes of all messages of a cycle
	MaxQueuedCycles int           // cycles of one connection that wait for the running one
	MaxQueuedBytes  int           // bytes of queued cycles from which on the connection is not read
	MaxWorkers      int           // concurrent cycles of all sessions
	StartupTimeout  time.Duration // limit from accepting a connection to the return of Handler.Open
	WriteTimeout    time.Duration // time without progress of a pending answer after which the caller is disconnected
	Pollers         int           // number of nbio event loops

	MaxPerAddress  int              // open connections from one address; 0 for no limit
	MessageTimeout time.Duration    // from the first byte of a cycle to its end; 0 for no limit
	Memory         *limit.Budget    // nil for no limit
	Registry       metrics.Registry // nil: New creates a private registry
}

// Defaults of Options. MaxWorkers is close to MaxConnections, because a cycle
// occupies its worker while it waits in the queue of an owner; in a small pool,
// queued bulk work would delay urgent work.
const (
	defaultMaxConnections  = 10000
	defaultMaxMessageBytes = 16 << 20
	defaultMaxCycleBytes   = 32 << 20
	defaultMaxQueuedCycles = 16
	defaultMaxQueuedBytes  = 1 << 20
	defaultMaxWorkers      = 8192
	defaultStartupTimeout  = 10 * time.Second
	defaultWriteTimeout    = 30 * time.Second
	defaultPollers         = 2
)

func (o *Options) setDefaults() {
	setDefault(&o.MaxConnections, defaultMaxConnections)
	setDefault(&o.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&o.MaxCycleBytes, defaultMaxCycleBytes)
	setDefault(&o.MaxQueuedCycles, defaultMaxQueuedCycles)
	setDefault(&o.MaxQueuedBytes, defaultMaxQueuedBytes)
	setDefault(&o.MaxWorkers, defaultMaxWorkers)
	setDefault(&o.StartupTimeout, defaultStartupTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.Pollers, defaultPollers)
}

func setDefault[T int | time.Duration](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}
