package owner

import "time"

// SchedulerOptions configure a Scheduler.
type SchedulerOptions struct {
	Slots  int
	Ranks  []RankSpec    // the first is served first
	Window time.Duration // over which the floors hold
	Now    func() time.Time
}
