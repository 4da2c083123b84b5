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

// Load is a set of sessions that stay at one entry each and work until Stop.
// Every
// session writes a key of its own, so no operation waits for another; reads
// are of the key of the first session.
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

// loadThink is the pause of a session between two operations. It bounds how
// precisely gaps are measured.
const loadThink = 10 * time.Millisecond

// StartLoad creates the keys at the first session's entry and starts all
// sessions. The name makes the keys of several loads differ.
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
		w := &loadWorker{l: l, id: i, LoadSession: s, key: l.keys[i]}
		l.sessions.Go(w.run)
	}
	return l, nil
}

// Now returns the time on the clock of the history.
func (l *Load) Now() time.Duration { return time.Since(l.Began) }

// Stop ends the sessions after the operations in progress and returns the
// history.
func (l *Load) Stop() []Op {
	close(l.stop)
	l.sessions.Wait()
	return l.History.Ops()
}

// Final reads all keys at the primary, repeating until ctx ends.
func (l *Load) Final(ctx context.Context, dsn string) (map[string]string, error) {
	var err error
	for ctx.Err() == nil {
		var final map[string]string
		if final, err = readKeys(ctx, dsn, l.keys); err == nil {
			return final, nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	return nil, Error.New("the values can't be read: %v", err)
}

// LongestGap returns the longest time between two acknowledged operations
// that change data, and when it began.
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

// LongestRefusal returns the longest time during which a session was refused
// without an acknowledged operation in between.
func LongestRefusal(ops []Op) time.Duration {
	var longest time.Duration
	since := make(map[int]time.Duration) // by session that is being refused
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
	l      *Load
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
		case <-w.l.stop:
			return
		case <-time.After(loadThink):
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
		opened := w.l.Now()
		conn, err := pgx.Connect(connectCtx, w.DSN)
		if err != nil {
			return // nothing was sent
		}
		w.conn, w.opened = conn, opened
	}
	op := Op{Session: w.id, Kind: w.Kind, Key: w.key}
	if w.Kind == OpRead {
		op.Key, op.Fresh, op.Opened = w.l.keys[0], true, w.opened
	}
	w.count++
	tag := fmt.Sprintf("%d.%d,", w.id, w.count)
	if w.Kind != OpRead {
		op.Tags = map[string]string{w.key: tag}
	}
	op.Start = w.l.Now()
	err := w.execute(ctx, &op, tag)
	op.End = w.l.Now()
	if op.Outcome, op.Detail = Classify(err); op.Begun && op.Outcome != Acked {
		op.Detail = "in an open transaction: " + op.Detail
	}
	w.l.History.Add(op)
	if w.conn.IsClosed() {
		w.conn = nil
	}
}

const plainAppend = "UPDATE kv SET v = v || $1 WHERE k = $2"

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
	_, err := w.conn.Exec(ctx, plainAppend, pgx.QueryExecModeSimpleProtocol, tag, w.key)
	return err
}

// transaction appends, waits and commits. Without COMMIT nothing has run.
func (w *loadWorker) transaction(ctx context.Context, op *Op, tag string) error {
	notRun := func(err error) error { return &pgconn.PgError{Code: "25P03", Message: err.Error()} }
	tx, err := w.conn.Begin(ctx)
	if err != nil {
		return notRun(err)
	}
	op.Begun = true
	if _, err := tx.Exec(ctx, plainAppend, pgx.QueryExecModeSimpleProtocol, tag, w.key); err != nil {
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
