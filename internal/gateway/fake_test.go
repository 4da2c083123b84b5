package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// world is one database group of three servers in three data centres. The
// primary is s1. Statements are "FETCH key" and "STORE key value".
type world struct {
	mu      sync.Mutex
	servers map[string]*server
	ran     []string // "server: text" of what was executed
	refused int      // connections above the limit
	dials   int      // connections that were opened
}

// server is one backend server.
type server struct {
	id        string
	role      statement.Role
	term      uint64
	log       []string      // committed writes
	lag       int           // of them that were not applied
	work      time.Duration // of one statement
	slots     chan struct{}
	handshake time.Duration // of a new connection
	limit     int           // of connections
	conns     int
	down      bool // refuses connections
	silent    bool // answers nothing
	busy      int  // statements that it refuses for want of room
	lose      int  // answers that it loses after the execution
	sent      chan string
}

func newWorld() *world {
	w := &world{servers: make(map[string]*server)}
	for i, role := range []statement.Role{statement.Primary, statement.Replica, statement.Replica} {
		id := fmt.Sprintf("s%d", i+1)
		w.servers[id] = &server{id: id, role: role, term: 1, work: 10 * time.Millisecond, handshake: time.Millisecond, slots: make(chan struct{}, 3), limit: 25}
	}
	return w
}

// state is the state of the directory with the given primary.
func (w *world) state(version, generation uint64, primary string, switching bool) directoryrpc.State {
	s := directoryrpc.State{
		Version: version, ConfigVersion: 1,
		Servers: make(map[string]directoryrpc.Server),
		Groups:  map[string]directoryrpc.Group{"g": {Name: "g", Primary: primary, Generation: generation, Switching: switching}},
	}
	for i, dc := range []string{"d1", "d2", "d3"} {
		id := fmt.Sprintf("s%d", i+1)
		s.Servers[id] = directoryrpc.Server{ID: id, Group: "g", Address: "a" + id, DataCentre: dc, Slots: 3}
	}
	return s
}

func config() *database.Config {
	db := func(name string, c database.Consistency, rank int) database.Database {
		return database.Database{
			Name: name, Group: "g", Consistency: c, MaxStaleness: 1500 * time.Millisecond, Rank: rank,
			StatementTimeout: 800 * time.Millisecond, LatencyTarget: time.Second,
		}
	}
	return &database.Config{Version: 1, TransactionIdle: 3 * time.Second,
		Databases: map[string]database.Database{
			"urgent": db("urgent", database.Primary, 0), "bounded": db("bounded", database.Bounded, 1), "notes": db("notes", database.Session, 2),
		},
		Groups: map[string]database.Group{"g": {Name: "g", MaxConnections: 100}},
	}
}

// bubble runs a test on synthetic time with a gateway in data centre d2 whose
// lease is valid for an hour.
func bubble(t *testing.T, test func(t *testing.T, is *is.I, w *world, g *gateway.Gateway)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		g := gateway.New(gateway.Options{
			Connect: w.connect,
			Place:   gateway.Place{DataCentre: "d2", Regions: map[string]string{"d1": "r1", "d2": "r2", "d3": "r3"}},
		})
		defer g.Close()
		g.SetState(w.state(1, 1, "s1", false), config())
		g.Renew(clock.Now().Add(time.Hour), 1)
		test(t, is.New(t), w, g)
	})
}

func (w *world) server(id string) *server { return w.servers[id] }

func (w *world) count(text string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.ran {
		if strings.Contains(r, text) {
			n++
		}
	}
	return n
}

// change changes the world while statements are on their way.
func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) connect(ctx context.Context, s directoryrpc.Server) (gateway.Conn, error) {
	srv := w.servers[s.ID]
	w.mu.Lock()
	down, silent := srv.down, srv.silent
	if srv.conns >= srv.limit && !down && !silent {
		w.refused++
		w.mu.Unlock()
		return nil, errkind.New(errkind.Overloaded, "no connection left")
	}
	if !down && !silent {
		srv.conns++
		w.dials++
	}
	w.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, errkind.Wrap(errkind.ConnectFailed, ctx.Err(), "silent")
	}
	if down {
		return nil, errkind.New(errkind.ConnectFailed, "refused")
	}
	srv.slots <- struct{}{} // a new connection takes a slot for some time
	time.Sleep(srv.handshake)
	<-srv.slots
	return &conn{world: w, server: srv, values: make(map[string]string), prepared: make(map[string]statement.Request), gone: make(chan struct{})}, nil
}

// conn is one connection to a server.
type conn struct {
	world    *world
	server   *server
	values   map[string]string
	prepared map[string]statement.Request
	open     bool
	staged   []string
	once     sync.Once
	gone     chan struct{}
}

