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
	"github.com/arbutusring/arbutusring/internal/correlation"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// fakeGroup is a database group of three servers in three data centres. The
// primary is s1. Statements are "FETCH key" and "STORE key value".
type fakeGroup struct {
	mu          sync.Mutex
	servers     map[string]*fakeServer
	executed    []string // "server: text settings" of each executed statement
	refused     int      // connections refused because of connLimit
	openedConns int      // number of connections opened
	byCustomer  []string // "customer: text" of each executed statement
	conns       []*fakeConn
	connecting  func() // called once, when a connection is opened
	adapting    func() // called once, when the state of a session is applied to a connection
	adapted     int    // number of SET executed
	begun       int    // number of BEGIN executed
	spent       int    // number of statements on connections that must not be used for them

	admitted, refunded int  // admissions
	invalid            int  // number of next checks of an admission that fail
	refuse             bool // admits nothing
}

// call calls *hook once, if it is set.
func (group *fakeGroup) call(hook *func()) {
	group.mu.Lock()
	f := *hook
	*hook = nil
	group.mu.Unlock()
	if f != nil {
		f()
	}
}

// openTransactions returns the number of transactions that are open at the servers.
func (group *fakeGroup) openTransactions() int {
	group.mu.Lock()
	defer group.mu.Unlock()
	n := 0
	for _, c := range group.conns {
		if c.inTransaction && c.Usable() {
			n++
		}
	}
	return n
}

// fakeServer is a backend server of a fakeGroup.
type fakeServer struct {
	id            string
	role          statement.Role
	term          uint64
	log           []string      // committed writes received
	unapplied     int           // number of writes at the end of log that are not applied
	serviceTime   time.Duration // of one statement
	slots         chan struct{}
	handshakeTime time.Duration // of a new connection
	connLimit     int           // maximum of openConns
	openConns     int
	down          bool        // refuses connections
	unresponsive  bool        // accepts statements and connections but answers none
	busyRefusals  int         // number of next statements to refuse as overloaded
	lostAnswers   int         // number of next answers to lose after the execution
	sent          chan string // receives the text of each statement before it is executed; may be nil
}

func newFakeGroup() *fakeGroup {
	group := &fakeGroup{servers: make(map[string]*fakeServer)}
	for i, role := range []statement.Role{statement.Primary, statement.Replica, statement.Replica} {
		id := fmt.Sprintf("s%d", i+1)
		group.servers[id] = &fakeServer{id: id, role: role, term: 1, serviceTime: 10 * time.Millisecond, handshakeTime: time.Millisecond, slots: make(chan struct{}, 3), connLimit: 25}
	}
	return group
}

// state returns a directory state with the given primary.
func (group *fakeGroup) state(version, generation uint64, primary string, switching bool) directoryrpc.State {
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

// runWithGateway runs a test on synthetic time with a gateway in data centre d2
// whose lease is valid for an hour.
func runWithGateway(t *testing.T, test func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway)) {
	synctest.Test(t, func(t *testing.T) {
		group := newFakeGroup()
		g := gateway.New(gateway.Options{
			Connect: group.connect,
			Place:   gateway.Place{DataCentre: "d2", Regions: map[string]string{"d1": "r1", "d2": "r2", "d3": "r3"}},
		})
		defer g.Close()
		g.SetState(group.state(1, 1, "s1", false), config())
		g.RenewLease(clock.Now().Add(time.Hour), 1)
		test(t, is.New(t), group, g)
	})
}

func (group *fakeGroup) server(id string) *fakeServer { return group.servers[id] }

func (group *fakeGroup) countExecuted(text string) int {
	group.mu.Lock()
	defer group.mu.Unlock()
	n := 0
	for _, r := range group.executed {
		if strings.Contains(r, text) {
			n++
		}
	}
	return n
}

// update changes the group while statements may be in progress.
func (group *fakeGroup) update(f func()) {
	group.mu.Lock()
	defer group.mu.Unlock()
	f()
}

func (group *fakeGroup) connect(ctx context.Context, s directoryrpc.Server, customer string) (gateway.Conn, error) {
	srv := group.servers[s.ID]
	group.mu.Lock()
	down, unresponsive := srv.down, srv.unresponsive
	if srv.openConns >= srv.connLimit && !down && !unresponsive {
		group.refused++
		group.mu.Unlock()
		return nil, errkind.New(errkind.Overloaded, "no connection left")
	}
	if !down && !unresponsive {
		srv.openConns++
		group.openedConns++
	}
	group.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, errkind.Wrap(errkind.ConnectFailed, ctx.Err(), "silent")
	}
	if down {
		return nil, errkind.New(errkind.ConnectFailed, "refused")
	}
	srv.slots <- struct{}{} // the handshake occupies a slot
	time.Sleep(srv.handshakeTime)
	<-srv.slots
	group.call(&group.connecting)
	c := &fakeConn{group: group, server: srv, customer: customer, settings: make(map[string]string), prepared: make(map[string]statement.Request), closed: make(chan struct{})}
	group.update(func() { group.conns = append(group.conns, c) })
	return c, nil
}

