package control

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Options configures a Control. Members and Revoke must be set; the
// other fields default to the values given below if they are zero.
type Options struct {
	Members  Members
	Revoke   RevokeFunc
	Logger   zerolog.Logger   // the zero Logger writes nothing
	Registry metrics.Registry // nil: New creates a private registry; names begin with "control."

	TTL        time.Duration // of a host session, default 1.2 s
	ClockDrift float64       // largest relative drift between two clocks, default 0.1

	// ScanInterval is how often the failover looks for groups that need an
	// attempt without an event, such as one whose retry delay has passed.
	// Default 50 ms.
	ScanInterval time.Duration
	// ProbeTimeout limits one status call. An owner reports a server as suspect
	// only after 500 ms without contact. Default 300 ms.
	ProbeTimeout time.Duration
	// StepTimeout limits a fence, promote or follow call and a call of
	// Owner.Revoke. Default 1 s.
	StepTimeout time.Duration
	// FenceGrace is how long an attempt waits for the slower members after a
	// majority has been fenced. Default 100 ms.
	FenceGrace time.Duration
	// CatchUpTimeout is how long a planned change waits for another member, or
	// for a joining server, to receive everything that the primary has.
	// Default 1 s.
	CatchUpTimeout time.Duration
	// MaxRetryDelay is the longest delay before a failed attempt of a group is
	// repeated, except for planned changes. Default 500 ms.
	MaxRetryDelay time.Duration
	// MaxConcurrentAttempts limits the attempts over all groups. The loss of a
	// data centre affects about 1,100 of 10,000 primaries, the isolation of a
	// region about 3,300. The default of 2,048 replaces them within the limit of
	// 8 s for a change; 512 took 7.9 s for the region (docs/CAPACITY.md).
	MaxConcurrentAttempts int
	// FollowEvery is how often the order to follow the primary is repeated to
	// each server, which reaches servers that were restarted without a gap in
	// their announcements. The default of 15 s makes 2,000 calls per second for
	// 30,000 servers.
	FollowEvery time.Duration

	metrics  *controlMetrics
	disabled disabled
}

// disabled disables single safety mechanisms. Tests use it to show that their
// checks detect the absence of the mechanism.
type disabled struct {
	grantExpiry       bool // don't wait until the grant of an old holder has expired
	leaderGracePeriod bool // don't assume that all hosts renewed just before the leadership began
	majority          bool // fence one member only
	fencedPositions   bool // choose by the positions from before the fencing
	intentLogging     bool // don't log a step before it is carried out
	caughtUp          bool // let servers become members that lack records
}

func (o Options) withDefaults() Options {
	setDefault(&o.TTL, 1200*time.Millisecond)
	setDefault(&o.ClockDrift, 0.1)
	setDefault(&o.ScanInterval, 50*time.Millisecond)
	setDefault(&o.ProbeTimeout, 300*time.Millisecond)
	setDefault(&o.StepTimeout, time.Second)
	setDefault(&o.FenceGrace, 100*time.Millisecond)
	setDefault(&o.CatchUpTimeout, time.Second)
	setDefault(&o.MaxRetryDelay, 500*time.Millisecond)
	setDefault(&o.MaxConcurrentAttempts, 2048)
	setDefault(&o.FollowEvery, 15*time.Second)
	o.metrics = newMetrics(o.Registry)
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
