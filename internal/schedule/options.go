package schedule

import "time"

// Options configures a Scheduler.
type Options struct {
	Slots  int
	Ranks  []RankSpec       // highest priority first
	Window time.Duration    // sliding window over which the floors hold; 0 for 1 s
	Now    func() time.Time // time.Now if nil

	// AssumedServiceTime is the slot time of a request that is assumed until the
	// first one has ended. If it is 0, no request is refused for its expected
	// wait before that.
	AssumedServiceTime time.Duration
}
