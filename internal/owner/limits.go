package owner

import "time"

// Limits are the time and size limits of an owner. A zero field takes the
// default value stated in its comment.
type Limits struct {
	SuspectAfter          time.Duration // 500 ms: time without an answer after which a server may be suspected
	StatusInterval        time.Duration // 100 ms: interval of status polls while nothing waits for one
	StatusTimeout         time.Duration // 150 ms: timeout of one poll or probe; three fit into SuspectAfter
	CommitPollInterval    time.Duration // 1 ms: interval of replica polls while commits wait for a majority
	PositionPollInterval  time.Duration // 2 ms: interval of status polls while cycles wait for a position
	ConnectTimeout        time.Duration // 1 s: timeout of opening a pooled connection
	EntryTimeout          time.Duration // 2 s: time without a request of an entry after which its transactions are rolled back
	TxIdleTimeout         time.Duration // 30 s: time without a cycle after which a transaction is rolled back
	DrainTxTimeout        time.Duration // 5 s: transactions still open this long after the drain began are rolled back
	DrainPrimaryTimeout   time.Duration // 3 s: a draining primary accepts new work for this long, so that its role can move first
	RevokeGrace           time.Duration // 300 ms: time that a revocation waits for work in progress
	UnresponsiveConnGrace time.Duration // 500 ms: time left to requests on other connections after one has stopped answering
	OutcomeRetention      time.Duration // 60 s: how long answers are kept
	SweepInterval         time.Duration // 50 ms: interval of the checks of transactions, leases and outcomes
	FloorWindow           time.Duration // 1 s: window over which the scheduler guarantees the floors of ranks

	OutcomeBytes       int // 64 MiB: total size of stored answers
	OutcomeRecords     int // 262144: stored outcomes of cycles that are not repeatable; 26,000 writes/s for 10 s
	TokenAnswerBytes   int // 8 KiB: largest answer that is stored with its rows under a request token
	MaxConcurrentDials int // 4: connections to one server that are being opened at the same time

	// SendAhead is the number of cycles sent to a server beyond its slots, 0
	// by default. They queue at the server, which then has work while an
	// answer is in transit, but the scheduler can no longer reorder them.
	SendAhead int
}

func (l Limits) withDefaults() Limits {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&l.SuspectAfter, 500 * time.Millisecond},
		{&l.StatusInterval, 100 * time.Millisecond},
		{&l.StatusTimeout, 150 * time.Millisecond},
		{&l.CommitPollInterval, time.Millisecond},
		{&l.PositionPollInterval, 2 * time.Millisecond},
		{&l.ConnectTimeout, time.Second},
		{&l.EntryTimeout, 2 * time.Second},
		{&l.TxIdleTimeout, 30 * time.Second},
		{&l.DrainTxTimeout, 5 * time.Second},
		{&l.DrainPrimaryTimeout, 3 * time.Second},
		{&l.RevokeGrace, 300 * time.Millisecond},
		{&l.UnresponsiveConnGrace, 500 * time.Millisecond},
		{&l.OutcomeRetention, time.Minute},
		{&l.SweepInterval, 50 * time.Millisecond},
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
		{&l.TokenAnswerBytes, 8 << 10},
		{&l.MaxConcurrentDials, 4},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return l
}