func (c *conn) Usable() bool {
	select {
	case <-c.gone:
		return false
	default:
		return true
	}
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.gone)
		c.world.mu.Lock()
		c.server.conns--
		c.world.mu.Unlock()
	})
	return nil
}

func (c *conn) Do(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error) {
	if !c.Usable() {
		return nil, errkind.New(errkind.ConnectFailed, "closed")
	}
	var answers []statement.Answer
	for _, r := range requests {
		a, ok := c.one(deadline, r)
		if !ok {
			return nil, errkind.New(errkind.ServerLost, "no answer")
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// one executes a statement; false means that no answer came.
func (c *conn) one(deadline time.Time, r statement.Request) (statement.Answer, bool) {
	s := c.server
	if s.sent != nil && r.Text != "" {
		s.sent <- r.Text
	}
	if slow := r.Kind == statement.Read || r.Kind == statement.Write || r.Kind == statement.Execute || r.Kind == statement.Commit; slow {
		s.slots <- struct{}{}
		time.Sleep(s.work)
		<-s.slots
	}
	c.world.mu.Lock()
	silent := s.silent
	c.world.mu.Unlock()
	if silent {
		select {
		case <-time.After(time.Until(deadline)):
		case <-c.gone:
		}
		return statement.Answer{}, false
	}
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	if !c.Usable() {
		return statement.Answer{}, false
	}
	a := c.execute(r)
	a.Position = s.position()
	a.State = statement.Idle
	if c.open {
		a.State = statement.Open
	}
	if s.lose > 0 && r.ID != "" {
		s.lose--
		return statement.Answer{}, false
	}
	if time.Now().After(deadline) {
		return statement.Answer{}, false // the answer comes too late
	}
	return a, true
}

func (s *server) position() logpos.Position {
	return logpos.Position{Term: s.term, LSN: uint64(len(s.log) - s.lag)}
}

// execute runs a statement. The world is locked.
func (c *conn) execute(r statement.Request) statement.Answer {
	s := c.server
	text := r.Text
	if r.Kind == statement.Execute {
		p, ok := c.prepared[r.Name]
		if !ok {
			panic("statement " + r.Name + " is not prepared on this connection")
		}
		text = "STORE " + r.Value
		if p.ReadOnly {
			text = "FETCH " + r.Value
		}
	}
	writes := r.Kind == statement.Write || r.Kind == statement.Execute && strings.HasPrefix(text, "STORE")
	fail := func(kind errkind.Kind, code string) statement.Answer {
		return statement.Answer{Failure: &statement.Failure{Kind: kind, Code: code}}
	}
	switch {
	case r.ID != "" && s.busy > 0:
		s.busy--
		return fail(errkind.Overloaded, "BUSY")
	case !s.position().Covers(r.After):
		return fail(errkind.PositionNotReached, "LAGGING")
	case s.role == statement.Replica && (writes || r.Kind == statement.Begin && !r.ReadOnly):
		return fail(errkind.ReadOnlyMember, "READONLY")
	}
	if r.ID != "" {
		c.world.ran = append(c.world.ran, s.id+": "+text+" "+fmt.Sprint(c.values))
	}
	switch {
	case r.Kind == statement.Set:
		c.values[r.Name] = r.Value
	case r.Kind == statement.Prepare:
		c.prepared[r.Name] = r
	case r.Kind == statement.Reset:
		clear(c.values)
		clear(c.prepared)
	case r.Kind == statement.Begin:
		c.open, c.staged = true, nil
	case r.Kind == statement.Rollback:
		c.open, c.staged = false, nil
	case r.Kind == statement.Commit:
		s.log = append(s.log, c.staged...)
		c.open, c.staged = false, nil
	case writes && c.open:
		c.staged = append(c.staged, text)
	case writes:
		s.log = append(s.log, text)
		for _, other := range c.world.servers {
			if other != s && other.role == statement.Replica {
				other.log = append([]string(nil), s.log...)
			}
		}
	}
	return statement.Answer{Receipt: s.id + "/" + text}
}

// caller is a session with shorthands.
type caller struct {
	*gateway.Session
	n int
}

func open(t *testing.T, g *gateway.Gateway, name string) *caller {
	t.Helper()
	s, err := g.Open(t.Context(), name)
	if err != nil {
		t.Fatal(err)
	}
	return &caller{Session: s}
}

func (c *caller) do(kind statement.Kind, text string) statement.Answer {
	c.n++
	return c.Execute(context.Background(), statement.Request{Kind: kind, ID: fmt.Sprint("q", c.n), Text: text})
}

func (c *caller) read(key string) statement.Answer { return c.do(statement.Read, "FETCH "+key) }

func (c *caller) write(key string) statement.Answer { return c.do(statement.Write, "STORE "+key+" x") }

// kind returns the kind of an answer's failure.
func kind(a statement.Answer) errkind.Kind {
	if a.Failure == nil {
		return errkind.OK
	}
	return a.Failure.Kind
}
