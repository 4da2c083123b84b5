package schedule

import "time"

// Options configure a Scheduler.
type Options struct {
	Slots  int
	Ranks  []RankSpec    // the first is served first
	Window time.Duration // over which the floors hold
	Now    func() time.Time

	// Service is the slot time that is assumed until the first cycle has ended;
	// 0 refuses nothing before.
	Service time.Duration
}
