package owner_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// fakeServer is an in-memory backend server: log positions, rows of the outcome
// table, and injected faults. Each statement takes serviceTime.
type fakeServer struct {
	mu                 sync.Mutex
	serviceTime        time.Duration
	status             backend.Status
	replicationLag     time.Duration // time until the replicas report a commit
	replicationStalled bool          // replicas report nothing
	refuseConns        bool          // new connections fail
	unresponsiveUpTo   int           // connections with numbers up to this one do not answer
	loseCommitAnswer   bool          // the connection is closed after a commit, before its answer
	reportedPosition   logpos.Position
	replicas           []string // ids of the replicas that report reportedPosition
	outcomes           map[string]string
	executed           []string // statements in order of execution
	sessionsMixed      bool     // a session ran a statement in another session's transaction
	connsOpened        int
	running            int // statements running now
	maxRunning         int
	open               int
	maxOpen            int
	hiddenLookups      int               // number of outcome lookups that will find nothing
	commits            int               // number of COMMIT statements executed
	newConn            func() owner.Conn // if set, returns the connection for connect
}

func newFakeServer() *fakeServer {
	p := logpos.Position{Term: 1, LSN: 10}
	return &fakeServer{
		serviceTime: time.Millisecond, replicationLag: 2 * time.Millisecond, outcomes: map[string]string{}, reportedPosition: p, replicas: []string{"s2"},
		status: backend.Status{ServerID: "s1", Term: 1, Primary: true, Received: p, Applied: p},
	}
}

func (f *fakeServer) set(change func(f *fakeServer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// runCount returns how often a statement ran.
func (f *fakeServer) runCount(sql string) (n int) {
	f.set(func(f *fakeServer) { n = f.runCountLocked(sql) })
	return n
}

// runCountLocked is runCount for a caller that holds f.mu.
func (f *fakeServer) runCountLocked(sql string) (n int) {
	for _, s := range f.executed {
		if s == sql {
			n++
		}
	}
	return n
}

// connections returns the number of open connections.
func (f *fakeServer) connections() (n int) {
	f.set(func(f *fakeServer) { n = f.open })
	return n
}

func (f *fakeServer) connect(context.Context, string, string) (owner.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuseConns {
		return nil, errors.New("connection refused")
	}
	if f.newConn != nil {
		return f.newConn(), nil
	}
	f.connsOpened++
	f.open++
	f.maxOpen = max(f.maxOpen, f.open)
	return &fakeConn{server: f, number: f.connsOpened, status: 'I', closed: make(chan struct{})}, nil
}

// commit advances the position of the server; the replicas report it after
// replicationLag. f.mu is held.
func (f *fakeServer) commit() logpos.Position {
	f.status.Received = logpos.Position{Term: f.status.Term, LSN: f.status.Received.LSN + 1}
	f.status.Applied = f.status.Received
	p := f.status.Received
	time.AfterFunc(f.replicationLag, func() {
		f.set(func(f *fakeServer) {
			if !f.replicationStalled {
				f.reportedPosition = f.reportedPosition.Max(p)
			}
		})
	})
	return p
}

type fakeConn struct {
	server    *fakeServer
	number    int
	status    byte
	txSession string // session named in the BEGIN of the open transaction; empty if none
	rows      map[string]string
	closed    chan struct{}
	once      sync.Once
}

var _ owner.Conn = (*fakeConn)(nil)

func (c *fakeConn) Closed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *fakeConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.server.set(func(f *fakeServer) { f.open-- })
	})
	return nil
}

// delay waits for d. On a connection that does not answer, it waits for an hour
// or until ctx ends or the connection is closed.
func (c *fakeConn) delay(ctx context.Context, d time.Duration) error {
	c.server.set(func(f *fakeServer) {
		if c.number <= f.unresponsiveUpTo {
			d = time.Hour
		}
	})
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
	case <-c.closed:
	}
	c.Close()
	return errkind.New(errkind.ServerLost, "no answer")
}

func (c *fakeConn) Status(ctx context.Context) (st backend.Status, err error) {
	err = c.delay(ctx, 100*time.Microsecond)
	c.server.set(func(f *fakeServer) { st = f.status })
	return st, err
}

func (c *fakeConn) Replicas(ctx context.Context) (all []backend.Replica, err error) {
	err = c.delay(ctx, 100*time.Microsecond)
	c.server.set(func(f *fakeServer) {
		for _, id := range f.replicas {
			all = append(all, backend.Replica{ServerID: id, Received: f.reportedPosition})
		}
	})
	return all, err
}

