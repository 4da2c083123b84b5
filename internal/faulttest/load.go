package faulttest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// Load is a set of sessions that stay at one entry each and execute operations
// until Stop. Every session writes a key of its own, so no operation waits for
// a lock of another; reads are of the key of the first session.
type Load struct {
	History History
	Began   time.Time

	stop     chan struct{}
	sessions sync.WaitGroup
	keys     []string
}

// LoadSession describes one session of a Load.
type LoadSession struct {
	DSN  string
	Kind OpKind        // OpAppend, OpTransaction, OpIdempotent or OpRead
	Hold time.Duration // how long a transaction stays open before COMMIT
}

// loadThinkTime is the pause of a session between two operations. It limits
// the resolution of LongestGap and LongestRefusal.
const loadThinkTime = 10 * time.Millisecond

// StartLoad creates the keys through the first session's entry and starts all
// sessions. The name is a prefix of the keys; it must differ between the loads
// of an installation.
func StartLoad(ctx context.Context, name string, sessions []LoadSession) (*Load, error) {
	l := &Load{Began: time.Now(), stop: make(chan struct{})}
	conn, err := pgx.Connect(ctx, sessions[0].DSN)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = conn.Close(ctx) }()
	for i := range sessions {
		key := fmt.Sprintf("%s-%d", name, i)
		l.keys = append(l.keys, key)
		if _, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2)", key, ""); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	for i, s := range sessions {
		w := &loadWorker{load: l, id: i, LoadSession: s, key: l.keys[i]}
		l.sessions.Go(w.run)
	}
	return l, nil
}

// Now returns the time since Began, as used in the history.
func (l *Load) Now() time.Duration { return time.Since(l.Began) }

// Stop waits for the operations in progress, ends the sessions and returns the
// history.
func (l *Load) Stop() []Op {
	close(l.stop)
	l.sessions.Wait()
	return l.History.Ops()
}

// Final reads the values of all keys from the primary, retrying until ctx is
// done.
func (l *Load) Final(ctx context.Context, dsn string) (map[string]string, error) {
	var err error
	for ctx.Err() == nil {
		var final map[string]string
		if final, err = readKeys(ctx, dsn, l.keys); err == nil {
			return final, nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	return nil, Error.New("reading the final values failed: %v", err)
}

// LongestGap returns the longest time between two successive acknowledgements
// of writes, and when it began.
func LongestGap(ops []Op) (gap, at time.Duration) {
	last := time.Duration(-1)
	for _, op := range ops {
		if op.Kind == OpRead || op.Outcome != Acked {
			continue
		}
		if last >= 0 && op.End-last > gap {
			gap, at = op.End-last, last
		}
		last = op.End
	}
	return gap, at
}

// LongestRefusal returns the longest time during which all operations of a
// session failed.
func LongestRefusal(ops []Op) time.Duration {
	var longest time.Duration
	since := make(map[int]time.Duration) // start of the first failed operation since the last acknowledged one, by session
	for _, op := range ops {
		if op.Outcome == Acked {
			delete(since, op.Session)
			continue
		}
		if _, ok := since[op.Session]; !ok {
			since[op.Session] = op.Start
		}
		longest = max(longest, op.End-since[op.Session])
	}
	return longest
}

// loadWorker is one session of a Load.
type loadWorker struct {
	LoadSession
	load   *Load
	id     int
	key    string
	conn   *pgx.Conn
	opened time.Duration
	count  int
}

func (w *loadWorker) run() {
	defer w.disconnect()
	for {
		select {
		case <-w.load.stop:
			return
		case <-time.After(loadThinkTime):
		}
		ctx, cancel := context.WithTimeout(context.Background(), opTimeout)
		w.step(ctx)
		cancel()
	}
}

func (w *loadWorker) step(ctx context.Context) {
	if w.conn == nil {
		connectCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		opened := w.load.Now()
		conn, err := pgx.Connect(connectCtx, w.DSN)
		if err != nil {
			return // nothing was sent
		}
		w.conn, w.opened = conn, opened
	}
	op := Op{Session: w.id, Kind: w.Kind, Key: w.key}
	if w.Kind == OpRead {
		op.Key, op.Fresh, op.Opened = w.load.keys[0], true, w.opened
	}
	w.count++
	tag := fmt.Sprintf("%d.%d,", w.id, w.count)
	if w.Kind != OpRead {
		op.Tags = map[string]string{w.key: tag}
	}
	op.Start = w.load.Now()
	err := w.execute(ctx, &op, tag)
	op.End = w.load.Now()
	if op.Outcome, op.Detail = Classify(err); op.Begun && op.Outcome != Acked {
		op.Detail = "in an open transaction: " + op.Detail
	}
	w.load.History.Add(op)
	if w.conn.IsClosed() {
		w.conn = nil
	}
}

const appendWithoutReturning = "UPDATE kv SET v = v || $1 WHERE k = $2"

func (w *loadWorker) execute(ctx context.Context, op *Op, tag string) error {
	switch w.Kind {
	case OpRead:
		return w.conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", pgx.QueryExecModeExec, op.Key).Scan(&op.Value)
	case OpTransaction:
		return w.transaction(ctx, op, tag)
	case OpIdempotent:
		id := fmt.Sprintf("%s-%d", w.key, w.count)
		if _, err := w.conn.Exec(ctx, "SET "+requestParameter+" = '"+id+"'"); err != nil {
			return err
		}
	}
	_, err := w.conn.Exec(ctx, appendWithoutReturning, pgx.QueryExecModeSimpleProtocol, tag, w.key)
	return err
}

// transaction appends a tag, waits and commits. An error before COMMIT counts
// as not run, because nothing was committed.
func (w *loadWorker) transaction(ctx context.Context, op *Op, tag string) error {
	notRun := func(err error) error { return &pgconn.PgError{Code: "25P03", Message: err.Error()} }
	tx, err := w.conn.Begin(ctx)
	if err != nil {
		return notRun(err)
	}
	op.Begun = true
	if _, err := tx.Exec(ctx, appendWithoutReturning, pgx.QueryExecModeSimpleProtocol, tag, w.key); err != nil {
		_ = tx.Rollback(ctx)
		return notRun(err)
	}
	pause(ctx, w.Hold)
	if err = tx.Commit(ctx); errors.Is(err, pgx.ErrTxCommitRollback) {
		return notRun(err)
	}
	return err
}

func (w *loadWorker) disconnect() {
	if w.conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_ = w.conn.Close(ctx)
	}
}
