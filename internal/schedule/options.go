package schedule

import "time"

// Options configure a Scheduler.
type Options struct {
	Slots  int
	Ranks  []RankSpec    // the first is served first
	Window time.Duration // over which the floors hold
	Now    func() time.Time
}
