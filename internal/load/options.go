package load

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("load")

// Options describe one run. It ends at the first of Count and Duration, one
// of which has to be set, or at the end of the context.
type Options struct {
	DSNs     []string // entry addresses in the form of pgx; session i starts at DSN i modulo their number
	Table    string   // default "kv"
	Seed     uint64   // equal seeds give equal sequences of operations for each session
	Count    int64    // limit of operations of all sessions together; 0 for none
	Duration time.Duration
	Timeout  time.Duration // limit for one operation at the client; default 10 s
	Keys     int           // keys of each session; default 8
	Ranks    []Rank
}

// Rank describes the sessions of one traffic rank.
type Rank struct {
	Name         string // sent as arbutusring.rank; empty sends none
	Sessions     int
	ReadShare    float64       // share of reads, 0 to 1
	MaxStaleness time.Duration // sent as arbutusring.max_staleness unless 0
	Deadline     time.Duration // sent as arbutusring.deadline unless 0
	Rate         float64       // operations/s of all sessions of the rank in an open loop; 0 for a closed loop
	Think        time.Duration // pause between operations in a closed loop
	MoveEvery    int           // operations after which a session moves to the next DSN; 0 for never
	OnTime       time.Duration // an operation is on time up to this duration; default 100 ms
}

// check returns o with defaults, or what is wrong with it.
func (o Options) check() (Options, error) {
	switch {
	case len(o.DSNs) == 0:
		return o, Error.New("no DSN")
	case len(o.Ranks) == 0:
		return o, Error.New("no rank")
	case o.Count <= 0 && o.Duration <= 0:
		return o, Error.New("neither count nor duration limits the run")
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
			return o, Error.New("rank %q: sessions, read share, rate or moves are out of range", r.Name)
		}
		if r.OnTime == 0 {
			r.OnTime = 100 * time.Millisecond
		}
		ranks[i] = r
	}
	o.Ranks = ranks
	return o, nil
}
