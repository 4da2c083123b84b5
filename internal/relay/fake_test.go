package relay_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/relay"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// backend is a backend server without a network.
type backend struct {
	mu       sync.Mutex
	executed []string
	connOf   []string       // connection of each executed statement
	open     map[string]int // connections by host
	most     int            // highest number of open connections
	customer map[string]int // connections by customer
	gate     chan struct{}  // statements wait for it after they were executed; nil if they don't
	lsn      uint64
	rows     []string // of every read
	refused  string   // text that connections refuse to send; empty for none
	refusals int      // statements refused because of it
	opened   int      // connections opened
}

// backendConn is a connection to a backend.
type backendConn struct {
	b        *backend
	host     string
	customer string
	once     sync.Once
	closed   chan struct{}
	state    statement.State
	settings map[string]string
	prepared map[string]string
}

func newBackend() *backend {
	return &backend{open: make(map[string]int), customer: make(map[string]int)}
}

func (b *backend) connect(host, customer string) gateway.Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[host]++
	b.opened++
	b.customer[customer]++
	total := 0
	for _, n := range b.open {
		total += n
	}
	b.most = max(b.most, total)
	return &backendConn{
		b: b, host: host, customer: customer, closed: make(chan struct{}), state: statement.Idle,
		settings: make(map[string]string), prepared: make(map[string]string),
	}
}

// connections returns the number of open connections of a host, of all hosts for "".
func (b *backend) connections(host string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for id, open := range b.open {
		if host == "" || id == host {
			n += open
		}
	}
	return n
}

// count returns how often statements that contain a text were executed.
func (b *backend) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.executed {
		if strings.Contains(e, text) {
			n++
		}
	}
	return n
}

// hold makes executed statements wait before they are answered, until the returned
// function is called.
func (b *backend) hold() (release func()) {
	gate := make(chan struct{})
	b.mu.Lock()
	b.gate = gate
	b.mu.Unlock()
	return sync.OnceFunc(func() {
		b.mu.Lock()
		b.gate = nil
		b.mu.Unlock()
		close(gate)
	})
}

func (c *backendConn) Usable() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

func (c *backendConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.b.mu.Lock()
		defer c.b.mu.Unlock()
		c.b.open[c.host]--
	})
	return nil
}

