package schedule

import "time"

// waiter is a cycle that waits for a slot. Scheduler.mu guards it until a
// result was sent on ready.
type waiter struct {
	deadline   time.Time
	ready      chan error // capacity 1; nil grants a slot
	prev, next *waiter
	queued     bool
}
