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
// attempt in a closed loop. Without it, the loop would retry refused
// operations at an unrealistic rate.
const refusalPause = 20 * time.Millisecond

// session is one session of a rank. Only one goroutine uses it.
type session struct {
	run                 *runner
	rank                Rank
	tally               *tally
	number              int
	random              *rand.Rand
	dsnIndex            int // of the current DSN
	conn                *pgx.Conn
	token               string
	operationsSinceMove int
	keys                []*keyState
	keysCreated         int // includes abandoned keys
}

// loop executes operations until the run ends. In an open loop, an operation
// that arrives while another one is in progress starts late, but its latency
// is measured from its arrival.
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
		if !pause(ctx, time.Until(due)) || !s.run.startOperation() {
			return
		}
		if s.rank.Rate <= 0 {
			due = time.Now()
		}
		if result := s.execute(due); result == opRefused && s.rank.Rate <= 0 {
			pause(ctx, time.Duration(s.random.ExpFloat64()*float64(refusalPause)))
		}
		if s.operationsSinceMove++; s.rank.MoveEvery > 0 && s.operationsSinceMove >= s.rank.MoveEvery {
			s.operationsSinceMove = 0
			s.disconnect()
			s.dsnIndex = (s.dsnIndex + 1) % len(s.run.configs)
			s.tally.countMove()
		}
	}
}

// execute executes one random operation that arrived at the given time.
func (s *session) execute(arrival time.Time) opResult {
	i := s.random.IntN(len(s.keys))
	write := s.random.Float64() >= s.rank.ReadShare
	// The end of the run does not cancel an operation in progress: its
	// outcome would become unknown.
	ctx, cancel := context.WithTimeout(context.Background(), s.run.opts.Timeout)
	defer cancel()
	if err := s.connect(ctx); err != nil {
		s.dsnIndex = (s.dsnIndex + 1) % len(s.run.configs)
		return s.record(write, arrival, &notSentError{err})
	}
	var result opResult
	if write {
		result = s.write(ctx, arrival, i)
	} else {
		result = s.read(ctx, arrival, s.keys[i])
	}
	if token := s.conn.PgConn().ParameterStatus(paramToken); token != "" {
		s.token = token
	}
	if s.conn.IsClosed() {
		s.conn = nil
		s.dsnIndex = (s.dsnIndex + 1) % len(s.run.configs)
	}
	return result
}

// write writes the next number of key i.
func (s *session) write(ctx context.Context, arrival time.Time, i int) opResult {
	key := s.keys[i]
	number := key.nextNumber
	key.nextNumber++
	sql := fmt.Sprintf("INSERT INTO %s (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = excluded.v", s.run.opts.Table)
	_, err := s.conn.Exec(ctx, sql, key.name, strconv.Itoa(number))
	result := s.record(true, arrival, err)
	switch result {
	case opOK:
		key.ack(number, time.Now())
	case opRefused:
		key.refuse(number)
	case opUnknown:
		s.keys[i] = s.newKey()
	}
	return result
}

// read reads a key and checks the number that it returns.
func (s *session) read(ctx context.Context, arrival time.Time, key *keyState) opResult {
	readStarted := time.Now()
	var text string
	err := s.conn.QueryRow(ctx, fmt.Sprintf("SELECT v FROM %s WHERE k = $1", s.run.opts.Table), key.name).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		text, err = "0", nil
	}
	result := s.record(false, arrival, err)
	if result != opOK {
		return result
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		number = -1
	}
	if v, ok := key.check(number, readStarted, s.rank.MaxStaleness); !ok {
		s.tally.addViolation(v)
	}
	return result
}

// record classifies the result of an operation and adds it to the tally of the
// rank.
func (s *session) record(write bool, arrival time.Time, err error) opResult {
	result, code := s.run.outcomes.classify(err)
	if notSent := new(notSentError); errors.As(err, &notSent) {
		result = opRefused
		if code == "" {
			code = clientErrorCode
		}
	}
	now := time.Now()
	s.tally.record(write, result, code, now.Sub(arrival), now)
	return result
}

// newKey returns a key that no other session and no other run uses. A key of
// an earlier run might hold numbers that this run has never sent.
func (s *session) newKey() *keyState {
	s.keysCreated++
	return newKeyState(fmt.Sprintf("load-%s-%d-%d", s.run.id, s.number, s.keysCreated))
}

// connect connects to the current DSN unless the session has a connection.
func (s *session) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	cfg := s.run.configs[s.dsnIndex].Copy()
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

func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx) // the session's state doesn't depend on a clean close
	s.conn = nil
}

// notSentError is the error of an operation that was not sent because
// connecting failed.
type notSentError struct {
	cause error
}

func (e *notSentError) Error() string { return "not connected: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// pause waits for d or until ctx is done, and reports whether ctx is not done.
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
