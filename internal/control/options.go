package control

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Options are the settings of a Control. Members and Revoke must be set; a
// zero value of the others stands for the default.
type Options struct {
	Members Members
	Revoke  RevokeFunc
	Logger  zerolog.Logger   // the zero Logger writes nothing
	Metrics metrics.Registry // nil for none; names begin with "control."

	TTL   time.Duration // of a host session, default 1.2 s
	Drift float64       // largest relative drift between two clocks, default 0.1

	// Tick is how often the leader looks for work that no event announces,
	// such as a host that has run out. Default 50 ms.
	Tick time.Duration
	// ProbeTimeout limits one status call. The owner has already waited 500 ms
	// before it reports a suspect. Default 300 ms.
	ProbeTimeout time.Duration
	// StepTimeout limits a fence, promote or follow call and a call of
	// Owner.Revoke. Default 1 s.
	StepTimeout time.Duration
	// FenceGrace is how long the slower members are waited for after a
	// majority has been fenced. Default 100 ms.
	FenceGrace time.Duration
	// CatchUp is how long a planned change of the primary waits for another
	// member to receive everything. Default 1 s.
	CatchUp time.Duration
	// RetryDelay is the longest delay before a failed attempt of a group is
	// repeated. Default 500 ms.
	RetryDelay time.Duration
	// Parallel limits the attempts that run at one time over all groups. The
	// loss of a data centre hits about 1,100 of 10,000 primaries, the isolation
	// of a region about 3,300. The default of 2,048 carries them within the 8 s
	// that a change may take; 512 took 7.9 s for the region (docs/CAPACITY.md).
	Parallel int
	// FollowEvery is how often each server is told again whom to follow, which
	// reaches servers that were restarted without a gap in their announcements.
	// With 30,000 servers the default of 15 s makes 2,000 calls a second.
	FollowEvery time.Duration

	meters   *meters
	disabled disabled
}

// disabled switches single mechanisms off. Tests use it to show that their
// checks detect the absence of the mechanism.
type disabled struct {
	runOut      bool // don't wait for an old holder
	newLeader   bool // don't assume at the start that all hosts have just renewed
	majority    bool // fence one member only
	fenced      bool // choose by the positions of before the fencing
	preparation bool // don't log an intent before it is carried out
	caughtUp    bool // let servers become members that lack records
}

func (o Options) withDefaults() Options {
	setDefault(&o.TTL, 1200*time.Millisecond)
	setDefault(&o.Drift, 0.1)
	setDefault(&o.Tick, 50*time.Millisecond)
	setDefault(&o.ProbeTimeout, 300*time.Millisecond)
	setDefault(&o.StepTimeout, time.Second)
	setDefault(&o.FenceGrace, 100*time.Millisecond)
	setDefault(&o.CatchUp, time.Second)
	setDefault(&o.RetryDelay, 500*time.Millisecond)
	setDefault(&o.Parallel, 2048)
	setDefault(&o.FollowEvery, 15*time.Second)
	o.meters = newMeters(o.Metrics)
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