// fakeConn is a connection to a fakeServer.
type fakeConn struct {
	group         *fakeGroup
	server        *fakeServer
	customer      string
	settings      map[string]string
	prepared      map[string]statement.Request
	inTransaction bool
	staged        []string
	once          sync.Once
	closed        chan struct{}
	answers       uint64
	failed        bool // an error was answered
}

func (c *fakeConn) Usable() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

func (c *fakeConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.group.mu.Lock()
		c.server.openConns--
		c.group.mu.Unlock()
	})
	return nil
}

func (c *fakeConn) Do(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error) {
	if !c.Usable() {
		return nil, errkind.New(errkind.ConnectFailed, "closed")
	}
	var answers []statement.Answer
	for _, r := range requests {
		a, ok := c.executeOne(deadline, r)
		if !ok {
			return nil, errkind.New(errkind.ServerLost, "no answer")
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// executeOne executes a statement. It returns false if no answer arrived.
func (c *fakeConn) executeOne(deadline time.Time, r statement.Request) (statement.Answer, bool) {
	s := c.server
	if r.Kind == statement.Set {
		c.group.call(&c.group.adapting)
	}
	if s.sent != nil && r.Text != "" {
		s.sent <- r.Text
	}
	if slow := r.Kind == statement.Read || r.Kind == statement.Write || r.Kind == statement.Execute || r.Kind == statement.Commit; slow {
		s.slots <- struct{}{}
		time.Sleep(s.serviceTime)
		<-s.slots
	}
	c.group.mu.Lock()
	unresponsive := s.unresponsive
	c.group.mu.Unlock()
	if unresponsive {
		select {
		case <-time.After(time.Until(deadline)):
		case <-c.closed:
		}
		return statement.Answer{}, false
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if !c.Usable() {
		return statement.Answer{}, false
	}
	if r.ID != "" && !c.inTransaction && (c.failed || c.answers >= correlation.MaxAnswers) {
		c.group.spent++
	}
	a := c.execute(r)
	a.Position = s.position()
	c.answers++
	c.failed = c.failed || a.Failure != nil
	a.Source.Number = c.answers
	a.State = statement.Idle
	if c.inTransaction {
		a.State = statement.Open
	}
	if s.lostAnswers > 0 && r.ID != "" {
		s.lostAnswers--
		return statement.Answer{}, false
	}
	if time.Now().After(deadline) {
		return statement.Answer{}, false // the answer arrives after the deadline
	}
	return a, true
}

func (s *fakeServer) position() logpos.Position {
	return logpos.Position{Term: s.term, LSN: uint64(len(s.log) - s.unapplied)}
}

// execute runs a statement. The caller holds group.mu.
func (c *fakeConn) execute(r statement.Request) statement.Answer {
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
	case r.ID != "" && s.busyRefusals > 0:
		s.busyRefusals--
		return fail(errkind.Overloaded, "BUSY")
	case !s.position().AtLeast(r.After):
		return fail(errkind.PositionNotReached, "LAGGING")
	case s.role == statement.Replica && (writes || r.Kind == statement.Begin && !r.ReadOnly):
		return fail(errkind.ReadOnlyMember, "READONLY")
	}
	if r.ID != "" {
		c.group.byCustomer = append(c.group.byCustomer, c.customer+": "+text)
		c.group.executed = append(c.group.executed, s.id+": "+text+" "+fmt.Sprint(c.settings))
	}
	switch {
	case r.Kind == statement.Set:
		c.settings[r.Name] = r.Value
		c.group.adapted++
	case r.Kind == statement.Prepare:
		c.prepared[r.Name] = r
	case r.Kind == statement.Reset:
		clear(c.settings)
		clear(c.prepared)
	case r.Kind == statement.Begin:
		c.inTransaction, c.staged = true, nil
		c.group.begun++
	case r.Kind == statement.Rollback:
		c.inTransaction, c.staged = false, nil
	case r.Kind == statement.Commit:
		s.log = append(s.log, c.staged...)
		c.inTransaction, c.staged = false, nil
	case writes && c.inTransaction:
		c.staged = append(c.staged, text)
	case writes:
		s.log = append(s.log, text)
		for _, other := range c.group.servers {
			if other != s && other.role == statement.Replica {
				other.log = append([]string(nil), s.log...)
			}
		}
	}
	return statement.Answer{Receipt: s.id + "/" + text}
}

// caller is a session with shorthands for statements.
type caller struct {
	*gateway.Session
	requests int
}

func open(t *testing.T, g *gateway.Gateway, name string) *caller {
	t.Helper()
	s, err := g.Open(t.Context(), name, "")
	if err != nil {
		t.Fatal(err)
	}
	return &caller{Session: s}
}

func (c *caller) do(kind statement.Kind, text string) statement.Answer {
	c.requests++
	return c.Execute(context.Background(), statement.Request{Kind: kind, ID: fmt.Sprint("q", c.requests), Text: text})
}

func (c *caller) read(key string) statement.Answer { return c.do(statement.Read, "FETCH "+key) }

func (c *caller) write(key string) statement.Answer { return c.do(statement.Write, "STORE "+key+" x") }

// failureKind returns the kind of an answer's failure; errkind.OK if there is
// none.
func failureKind(a statement.Answer) errkind.Kind {
	if a.Failure == nil {
		return errkind.OK
	}
	return a.Failure.Kind
}
