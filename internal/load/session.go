package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
)

// Names of the startup parameters and of the parameter status.
const (
	paramRank         = "arbutusring.rank"
	paramMaxStaleness = "arbutusring.max_staleness"
	paramDeadline     = "arbutusring.deadline"
	paramToken        = "arbutusring.session_token"
)

// refusalPause is the mean pause after a refusal or a failed connection
// attempt in a closed loop. Without it, the loop would send refused operations
// at a rate that no caller has.
const refusalPause = 20 * time.Millisecond

// session is one session. It is used by one goroutine.
type session struct {
	run    *runner
	rank   Rank
	tally  *tally
	number int
	random *rand.Rand
	dsn    int // index of the current DSN
	conn   *pgx.Conn
	token  string
	done   int // operations since the last move
	keys   []*keyState
	made   int // keys created so far, also abandoned ones
}

// loop executes operations until the run ends.
func (s *session) loop(ctx context.Context) {
	defer s.disconnect()
	for range s.run.opts.Keys {
		s.keys = append(s.keys, s.newKey())
	}
	due := time.Now()
	for {
		if s.rank.Rate > 0 {
			mean := float64(s.rank.Sessions) / s.rank.Rate * float64(time.Second)
			due = due.Add(time.Duration(s.random.ExpFloat64() * mean))
		} else {
			due = time.Now().Add(s.rank.Think)
		}
		if !pause(ctx, time.Until(due)) || !s.run.take() {
			return
		}
		if s.rank.Rate <= 0 {
			due = time.Now()
		}
		if v := s.operate(due); v == verdictRefused && s.rank.Rate <= 0 {
			pause(ctx, time.Duration(s.random.ExpFloat64()*float64(refusalPause)))
		}
		if s.done++; s.rank.MoveEvery > 0 && s.done >= s.rank.MoveEvery {
			s.done = 0
			s.disconnect()
			s.dsn = (s.dsn + 1) % len(s.run.configs)
			s.tally.moved()
		}
	}
}

// operate executes one operation that arrived at begun.
func (s *session) operate(begun time.Time) verdict {
	i := s.random.IntN(len(s.keys))
	write := s.random.Float64() >= s.rank.ReadShare
	// The operation may take its time also when the run has ended, so that
	// its outcome does not become unknown.
	ctx, cancel := context.WithTimeout(context.Background(), s.run.opts.Timeout)
	defer cancel()
	if err := s.connect(ctx); err != nil {
		s.dsn = (s.dsn + 1) % len(s.run.configs)
		return s.finish(write, begun, &notSent{err})
	}
	var v verdict
	if write {
		v = s.write(ctx, begun, i)
	} else {
		v = s.read(ctx, begun, s.keys[i])
	}
	if token := s.conn.PgConn().ParameterStatus(paramToken); token != "" {
		s.token = token
	}
	if s.conn.IsClosed() {
		s.conn = nil
		s.dsn = (s.dsn + 1) % len(s.run.configs)
	}
	return v
}

// write writes the next number of key i.
func (s *session) write(ctx context.Context, begun time.Time, i int) verdict {
	key := s.keys[i]
	number := key.next
	key.next++
	sql := fmt.Sprintf("INSERT INTO %s (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = excluded.v", s.run.opts.Table)
	_, err := s.conn.Exec(ctx, sql, key.name, strconv.Itoa(number))
	v := s.finish(true, begun, err)
	switch v {
	case verdictOK:
		key.ack(number, time.Now())
	case verdictRefused:
		key.refuse(number)
	case verdictUnknown:
		s.keys[i] = s.newKey()
	}
	return v
}

// read reads a key and checks the number.
func (s *session) read(ctx context.Context, begun time.Time, key *keyState) verdict {
	started := time.Now()
	var text string
	err := s.conn.QueryRow(ctx, fmt.Sprintf("SELECT v FROM %s WHERE k = $1", s.run.opts.Table), key.name).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		text, err = "0", nil
	}
	result := s.finish(false, begun, err)
	if result != verdictOK {
		return result
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		number = -1
	}
	if v, ok := key.check(number, started, s.rank.MaxStaleness); !ok {
		s.tally.violation(v)
	}
	return result
}

// finish records the result of an operation.
func (s *session) finish(write bool, begun time.Time, err error) verdict {
	v, code := s.run.outcomes.judge(err)
	if refused := new(notSent); errors.As(err, &refused) {
		v = verdictRefused
		if code == "" {
			code = noCode
		}
	}
	now := time.Now()
	s.tally.record(write, v, code, now.Sub(begun), now)
	return v
}

// newKey returns a key that no other session and no other run uses. A key of
// an earlier run would hold numbers that this run has never sent.
func (s *session) newKey() *keyState {
	s.made++
	return newKeyState(fmt.Sprintf("load-%s-%d-%d", s.run.id, s.number, s.made))
}

// connect opens the connection of the session if it has none.
func (s *session) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	cfg := s.run.configs[s.dsn].Copy()
	if s.rank.Name != "" {
		cfg.RuntimeParams[paramRank] = s.rank.Name
	}
	if s.rank.MaxStaleness > 0 {
		cfg.RuntimeParams[paramMaxStaleness] = s.rank.MaxStaleness.String()
	}
	if s.rank.Deadline > 0 {
		cfg.RuntimeParams[paramDeadline] = s.rank.Deadline.String()
	}
	if s.token != "" {
		cfg.RuntimeParams[paramToken] = s.token
	}
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return err
	}
	s.conn = conn
	return nil
}

// disconnect closes the connection.
func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx) // nothing of the session depends on it
	s.conn = nil
}

// notSent is the error of an operation that had no connection.
type notSent struct {
	cause error
}

func (e *notSent) Error() string { return "not connected: " + e.cause.Error() }

func (e *notSent) Unwrap() error { return e.cause }

// pause waits for d and reports whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}
