package faulttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	tokenParameter   = "arbutusring.session_token"
	requestParameter = "arbutusring.request_id"
	// opTimeout is longer than the statement deadline of DefaultPolicy, so
	// that the proxy reports an outcome before the session gives up.
	opTimeout = 6 * time.Second
	// maxThinkTime is the longest pause between two operations of a session.
	// It spreads the operations of a run over several faults.
	maxThinkTime = 50 * time.Millisecond
)

// worker runs one session that reconnects to random entries.
type worker struct {
	id      int
	in      *Installation
	rng     *rand.Rand
	history *History
	began   time.Time
	keys    int

	conn   *pgx.Conn
	opened time.Duration
	fresh  bool   // conn was opened without a token
	token  string // newest token of the session
	count  int
}

// run executes n steps, or fewer if ctx is done before.
func (w *worker) run(ctx context.Context, n int) {
	defer w.disconnect()
	for range n {
		if ctx.Err() != nil {
			return
		}
		w.step(ctx)
		pause(ctx, time.Duration(w.rng.Int64N(int64(maxThinkTime))))
	}
}

// step executes one random operation, or none if connecting fails.
func (w *worker) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	if w.conn != nil && w.rng.IntN(15) == 0 {
		w.disconnect()
	}
	if w.conn == nil && !w.connect(ctx) {
		pause(ctx, 20*time.Millisecond)
		return
	}
	switch n := w.rng.IntN(20); {
	case n < 8:
		w.read(ctx)
	case n < 14:
		w.append(ctx)
	case n < 17:
		w.transaction(ctx)
	default:
		w.idempotent(ctx)
	}
}

// connect connects to a random entry, usually with the session token; without
// the token, a new session starts. It reports whether it succeeded.
func (w *worker) connect(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	cfg, err := pgx.ParseConfig(w.in.CallerDSN(w.rng.IntN(len(w.in.entries))))
	if err != nil {
		return false
	}
	w.fresh = w.token == "" || w.rng.IntN(3) == 0
	if w.fresh {
		w.token = ""
	} else {
		cfg.RuntimeParams[tokenParameter] = w.token
	}
	w.opened = time.Since(w.began)
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return false
	}
	w.conn = conn
	return true
}

// disconnect closes the connection. The session keeps its token.
func (w *worker) disconnect() {
	if w.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = w.conn.Close(ctx)
	w.conn = nil
}

func (w *worker) randomKey() string { return fmt.Sprintf("key-%d", w.rng.IntN(w.keys)) }

func (w *worker) nextTag() string {
	w.count++
	return fmt.Sprintf("%d.%d,", w.id, w.count)
}

// record adds a finished operation to the history and keeps the newest token.
func (w *worker) record(op Op, err error) {
	op.Session, op.End = w.id, time.Since(w.began)
	op.Outcome, op.Detail = Classify(err)
	w.history.Add(op)
	if w.conn != nil {
		if t := w.conn.PgConn().ParameterStatus(tokenParameter); t != "" {
			w.token = t
		}
		if w.conn.IsClosed() {
			w.conn = nil
		}
	}
}

// Classify returns the outcome of an operation that ended with err, and the
// error text. Without an answer from the server, the outcome is unknown.
func Classify(err error) (Outcome, string) {
	if err == nil {
		return Acked, ""
	}
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		text := pg.Code + " " + pg.Message + " " + pg.Detail + " " + pg.Hint
		switch {
		case strings.Contains(text, "outcome: not_run"):
			return NotRun, text
		case strings.Contains(text, "outcome: "):
			return Unknown, text
		default:
			return NotRun, text // an error from the database: the statement had no effect
		}
	}
	return Unknown, err.Error()
}

func (w *worker) read(ctx context.Context) {
	op := Op{Kind: OpRead, Key: w.randomKey(), Fresh: w.fresh, Opened: w.opened, Start: time.Since(w.began)}
	err := w.conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", op.Key).Scan(&op.Value)
	w.record(op, err)
}

const appendReturning = "UPDATE kv SET v = v || $1 WHERE k = $2 RETURNING v"

func (w *worker) append(ctx context.Context) {
	op := Op{Kind: OpAppend, Key: w.randomKey(), Start: time.Since(w.began)}
	tag := w.nextTag()
	op.Tags = map[string]string{op.Key: tag}
	err := w.conn.QueryRow(ctx, appendReturning, tag, op.Key).Scan(&op.Value)
	w.record(op, err)
}

// transaction appends to two keys, in key order so that transactions don't
// deadlock.
func (w *worker) transaction(ctx context.Context) {
	first := w.rng.IntN(w.keys - 1)
	second := first + 1 + w.rng.IntN(w.keys-first-1)
	op := Op{Kind: OpTransaction, Tags: make(map[string]string), Start: time.Since(w.began)}
	tag := w.nextTag()
	committing := false
	err := func() error {
		tx, err := w.conn.Begin(ctx)
		if err != nil {
			return err
		}
		for _, n := range []int{first, second} {
			key := fmt.Sprintf("key-%d", n)
			op.Tags[key] = tag
			if _, err := tx.Exec(ctx, "UPDATE kv SET v = v || $1 WHERE k = $2", tag, key); err != nil {
				_ = tx.Rollback(ctx)
				return err
			}
		}
		committing = true
		return tx.Commit(ctx)
	}()
	if errors.Is(err, pgx.ErrTxCommitRollback) {
		err = &pgconn.PgError{Code: "25P03", Message: "commit was a rollback"}
	}
	if err != nil && !committing {
		// Without COMMIT nothing was committed, whatever the error says.
		err = &pgconn.PgError{Code: "25P03", Message: err.Error()}
	}
	w.record(op, err)
}

// idempotent appends with a request id, and resends through random entries
// until the append is acknowledged or ctx is done.
func (w *worker) idempotent(ctx context.Context) {
	op := Op{Kind: OpIdempotent, Key: w.randomKey(), Start: time.Since(w.began)}
	tag := w.nextTag()
	op.Tags = map[string]string{op.Key: tag}
	id := fmt.Sprintf("request-%d-%d", w.id, w.count)
	var err error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if w.conn == nil && !w.connect(ctx) {
			pause(ctx, 20*time.Millisecond)
			continue
		}
		_, err = w.conn.Exec(ctx, "SET "+requestParameter+" = '"+id+"'")
		if err == nil {
			_, err = w.conn.Exec(ctx, "UPDATE kv SET v = v || $1 WHERE k = $2", pgx.QueryExecModeSimpleProtocol, tag, op.Key)
		}
		if err == nil {
			op.Resolved = true
			break
		}
		if w.conn.IsClosed() {
			w.conn = nil
		} else if attempt > 0 {
			w.disconnect() // try another entry
		}
		pause(ctx, 20*time.Millisecond)
	}
	if err == nil && !op.Resolved {
		err = context.DeadlineExceeded
	}
	if err != nil {
		// An earlier attempt may have been executed, so the outcome is unknown
		// whatever the last error says.
		err = errors.New("not resolved: " + err.Error())
	}
	w.record(op, err)
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
