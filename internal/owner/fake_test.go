package owner_test

import (
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

// fakeServer is a backend server in memory: a log, rows of the outcome table,
// and switches for faults. Each statement takes the time service.
type fakeServer struct {
	mu        sync.Mutex
	service   time.Duration
	status    backend.Status
	lag       time.Duration // until a replica reports a commit
	stalled   bool          // replicas report nothing
	down      bool          // new connections fail
	silentOld int           // connections up to this number do not answer
	cutCommit bool          // the connection is lost after a commit, before its answer
	reported  logpos.Position
	replicas  []string // that have what was reported
	outcomes  map[string]string
	ran       []string // statements in the order of execution
	mixed     bool     // two sessions used one transaction
	conns     int
	running   int // statements
	mostRun   int
	open      int
	mostOpen  int
	hideRows  int               // lookups of outcomes that find nothing
	commits   int               // transactions that were committed
	connected func() owner.Conn // replaces the connections
}

func newFakeServer() *fakeServer {
	p := logpos.Position{Term: 1, LSN: 10}
	return &fakeServer{
		service: time.Millisecond, lag: 2 * time.Millisecond, outcomes: map[string]string{}, reported: p, replicas: []string{"s2"},
		status: backend.Status{ServerID: "s1", Term: 1, Primary: true, Received: p, Applied: p},
	}
}

func (f *fakeServer) set(change func(f *fakeServer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// times returns how often a statement ran.
func (f *fakeServer) times(sql string) (n int) {
	f.set(func(f *fakeServer) { n = f.count(sql) })
	return n
}

// count is times for a caller that holds the lock.
func (f *fakeServer) count(sql string) (n int) {
	for _, s := range f.ran {
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
	if f.down {
		return nil, errors.New("connection refused")
	}
	if f.connected != nil {
		return f.connected(), nil
	}
	f.conns++
	f.open++
	f.mostOpen = max(f.mostOpen, f.open)
	return &fakeConn{server: f, number: f.conns, status: 'I', ended: make(chan struct{})}, nil
}

// commit appends a record that the replicas report after the lag.
func (f *fakeServer) commit() logpos.Position {
	f.status.Received = logpos.Position{Term: f.status.Term, LSN: f.status.Received.LSN + 1}
	f.status.Applied = f.status.Received
	p := f.status.Received
	time.AfterFunc(f.lag, func() {
		f.set(func(f *fakeServer) {
			if !f.stalled {
				f.reported = f.reported.Max(p)
			}
		})
	})
	return p
}

type fakeConn struct {
	server *fakeServer
	number int
	status byte
	owner  string // who began the open transaction, by the comment of the statement
	rows   map[string]string
	ended  chan struct{}
	once   sync.Once
}

var _ owner.Conn = (*fakeConn)(nil)

func (c *fakeConn) Closed() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

func (c *fakeConn) Close() error {
	c.once.Do(func() {
		close(c.ended)
		c.server.set(func(f *fakeServer) { f.open-- })
	})
	return nil
}

// pause waits for d, or for ever on a silent connection.
func (c *fakeConn) pause(ctx context.Context, d time.Duration) error {
	c.server.set(func(f *fakeServer) {
		if c.number <= f.silentOld {
			d = time.Hour
		}
	})
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
	case <-c.ended:
	}
	c.Close()
	return errkind.New(errkind.ServerLost, "no answer")
}

func (c *fakeConn) Status(ctx context.Context) (st backend.Status, err error) {
	err = c.pause(ctx, 100*time.Microsecond)
	c.server.set(func(f *fakeServer) { st = f.status })
	return st, err
}

func (c *fakeConn) Replicas(ctx context.Context) (all []backend.Replica, err error) {
	err = c.pause(ctx, 100*time.Microsecond)
	c.server.set(func(f *fakeServer) {
		for _, id := range f.replicas {
			all = append(all, backend.Replica{ServerID: id, Received: f.reported})
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
	f := c.server
	f.mu.Lock()
	service := f.service
	f.running++
	f.mostRun = max(f.mostRun, f.running)
	f.mu.Unlock()
	err := c.pause(ctx, service)
	f.set(func(f *fakeServer) { f.running-- })
	if err != nil {
		return backend.Answer{}, logpos.Position{}, err
	}
	f.mu.Lock()
	sql := strings.TrimSuffix(string(cycle[5:]), "\x00")
	f.ran = append(f.ran, sql)
	a := c.run(sql)
	pos, cut := f.status.Received, f.cutCommit && a.TxStatus == 'I' && (strings.HasPrefix(sql, "INSERT") || sql == "COMMIT")
	f.mu.Unlock()
	if cut {
		c.Close()
		return backend.Answer{}, logpos.Position{}, errkind.New(errkind.ServerLost, "connection reset")
	}
	if len(a.Messages) > limit {
		a.Messages = nil
		return a, pos, errkind.New(errkind.AnswerTooLarge, "the limit is %d", limit)
	}
	return a, pos, nil
}

// run executes one statement. A statement may name its session in a comment,
// which detects statements that run in the transaction of another session.
func (c *fakeConn) run(sql string) backend.Answer {
	f := c.server
	word, _, _ := strings.Cut(sql, " ")
	_, who, _ := strings.Cut(sql, "--")
	if c.status != 'I' && who != "" && c.owner != "" && who != c.owner {
		f.mixed = true
	}
	switch word {
	case "BEGIN":
		c.status, c.owner, c.rows = 'T', who, map[string]string{}
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
			if _, dup := f.outcomes[key(sql)]; dup {
				c.status = 'E'
				return c.answer("", "", "23505")
			}
			c.rows[key(sql)] = strings.TrimSuffix(sql[strings.LastIndex(sql, ", '")+3:], "')")
			return c.answer("INSERT 0 1", "", "")
		}
		if c.status == 'I' {
			f.commit()
		}
		return c.answer("INSERT 0 1", "", "")
	}
	if strings.Contains(sql, "arbutusring_outcome") {
		if f.hideRows--; f.hideRows < 0 {
			return c.answer("SELECT", f.outcomes[key(sql)], "")
		}
		return c.answer("SELECT", "", "")
	}
	return c.answer("SELECT 1", sql, "")
}

// key returns the request token of a statement on the outcome table, which is
// its first literal.
func key(sql string) string {
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
