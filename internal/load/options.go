package load

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("load")

// Options describe one run. It ends when Count operations have started, after
// Duration, or when the context is cancelled, whichever comes first. Count or
// Duration has to be set.
type Options struct {
	DSNs     []string // DSNs of the entries, as pgx parses them; session i connects to DSNs[i % len(DSNs)] first
	Table    string   // default "kv"
	Seed     uint64   // equal seeds give equal sequences of operations for each session
	Count    int64    // limit on the operations of all sessions together; 0 for none
	Duration time.Duration
	Timeout  time.Duration // client-side timeout of one operation; default 10 s
	Keys     int           // number of keys of each session; default 8
	Ranks    []Rank
}

// Rank describes the sessions of one traffic rank.
type Rank struct {
	Name         string // sent as arbutusring.rank; empty sends none
	Sessions     int
	ReadShare    float64       // share of reads, 0 to 1
	MaxStaleness time.Duration // sent as arbutusring.max_staleness unless 0
	Deadline     time.Duration // sent as arbutusring.deadline unless 0
	Rate         float64       // arrival rate of an open loop, operations/s of all sessions of the rank; 0 for a closed loop
	Think        time.Duration // think time between operations in a closed loop
	MoveEvery    int           // operations after which a session reconnects to the next DSN; 0 for never
	OnTime       time.Duration // latency up to which an operation counts as on time; default 100 ms
}

// withDefaults validates o and returns it with the defaults filled in.
func (o Options) withDefaults() (Options, error) {
	switch {
	case len(o.DSNs) == 0:
		return o, Error.New("no DSN")
	case len(o.Ranks) == 0:
		return o, Error.New("no rank")
	case o.Count <= 0 && o.Duration <= 0:
		return o, Error.New("neither count nor duration is set, so the run would not end")
	}
	if o.Table == "" {
		o.Table = "kv"
	}
	if o.Timeout == 0 {
		o.Timeout = 10 * time.Second
	}
	if o.Keys == 0 {
		o.Keys = 8
	}
	ranks := make([]Rank, len(o.Ranks))
	for i, r := range o.Ranks {
		if r.Sessions < 1 || r.ReadShare < 0 || r.ReadShare > 1 || r.Rate < 0 || r.MoveEvery < 0 {
			return o, Error.New("rank %q: sessions, read share, rate or move interval is out of range", r.Name)
		}
		if r.OnTime == 0 {
			r.OnTime = 100 * time.Millisecond
		}
		ranks[i] = r
	}
	o.Ranks = ranks
	return o, nil
}
