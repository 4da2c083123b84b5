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

// Run generates the load and returns its report. When the run ends or ctx is
// cancelled, operations in progress may still finish within Options.Timeout.
// Run returns an error only for invalid options; failed operations are part of
// the report.
func Run(ctx context.Context, opts Options) (Report, error) {
	opts, err := opts.withDefaults()
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
	r := &runner{opts: opts, configs: configs, outcomes: newOutcomesBySQLState(), id: strconv.FormatInt(time.Now().UnixNano(), 36)}
	r.remainingOperations.Store(opts.Count)
	started := time.Now()
	var wg sync.WaitGroup
	tallies := make([]*tally, len(opts.Ranks))
	sessionNumber := 0
	for i, rank := range opts.Ranks {
		tallies[i] = newTally(rank)
		for range rank.Sessions {
			s := &session{
				run: r, rank: rank, tally: tallies[i], number: sessionNumber, dsnIndex: sessionNumber % len(configs),
				random: rand.New(rand.NewPCG(opts.Seed, uint64(sessionNumber))),
			}
			sessionNumber++
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.loop(ctx)
			}()
		}
	}
	wg.Wait()
	report := Report{Seed: opts.Seed, Elapsed: time.Since(started)}
	for _, t := range tallies {
		report.Ranks = append(report.Ranks, t.result())
	}
	return report, nil
}

// runner holds the state that the sessions of a run share.
type runner struct {
	opts                Options
	configs             []*pgx.ConnConfig
	outcomes            outcomesBySQLState
	id                  string       // unique to the run
	remainingOperations atomic.Int64 // used only if Options.Count is set
}

// startOperation reports whether one more operation may start, and counts it.
func (r *runner) startOperation() bool {
	return r.opts.Count <= 0 || r.remainingOperations.Add(-1) >= 0
}
