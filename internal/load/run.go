package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
)

// Run generates the load and returns its report. The end of the run or of ctx
// lets operations in progress finish within the timeout of an operation. The
// error is about the options; failed operations are in the report.
func Run(ctx context.Context, opts Options) (Report, error) {
	opts, err := opts.check()
	if err != nil {
		return Report{}, err
	}
	configs := make([]*pgx.ConnConfig, len(opts.DSNs))
	for i, dsn := range opts.DSNs {
		if configs[i], err = pgx.ParseConfig(dsn); err != nil {
			return Report{}, Error.Wrap(err)
		}
	}
	if opts.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, opts.Duration)
		defer cancel()
	}
	r := &runner{opts: opts, configs: configs, outcomes: newOutcomes(), id: strconv.FormatInt(time.Now().UnixNano(), 36)}
	r.left.Store(opts.Count)
	begun := time.Now()
	var wg sync.WaitGroup
	tallies := make([]*tally, len(opts.Ranks))
	number := 0
	for i, rank := range opts.Ranks {
		tallies[i] = newTally(rank)
		for range rank.Sessions {
			s := &session{
				run: r, rank: rank, tally: tallies[i], number: number, dsn: number % len(configs),
				random: rand.New(rand.NewPCG(opts.Seed, uint64(number))),
			}
			number++
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.loop(ctx)
			}()
		}
	}
	wg.Wait()
	report := Report{Seed: opts.Seed, Elapsed: time.Since(begun)}
	for _, t := range tallies {
		report.Ranks = append(report.Ranks, t.result())
	}
	return report, nil
}

// runner is what the sessions of a run share.
type runner struct {
	opts     Options
	configs  []*pgx.ConnConfig
	outcomes outcomes
	id       string       // differs between runs
	left     atomic.Int64 // operations left, if Count limits the run
}

// take reports whether one more operation may start.
func (r *runner) take() bool {
	return r.opts.Count <= 0 || r.left.Add(-1) >= 0
}
