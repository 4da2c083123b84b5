package schedule

import "time"

// waiter is a request that waits for a slot. Scheduler.mu guards it until a
// result has been sent on ready.
type waiter struct {
	flow       *flow
	arrival    uint64 // grows with each waiting request of the rank
	deadline   time.Time
	charged    time.Duration // expected slot time, once it has a slot
	ready      chan error    // capacity 1; nil grants a slot, an error refuses the request
	prev, next *waiter
	queued     bool
}
