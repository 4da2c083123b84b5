package caller

import "context"

// Handler executes sessions. All functions are required. Run and Close of one
// session are never called at the same time; Cancel may be called at any time
// after Open, also during Run and Close.
type Handler struct {
	// Open starts a session. An error ends the connection with a FATAL
	// ErrorResponse of the error's kind.
	Open func(ctx context.Context, s Startup) (Opened, error)
	// Run executes one cycle.
	Run func(ctx context.Context, session any, c Cycle) Answer
	// Close ends a session. It is called exactly once for every Open that
	// succeeded.
	Close func(session any)
	// Cancel asks to cancel the cycle in progress, if there is one.
	Cancel func(ctx context.Context, session any)
}

// Startup is what a caller states when it connects.
type Startup struct {
	Parameters map[string]string // of the StartupMessage, with "user" and "database"
	Remote     string            // ip:port of the caller
	ProcessID  uint32            // of BackendKeyData
}

// Opened is a session that was started.
type Opened struct {
	Session    any
	Parameters []Parameter // sent as ParameterStatus
}

// Parameter is one ParameterStatus.
type Parameter struct {
	Name, Value string
}