func (c *fakeConn) Relay(ctx context.Context, cycle []byte, limit int) (backend.Answer, error) {
	a, _, err := c.RelayCommit(ctx, cycle, limit)
	return a, err
}

func (c *fakeConn) RelayCommit(ctx context.Context, cycle []byte, limit int) (backend.Answer, logpos.Position, error) {
	if c.Closed() {
		return backend.Answer{}, logpos.Position{}, errkind.New(errkind.ConnectFailed, "closed")
	}
	if bytes.Contains(cycle, []byte("PANIC")) {
		panic("test")
	}
	f := c.server
	f.mu.Lock()
	service := f.serviceTime
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	f.mu.Unlock()
	err := c.delay(ctx, service)
	f.set(func(f *fakeServer) { f.running-- })
	if err != nil {
		return backend.Answer{}, logpos.Position{}, err
	}
	f.mu.Lock()
	sql := strings.TrimSuffix(string(cycle[5:]), "\x00")
	f.executed = append(f.executed, sql)
	a := c.run(sql)
	pos, loseAnswer := f.status.Received, f.loseCommitAnswer && a.TxStatus == 'I' && (strings.HasPrefix(sql, "INSERT") || sql == "COMMIT")
	f.mu.Unlock()
	if loseAnswer {
		c.Close()
		return backend.Answer{}, logpos.Position{}, errkind.New(errkind.ServerLost, "connection reset")
	}
	if len(a.Messages) > limit {
		a.Messages = nil
		return a, pos, errkind.New(errkind.AnswerTooLarge, "the limit is %d", limit)
	}
	return a, pos, nil
}

// run executes one statement. A statement may name its session in a comment, by
// which run detects statements in the transaction of another session. The
// server's mu is held.
func (c *fakeConn) run(sql string) backend.Answer {
	f := c.server
	word, _, _ := strings.Cut(sql, " ")
	_, session, _ := strings.Cut(sql, "--")
	if c.status != 'I' && session != "" && c.txSession != "" && session != c.txSession {
		f.sessionsMixed = true
	}
	switch word {
	case "BEGIN":
		c.status, c.txSession, c.rows = 'T', session, map[string]string{}
		return c.answer("BEGIN", "", "")
	case "COMMIT":
		for k, v := range c.rows {
			f.outcomes[k] = v
		}
		c.status = 'I'
		f.commits++
		f.commit()
		return c.answer("COMMIT", "", "")
	case "ROLLBACK":
		c.status = 'I'
		return c.answer("ROLLBACK", "", "")
	case "FAIL":
		if c.status == 'T' {
			c.status = 'E'
		}
		return c.answer("", "", "22000")
	case "INSERT":
		if strings.Contains(sql, "arbutusring_outcome") {
			if _, dup := f.outcomes[outcomeKey(sql)]; dup {
				c.status = 'E'
				return c.answer("", "", "23505")
			}
			c.rows[outcomeKey(sql)] = strings.TrimSuffix(sql[strings.LastIndex(sql, ", '")+3:], "')")
			return c.answer("INSERT 0 1", "", "")
		}
		if c.status == 'I' {
			f.commit()
		}
		return c.answer("INSERT 0 1", "", "")
	}
	if strings.Contains(sql, "arbutusring_outcome") {
		if f.hiddenLookups--; f.hiddenLookups < 0 {
			return c.answer("SELECT", f.outcomes[outcomeKey(sql)], "")
		}
		return c.answer("SELECT", "", "")
	}
	return c.answer("SELECT 1", sql, "")
}

// outcomeKey returns the request token in a statement on the outcome table: its
// first string literal.
func outcomeKey(sql string) string {
	_, rest, _ := strings.Cut(sql, "'")
	text, _, _ := strings.Cut(strings.ReplaceAll(rest, "''", "\x00"), "'")
	return text
}

func (c *fakeConn) answer(tag, row, state string) backend.Answer {
	var out []byte
	if row != "" {
		body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(row)))
		out = append(out, message('D', string(body)+row)...)
	}
	end := message('C', tag+"\x00")
	if state != "" {
		end = message('E', "C"+state+"\x00\x00")
	}
	out = append(append(out, end...), message('Z', string(c.status))...)
	return backend.Answer{Messages: out, TxStatus: c.status, SQLState: state}
}

func message(kind byte, body string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(b, body...)
}
