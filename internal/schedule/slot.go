package schedule

import "time"

// Slot is the right to run one request at a server.
type Slot struct {
	rank    *rankQueue
	flow    *flow
	charged time.Duration // expected slot time
	start   time.Time     // when the slot was granted
}
