// Package caller is the PostgreSQL server side towards callers: it accepts
// connections, performs the startup, splits the byte stream into cycles and
// hands each cycle to a Handler.
//
// # Cycles
//
// A cycle is one Query message, or the extended-protocol messages up to and
// including Sync. The cycles of one connection run one at a time and in
// order. Further cycles wait in a bounded buffer; when it is full, the
// connection is not read any more, so TCP flow control stops the caller.
//
// A Flush in the middle of a cycle asks for answers before the Sync. The
// messages before it are handed on as a cycle of kind KindFlush, whose answer
// has no ReadyForQuery; the handler decides whether it can execute them
// separately. After an error, the rest of the cycle up to its Sync is skipped,
// as PostgreSQL does.
//
// # Authentication and TLS
//
// Caller authentication and TLS are not offered yet: every StartupMessage is
// answered with AuthenticationOk, and SSLRequest and GSSENCRequest with 'N'.
// Listen on trusted networks only.
//
// # Connections
//
// Sockets are served by nbio in edge-triggered mode. An idle connection holds
// no goroutine and no buffer. Cycles run on a worker pool that all
// connections share. The listener is the package's own, because nbio offers
// no way to stop accepting while the existing connections go on.
//
// An answer that the socket does not take at once is held by nbio. The next
// cycle starts only after it has been sent, which bounds the memory of a slow
// reader to one answer. A caller that takes no byte of a pending answer for
// Options.WriteTimeout is disconnected.
//
// # Lock order
//
// conn.mu, then the lock of nbio.Conn, then workers.mu or registry.mu, which
// are never held together. No lock is held while a Handler function runs.
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

	"github.com/rs/zerolog"
)

// Options configures a Server. Zero limits get the defaults.
type Options struct {
	Address string // ip:port to listen on; port 0 lets the system choose
	Handler Handler
	Logger  zerolog.Logger

	MaxConnections  int           // sessions at one time; more are refused with 53300
	MaxMessageBytes int           // one message with its header
	MaxCycleBytes   int           // all messages of a cycle
	MaxWaiting      int           // cycles that wait behind the running one
	MaxWaitingBytes int           // bytes of waiting cycles above which reading stops
	MaxWorkers      int           // cycles that run at one time, over all sessions
	StartupTimeout  time.Duration // from accepting to the StartupMessage
	WriteTimeout    time.Duration // without progress of a pending answer
	Pollers         int           // nbio event loops
}

// Defaults of Options. MaxWorkers is not far below MaxConnections, because a
// cycle holds its worker while it waits in the queue of an owner; a small pool
// would let queued bulk work delay urgent work.
const (
	defaultMaxConnections  = 10000
	defaultMaxMessageBytes = 16 << 20
	defaultMaxCycleBytes   = 32 << 20
	defaultMaxWaiting      = 16
	defaultMaxWaitingBytes = 1 << 20
	defaultMaxWorkers      = 8192
	defaultStartupTimeout  = 10 * time.Second
	defaultWriteTimeout    = 30 * time.Second
	defaultPollers         = 2
)

func (o *Options) setDefaults() {
	setDefault(&o.MaxConnections, defaultMaxConnections)
	setDefault(&o.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&o.MaxCycleBytes, defaultMaxCycleBytes)
	setDefault(&o.MaxWaiting, defaultMaxWaiting)
	setDefault(&o.MaxWaitingBytes, defaultMaxWaitingBytes)
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
