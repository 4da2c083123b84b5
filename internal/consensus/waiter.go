package consensus

import "context"

// waiter is a call that waits for a condition of the published view.
type waiter struct {
	ctx  context.Context
	done chan error // has room for the one answer
	// check reports whether the call is answered, and how.
	check func(v *view) (answered bool, err error)
}
