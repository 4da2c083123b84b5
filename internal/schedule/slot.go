package schedule

import "time"

// Slot is the right to run one request at a server.
type Slot struct {
	rank  *rankQueue
	start time.Time // when the slot was granted
}
