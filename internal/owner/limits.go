package owner

import "time"

// Limits are the time limits and bounds of an owner. A zero field takes the
// default value that is stated with it.
type Limits struct {
	SuspectAfter   time.Duration // 500 ms: silence after which a server is a suspect
	StatusInterval time.Duration // 100 ms: status poll while nothing waits
	StatusTimeout  time.Duration // 150 ms: bound of one poll or probe; three fit into SuspectAfter
	CommitPoll     time.Duration // 1 ms: poll of the replicas while commits wait
	PositionPoll   time.Duration // 2 ms: poll of the status while reads wait for a position
	ConnectTimeout time.Duration // 1 s: bound of opening a pooled connection
	EntrySilence   time.Duration // 2 s: transactions of an entry that is silent for longer are rolled back
	TxIdle         time.Duration // 30 s: transactions without a cycle for longer are rolled back
	DrainTx        time.Duration // 5 s: transactions still open this long after Drain are rolled back
	DrainPrimary   time.Duration // 3 s: a draining primary takes work for this long, until its role has moved
	RevokeGrace    time.Duration // 300 ms: time that a revocation leaves to work in progress
	SilentGrace    time.Duration // 500 ms: time left to cycles on connections that were retired as silent
	OutcomeKeep    time.Duration // 60 s: how long answers are kept
	Sweep          time.Duration // 50 ms: interval of the checks of transactions and leases
	FloorWindow    time.Duration // 1 s: window over which the floors of ranks hold

	OutcomeBytes   int // 64 MiB: stored answers
	OutcomeRecords int // 262144: outcomes of cycles that are not repeatable; 26,000 writes/s for 10 s
	TokenBytes     int // 8 KiB: answer that is stored whole with a request token
	Opening        int // 4: connections of one server that are opened at one time

	// Ahead is the number of cycles sent to a server beyond its slots, 0 by
	// default. They wait at the server, which then has work while an answer
	// is on its way, but their order can no longer be changed.
	Ahead int
}

func (l Limits) withDefaults() Limits {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&l.SuspectAfter, 500 * time.Millisecond},
		{&l.StatusInterval, 100 * time.Millisecond},
		{&l.StatusTimeout, 150 * time.Millisecond},
		{&l.CommitPoll, time.Millisecond},
		{&l.PositionPoll, 2 * time.Millisecond},
		{&l.ConnectTimeout, time.Second},
		{&l.EntrySilence, 2 * time.Second},
		{&l.TxIdle, 30 * time.Second},
		{&l.DrainTx, 5 * time.Second},
		{&l.DrainPrimary, 3 * time.Second},
		{&l.RevokeGrace, 300 * time.Millisecond},
		{&l.SilentGrace, 500 * time.Millisecond},
		{&l.OutcomeKeep, time.Minute},
		{&l.Sweep, 50 * time.Millisecond},
		{&l.FloorWindow, time.Second},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	for _, d := range []struct {
		field *int
		value int
	}{
		{&l.OutcomeBytes, 64 << 20},
		{&l.OutcomeRecords, 1 << 18},
		{&l.TokenBytes, 8 << 10},
		{&l.Opening, 4},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return l
}
