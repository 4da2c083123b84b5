package caller

import "context"

// Handler executes the cycles of sessions. All functions are required. Run and
// Close of one session are never called concurrently; Cancel may be called at
// any time after Open, also during Run and Close.
type Handler struct {
	// Open starts a session. An error ends the connection with a FATAL
	// ErrorResponse of the error's kind.
	Open func(ctx context.Context, s Startup) (Opened, error)
	// Run executes one cycle.
	Run func(ctx context.Context, session any, c Cycle) Answer
	// Close ends a session. It is called exactly once for every Open that
	// succeeded.
	Close func(session any)
	// Cancel requests the cancellation of the cycle in progress, if there is one.
	Cancel func(ctx context.Context, session any)
}

// Startup describes a new caller connection.
type Startup struct {
	Parameters map[string]string // of the StartupMessage, with "user" and "database"
	Remote     string            // ip:port of the caller
	ProcessID  uint32            // of BackendKeyData
}

// Opened is the result of Handler.Open.
type Opened struct {
	Session    any
	Parameters []Parameter // sent as ParameterStatus
}

// Parameter is the name and value of one ParameterStatus message.
type Parameter struct {
	Name, Value string
}
