package consensus

import "context"

// waiter is a call that waits for a condition of the published view.
type waiter struct {
	ctx  context.Context
	done chan error // buffered for the one answer
	// check reports whether the view decides the call, and with which error.
	check func(v *view) (answered bool, err error)
}
