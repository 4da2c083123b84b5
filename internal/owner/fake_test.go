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
	polls     int
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
func (f *fakeServer) times(sql string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.ran {
		if s == sql {
			n++
		}
	}
	return n
}

// connections returns the number of open connections.
func (f *fakeServer) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
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
	c.server.mu.Lock()
	silent := c.number <= c.server.silentOld
	c.server.mu.Unlock()
	if silent {
		d = time.Hour
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
	case <-c.ended:
	}
	c.Close()
	return errkind.New(errkind.ServerLost, "no answer")
}

func (c *fakeConn) Status(ctx context.Context) (backend.Status, error) {
	if err := c.pause(ctx, 100*time.Microsecond); err != nil {
		return backend.Status{}, err
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.status, nil
}

func (c *fakeConn) Replicas(ctx context.Context) ([]backend.Replica, error) {
	if err := c.pause(ctx, 100*time.Microsecond); err != nil {
		return nil, err
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.polls++
	var all []backend.Replica
	for _, id := range c.server.replicas {
		all = append(all, backend.Replica{ServerID: id, Received: c.server.reported})
	}
	return all, nil
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
	pos, cut := f.status.Received, f.cutCommit && a.TxStatus == 'I' && c.wrote(sql)
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

func (c *fakeConn) wrote(sql string) bool {
	return strings.HasPrefix(sql, "INSERT") || sql == "COMMIT"
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
		v, ok := f.outcomes[key(sql)]
		if f.hideRows > 0 {
			f.hideRows--
			ok = false
		}
		if ok {
			return c.answer("SELECT 1", v, "")
		}
		return c.answer("SELECT 0", "", "")
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
	if state != "" {
		out = append(out, message('E', "C"+state+"\x00\x00")...)
	} else {
		out = append(out, message('C', tag+"\x00")...)
	}
	out = append(out, message('Z', string(c.status))...)
	return backend.Answer{Messages: out, TxStatus: c.status, SQLState: state}
}

func message(kind byte, body string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(b, body...)
}
