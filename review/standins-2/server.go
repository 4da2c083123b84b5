package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the interval between two heartbeats of a server.
const heartbeatInterval = 1200 * time.Millisecond

// server is a backend server. Its fields below conns are guarded by group.mu.
type server struct {
	group    *group
	id, zone string
	listener net.Listener
	in       *installation
	slots    chan struct{}
	beat     chan struct{} // capacity 1: announce now

	connMu sync.Mutex
	conns  map[net.Conn]struct{}

	born       time.Time
	sequence   int
	primary    bool
	term       int // of the log
	held       int // highest term that the server knows of; it receives from no primary of a lower one
	log        []entry
	cutFrom    []*machine // partitioned from these, and from the other servers
	down       bool       // crashed
	superseded time.Time
	changed    chan struct{} // closed when cut or down ends
}

func newServer(in *installation, g *group, id, zone, address string) (*server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		group: g, id: id, zone: zone, listener: ln, in: in, slots: make(chan struct{}, serverSlots), beat: make(chan struct{}, 1),
		conns: make(map[net.Conn]struct{}), born: time.Now(), term: 1, changed: make(chan struct{}),
	}
	g.servers = append(g.servers, s)
	go s.loop()
	return s, nil
}

// reachable reports whether packets of the other servers and of control reach the
// server; the caller holds group.mu.
func (s *server) reachable() bool { return len(s.cutFrom) == 0 && !s.down }

// reachableFrom reports whether packets of a machine reach the server; the caller holds
// group.mu.
func (s *server) reachableFrom(m *machine) bool { return !s.down && !slices.Contains(s.cutFrom, m) }

// awaitReachable blocks while the server is cut off from a machine or down. It returns
// false if the connection has not survived that.
func (s *server) awaitReachable(from *machine, born time.Time) bool {
	for {
		s.group.mu.Lock()
		if s.born != born {
			s.group.mu.Unlock()
			return false
		}
		if s.reachableFrom(from) {
			s.group.mu.Unlock()
			return true
		}
		changed := s.changed
		s.group.mu.Unlock()
		<-changed
	}
}

// cutOff cuts the server off from the other servers and from some machines, silently.
func (s *server) cutOff(machines []*machine) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.cutFrom = machines
	s.group.rec.say("server %s: cut off from the other servers and from %d of %d machines", s.id, len(machines), len(s.in.machines))
	s.wake()
}

// heal ends a cut.
func (s *server) heal() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.cutFrom = nil
	s.group.rec.say("server %s: the cut ends", s.id)
	s.wake()
}

// wake ends the waits for a change; the caller holds group.mu.
func (s *server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// goDark crashes the server without a word to anybody.
func (s *server) goDark() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = true
	s.group.rec.say("server %s: goes dark at position %s", s.id, s.position())
	s.wake()
}

// comeBack starts a crashed server again with its log: as a replica if another one was
// promoted meanwhile.
func (s *server) comeBack() {
	s.group.mu.Lock()
	s.down, s.born, s.sequence = false, time.Now(), 0
	s.primary = s.primary && s.term == s.group.term
	s.group.rec.say("server %s: is back at position %s, primary %t", s.id, s.position(), s.primary)
	s.wake()
	s.group.mu.Unlock()
	s.connMu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.connMu.Unlock()
	s.announce()
}

// loop accepts connections until the listener is closed.
func (s *server) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		born := s.born
		s.group.mu.Unlock()
		s.connMu.Lock()
		s.conns[c] = struct{}{}
		s.connMu.Unlock()
		conn := &serverConn{server: s, conn: c, born: born}
		go conn.run()
	}
}

// serverConn is one connection to a server.
type serverConn struct {
	server *server
	conn   net.Conn
	born   time.Time
	from   *machine // set by run
}

func (c *serverConn) run() {
	defer func() {
		_ = c.conn.Close()
		c.server.connMu.Lock()
		delete(c.server.conns, c.conn)
		c.server.connMu.Unlock()
	}()
	if c.from = c.server.in.owner(c.conn.RemoteAddr()); c.from == nil {
		c.server.group.rec.note("server %s: no process has the connection from %s", c.server.id, c.conn.RemoteAddr())
		return
	}
	r := bufio.NewReader(c.conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil || !c.server.awaitReachable(c.from, c.born) {
			return
		}
		answer, keep := c.server.handle(strings.TrimSuffix(line, "\r\n"))
		if !c.server.awaitReachable(c.from, c.born) {
			return
		}
		if _, err := c.conn.Write([]byte(answer)); err != nil || !keep {
			return
		}
	}
}