func (c *backendConn) Do(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error) {
	var answers []statement.Answer
	for _, r := range requests {
		if !c.Usable() {
			return nil, errkind.New(errkind.ConnectFailed, "closed")
		}
		if c.refuses(r) {
			return nil, errkind.New(errkind.BadRequest, "the text can't be sent")
		}
		a, gate := c.execute(r)
		if gate != nil {
			select {
			case <-gate:
			case <-c.closed:
				return nil, errkind.New(errkind.ServerLost, "closed")
			case <-time.After(time.Until(deadline)):
				return nil, errkind.New(errkind.ServerLost, "no answer")
			}
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// refuses reports whether a statement is refused before anything of it is sent.
func (c *backendConn) refuses(r statement.Request) bool {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.b.refused == "" || !strings.Contains(r.ID+" "+r.Text+" "+r.Name+" "+r.Value, c.b.refused) {
		return false
	}
	c.b.refusals++
	return true
}

// execute runs a statement and returns what its answer waits for.
func (c *backendConn) execute(r statement.Request) (statement.Answer, chan struct{}) {
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	text := r.Text
	switch r.Kind {
	case statement.Begin:
		c.state = statement.Open
	case statement.Commit, statement.Rollback:
		c.state = statement.Idle
	case statement.Set:
		c.settings[r.Name] = r.Value
	case statement.Reset:
		clear(c.settings)
		clear(c.prepared)
	case statement.Prepare:
		c.prepared[r.Name] = r.Value
	case statement.Execute:
		text = c.prepared[r.Name] + " " + r.Value
	}
	if r.Kind == statement.Write || r.Kind == statement.Commit {
		b.lsn++
	}
	b.connOf = append(b.connOf, fmt.Sprintf("%p", c))
	b.executed = append(b.executed, fmt.Sprintf("%s/%s %s %s %v", c.host, c.customer, r.Kind, text, c.settings))
	a := statement.Answer{State: c.state, Receipt: "r-" + text, Position: logpos.Position{Term: 1, LSN: b.lsn}}
	if r.Kind == statement.Read {
		a.Rows = b.rows
	}
	if r.ID == "" {
		return a, nil
	}
	return a, b.gate
}

// host is a gateway with both sides of the relaying.
type host struct {
	id       string
	g        *gateway.Gateway
	client   *relay.Client
	service  *relay.Service
	registry metrics.Registry
	address  string
	links    *links
}

// installation is a number of hosts and one server with a given number of usable
// connections.
type installation struct {
	t       testing.TB
	backend *backend
	hosts   []*host
	state   directoryrpc.State
	cfg     *database.Config
	list    map[string]directoryrpc.Host
}

// install returns an installation whose hosts are all in the region of the server.
func install(t testing.TB, hosts, usable int) *installation {
	in := &installation{t: t, backend: newBackend(), list: make(map[string]directoryrpc.Host)}
	in.state = directoryrpc.State{
		Version: 1, ConfigVersion: 1,
		Servers: map[string]directoryrpc.Server{"s": {ID: "s", Group: "g", DataCentre: "d", Slots: 4, Born: 7}},
		Groups:  map[string]directoryrpc.Group{"g": {Name: "g", Primary: "s", Generation: 1}},
	}
	in.cfg = &database.Config{
		Version: 1, TransactionIdle: time.Minute,
		Databases: map[string]database.Database{"db": {
			Name: "db", Group: "g", Consistency: database.Primary, StatementTimeout: 1200 * time.Millisecond, LatencyTarget: time.Second,
		}},
		Groups: map[string]database.Group{"g": {Name: "g", MaxConnections: usable + 2}},
	}
	for i := range hosts {
		in.startHost(fmt.Sprint("e", i))
	}
	for _, h := range in.hosts {
		in.apply(h)
	}
	return in
}

func (in *installation) startHost(id string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		in.t.Fatal(err)
	}
	h := &host{id: id, registry: metrics.NewRegistry(), address: ln.Addr().String(), links: new(links)}
	h.client = relay.NewClient(relay.ClientOptions{Host: id, Dial: h.links.dial, Registry: h.registry})
	h.g = gateway.New(gateway.Options{
		Connect: func(_ context.Context, _ directoryrpc.Server, customer string) (gateway.Conn, error) {
			return in.backend.connect(id, customer), nil
		},
		Relay: func(s directoryrpc.Server, customer string, order func() []string) gateway.RelayedConn {
			return h.client.Connect(s, customer, order)
		},
		Host: id, Place: gateway.Place{DataCentre: "d", Regions: map[string]string{"d": "r"}}, Registry: h.registry,
	})
	h.service = relay.NewService(relay.ServiceOptions{Gateway: h.g, Registry: h.registry})
	go func() { _ = h.service.Serve(ln) }()
	in.hosts = append(in.hosts, h)
	in.list[id] = directoryrpc.Host{ID: id, PeerAddress: h.address, DataCentre: "d"}
	in.t.Cleanup(func() {
		h.client.Close()
		h.service.Close()
		h.g.Close()
	})
}

// apply gives a host the state, the list of hosts and a lease.
func (in *installation) apply(h *host) {
	h.g.SetState(in.state, in.cfg)
	h.g.SetHosts(in.list, false)
	h.g.RenewLease(clock.Now().Add(time.Hour), len(in.hosts))
}

// roles returns the connectors in the order in which a sender tries them, and a host
// that is none.
func (in *installation) roles() (connectors []*host, sender *host) {
	for _, h := range in.hosts {
		if h.g.Dump().Members[0].Role == "sender" {
			sender = h
		}
	}
	for _, id := range sender.g.Dump().Members[0].Connectors {
		for _, h := range in.hosts {
			if h.id == id {
				connectors = append(connectors, h)
			}
		}
	}
	return connectors, sender
}

// caller is a session with shorthands.
type caller struct {
	*gateway.Session
	n int
}

func (in *installation) open(h *host) *caller {
	s, err := h.g.Open(in.t.Context(), "db", "")
	if err != nil {
		in.t.Fatal(err)
	}
	return &caller{Session: s}
}

func (c *caller) do(kind statement.Kind, text string) statement.Answer {
	c.n++
	return c.Execute(context.Background(), statement.Request{Kind: kind, ID: fmt.Sprint("q", c.n), Text: text})
}

func kindOf(a statement.Answer) errkind.Kind {
	if a.Failure == nil {
		return errkind.OK
	}
	return a.Failure.Kind
}

// eventually waits until a condition holds.
func eventually(is *is.I, check func() bool) {
	is.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if check() {
			return
		}
	}
	is.Fail()
}
