package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// RunOptions describe one run.
type RunOptions struct {
	Installation Options
	Seed         uint64
	Sessions     int
	Ops          int // of all sessions together
	Keys         int
	NoFaults     bool
}

// Result is the result of one run.
type Result struct {
	Ops      []Op
	Faults   []string // see Injector.Log
	Findings []Finding
	Counts   map[Outcome]int
}

// repairTimeout bounds the time until statements succeed again after the
// repair of the last fault. It covers a failover, whose documented limit is
// 8 s, and the start of processes.
const repairTimeout = 20 * time.Second

// Run starts an installation, runs sessions while it injects faults, repairs
// the faults and checks the history.
func Run(ctx context.Context, opts RunOptions) (*Result, error) {
	in, err := Start(ctx, opts.Installation)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	if err := in.createKeys(ctx, opts.Keys); err != nil {
		return nil, err
	}
	history := new(History)
	injector := &Injector{in: in, rng: rand.New(rand.NewPCG(opts.Seed, 0))}
	work(ctx, in, opts, history, injector)
	if err := in.Repair(); err != nil {
		return nil, err
	}
	repairCtx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	final, err := in.readAll(repairCtx, opts.Keys)
	if err != nil {
		return nil, Error.New("after the repair: %v; faults %v", err, injector.Log)
	}
	res := &Result{Ops: history.Ops(), Faults: injector.Log, Counts: make(map[Outcome]int)}
	for _, op := range res.Ops {
		res.Counts[op.Outcome]++
	}
	res.Findings = Check(res.Ops, final)
	return res, nil
}

// work runs the sessions to their end, and injects faults meanwhile.
func work(ctx context.Context, in *Installation, opts RunOptions, history *History, injector *Injector) {
	faultCtx, stop := context.WithCancel(ctx)
	var faultsDone sync.WaitGroup
	if !opts.NoFaults {
		faultsDone.Go(func() { injector.run(faultCtx) })
	}
	began := time.Now()
	var sessions sync.WaitGroup
	for i := range opts.Sessions {
		w := &worker{
			id: i, in: in, history: history, began: began, keys: opts.Keys,
			rng: rand.New(rand.NewPCG(opts.Seed, uint64(i)+1)),
		}
		sessions.Go(func() { w.run(ctx, opts.Ops/opts.Sessions) })
	}
	sessions.Wait()
	stop()
	faultsDone.Wait()
}

// createKeys inserts the keys with empty values.
func (in *Installation) createKeys(ctx context.Context, keys int) error {
	conn, err := pgx.Connect(ctx, in.CallerDSN(0))
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = conn.Close(ctx) }()
	for i := range keys {
		if _, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2)", fmt.Sprintf("key-%d", i), ""); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// readAll reads all keys from the primary, retrying until ctx is done.
func (in *Installation) readAll(ctx context.Context, keys int) (map[string]string, error) {
	var err error
	for ctx.Err() == nil {
		var final map[string]string
		if final, err = in.tryReadAll(ctx, keys); err == nil {
			return final, nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	return nil, err
}

func (in *Installation) tryReadAll(ctx context.Context, keys int) (map[string]string, error) {
	names := make([]string, keys)
	for i := range names {
		names[i] = fmt.Sprintf("key-%d", i)
	}
	return readKeys(ctx, in.CallerDSN(0), names)
}

// readKeys reads keys with SELECT FOR UPDATE, which runs on the primary.
func readKeys(ctx context.Context, dsn string, keys []string) (map[string]string, error) {
	conn, err := pgx.Connect(ctx, dsn)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }()
	final := make(map[string]string)
	for _, key := range keys {
		var v string
		if err := conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1 FOR UPDATE", key).Scan(&v); err != nil {
			return nil, err
		}
		final[key] = v
	}
	return final, nil
}