// handle runs one message and returns the answer.
func (s *server) handle(line string) (answer string, keep bool) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case wire.Connect:
		fields := strings.Fields(rest)
		if len(fields) < 2 || fields[0] != serviceName || len(fields) > 2 && fields[2] != s.id {
			return wire.Error + " " + wire.WrongNode + " " + s.id + "\r\n", false
		}
		return s.readyLine(), true
	case wire.Query:
		id, text, _ := strings.Cut(rest, " ")
		return s.query(id, text) + s.readyLine(), true
	}
	return "", false
}

// serviceName is the name of the one service.
const serviceName = "orders-main"

func (s *server) readyLine() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return wire.Ready + " I " + s.position() + "\r\n"
}

// query runs a statement and returns its answer without the last line.
func (s *server) query(id, text string) string {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	word, rest, _ := strings.Cut(text, " ")
	required := ""
	if word == wire.WaitPosition {
		required, text, _ = strings.Cut(rest, " ")
		word, _, _ = strings.Cut(text, " ")
	}
	switch word {
	case wire.Status, wire.StepDown:
		return s.status(word, rest)
	case wire.Fetch, wire.Store:
		time.Sleep(statementTime)
		return s.execute(id, word, text, required)
	}
	return wire.Complete + " -\r\n"
}

func (s *server) status(word, rest string) string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if term, err := strconv.Atoi(rest); word == wire.StepDown && err == nil && s.primary && s.term < term {
		s.primary = false
	}
	role := s.role()
	return fmt.Sprintf("%s %s %d %s %d 0 0 1\r\n%s -\r\n", wire.Row, role, s.term, s.position(), max(s.term, s.held), wire.Complete)
}

// role returns the name of the role; the caller holds group.mu.
func (s *server) role() string {
	if s.primary {
		return "primary"
	}
	return "replica"
}

func (s *server) execute(id, word, text, required string) string {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.down {
		return "" // it was running when the server went down
	}
	if required != "" && !s.has(required) {
		return wire.Error + " " + wire.Lagging + " " + s.id + "\r\n"
	}
	if word == wire.Fetch {
		g.reads = append(g.reads, read{s.id, id, s.term, s.log})
		g.rec.note("server %s runs %s %s: log at %s", s.id, id, text, s.position())
		return fmt.Sprintf("%s value\r\n%s %s.%s\r\n", wire.Row, wire.Complete, s.id, id)
	}
	if !s.primary {
		return wire.Error + " " + wire.ReadOnly + " " + s.id + "\r\n"
	}
	e := entry{s.term, id, time.Now()}
	s.log = append(s.log, e)
	g.commits = append(g.commits, commit{s.id, e})
	g.rec.note("server %s runs %s %s: commit %s", s.id, id, text, s.position())
	return fmt.Sprintf("%s %s.%s\r\n", wire.Complete, s.id, id)
}

// has reports whether the log has reached a position; the caller holds group.mu.
func (s *server) has(position string) bool {
	var term, number int
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil {
		return false
	}
	return s.term > term || s.term == term && len(s.log) >= number
}

// announce sends a heartbeat soon.
func (s *server) announce() {
	select {
	case s.beat <- struct{}{}:
	default:
	}
}

// announcer sends the heartbeats of a server.
type announcer struct {
	server *server
	client *http.Client
}

// loop sends heartbeats until stop is closed.
func (a *announcer) loop(stop <-chan struct{}) {
	next := 0
	for {
		s := a.server
		s.group.mu.Lock()
		reachable := s.reachable()
		s.sequence++
		body := fmt.Sprintf(heartbeatText, s.listener.Addr(), s.zone, s.role(), s.sequence, s.born.UnixMilli())
		s.group.mu.Unlock()
		if reachable {
			for range 6 {
				if a.send(body, next) == nil {
					break
				}
				next++
			}
		}
		select {
		case <-stop:
			return
		case <-s.beat:
		case <-time.After(heartbeatInterval):
		}
	}
}

// send sends a heartbeat to one of the control machines.
func (a *announcer) send(body string, n int) error {
	controls := a.server.in.controls()
	address := controls[n%len(controls)]
	resp, err := a.client.Post("http://"+address+fmt.Sprintf(wire.HeartbeatPath, a.server.id), "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.New(resp.Status)
	}
	return nil
}
