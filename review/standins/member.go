package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// member is a stand-in for one database server of a group.
type member struct {
	group    *group
	wire     *wireNames
	id       string // also its machine in the network
	zone     string
	address  string
	born     int64
	controls []controlAddress
	slots    chan struct{}
	soon     chan struct{} // capacity 1; asks for a heartbeat at once
	listener net.Listener

	// Guarded by group.mu:
	up           bool
	draining     bool
	role         string
	term         uint64
	log          []entry
	reachedSince time.Time // when an old primary began to reach the new one
	connections  int
	conns        []net.Conn // all that were accepted
	sequence     int
	lastCoreConn time.Time // when control last tried to connect
	drainingAt   time.Time // when the draining state was acknowledged; zero if it was not
}

// controlAddress is a control address and its machine.
type controlAddress struct {
	machine, address string
}

// followedTerm returns the term above which m follows a primary: a replica follows
// that of its own term, too.
func (m *member) followedTerm() uint64 {
	if m.role == "primary" {
		return m.term
	}
	return m.term - 1
}

// becomeReplica ends the lead of m. The caller holds group.mu.
func (m *member) becomeReplica(why string) {
	m.role, m.reachedSince = "replica", time.Time{}
	m.group.rec.say("member %s leads no longer: %s", m.id, why)
	m.announceSoon()
}

func (m *member) announceSoon() {
	select {
	case m.soon <- struct{}{}:
	default:
	}
}

func (m *member) position() string { return fmt.Sprintf("%d.%d", m.term, len(m.log)) }

// loopHeartbeats sends heartbeats until done is closed.
func (m *member) loopHeartbeats(done <-chan struct{}) {
	for next := 0; ; {
		m.group.mu.Lock()
		up, draining := m.up, m.draining
		m.sequence++
		state := "ready"
		if draining {
			state = "draining"
		}
		body := fill(m.wire.Heartbeat, map[string]any{
			"service": m.group.service, "address": m.address, "zone": m.zone, "state": state,
			"role": m.role, "sequence": m.sequence, "born": m.born,
		})
		m.group.mu.Unlock()
		for range len(m.controls) {
			c := m.controls[next%len(m.controls)]
			if !up || m.sendHeartbeat(c, body) {
				break
			}
			next++
		}
		select {
		case <-done:
			return
		case <-m.soon:
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends a heartbeat and reports whether it was acknowledged.
func (m *member) sendHeartbeat(c controlAddress, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	if !m.group.net.await(m.id, c.machine, heartbeatTimeout) {
		return false
	}
	status := post(ctx, "http://"+c.address+m.path("heartbeat"), body)
	if status/100 != 2 {
		return false
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if bytes.Contains(body, []byte(`"draining"`)) && m.drainingAt.IsZero() {
		m.drainingAt = time.Now()
		m.group.rec.say("%s acknowledged that member %s is draining", c.machine, m.id)
	}
	return true
}

// path returns the path of a call about the member.
func (m *member) path(call string) string { return fmt.Sprintf(m.wire.Paths[call], m.id) }

// leave ends the member: it deregisters, closes its connections and is gone.
func (m *member) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	body := fmt.Appendf(nil, `{"born":%d}`, m.born)
	status := post(ctx, "http://"+m.controls[0].address+m.path("deregister"), body)
	m.group.rec.say("member %s deregisters (status %d) and ends", m.id, status)
	m.group.mu.Lock()
	m.up = false
	conns := m.conns
	m.conns = nil
	m.group.mu.Unlock()
	_ = m.listener.Close()
	for _, c := range conns {
		_ = c.Close()
	}
}

// post returns the status of a POST call, or 0 without a response.
func post(ctx context.Context, url string, body []byte) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = reply.Body.Close()
	return reply.StatusCode
}

// loop serves connections until the listener is closed.
func (m *member) loop() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		m.conns = append(m.conns, c)
		m.group.mu.Unlock()
		s := &memberConn{member: m, conn: c, state: "I", prepared: make(map[string]string)}
		go s.run()
	}
}

// memberConn is one connection to a member.
type memberConn struct {
	member   *member
	conn     net.Conn
	sender   string // machine at the other end
	state    string
	tx       []entry // writes of the open transaction
	readOnly bool
	term     uint64 // of the lead under which the transaction was begun
	prepared map[string]string
}

// run serves the connection until it ends or its other end is unreachable.
func (s *memberConn) run() {
	defer func() { _ = s.conn.Close() }()
	s.sender = s.member.group.net.caller(s.conn)
	s.recordSender()
	r := bufio.NewReader(s.conn)
	line, ok := s.read(r)
	if !ok {
		return
	}
	if !s.open(line) {
		return
	}
	defer s.countConnection(-1)
	for {
		line, ok := s.read(r)
		if !ok {
			return
		}
		fields := strings.SplitN(line, " ", 3)
		if len(fields) < 3 || fields[0] != s.word("query") {
			return
		}
		if !s.write(s.execute(fields[1], fields[2])) {
			return
		}
	}
}

// recordSender records when a connection of a control host came.
func (s *memberConn) recordSender() {
	if !strings.HasPrefix(s.sender, "core-") {
		return
	}
	s.member.group.mu.Lock()
	defer s.member.group.mu.Unlock()
	s.member.lastCoreConn = time.Now()
}

func (s *memberConn) word(name string) string { return s.member.wire.Words[name] }

func (s *memberConn) read(r *bufio.Reader) (string, bool) {
	line, err := r.ReadString('\n')
	ok := s.member.group.net.await(s.sender, s.member.id, unreachableConnTime)
	return strings.TrimRight(line, "\r\n"), ok && err == nil
}

func (s *memberConn) write(text string) bool {
	if !s.member.group.net.await(s.sender, s.member.id, unreachableConnTime) {
		return false
	}
	_, err := s.conn.Write([]byte(text))
	return err == nil
}

// countConnection adds to the number of connections and returns it.
func (s *memberConn) countConnection(n int) int {
	s.member.group.mu.Lock()
	defer s.member.group.mu.Unlock()
	s.member.connections += n
	return s.member.connections
}

// open answers the first line.
func (s *memberConn) open(line string) bool {
	m := s.member
	fields := strings.Fields(line)
	wrong := len(fields) < 3 || fields[0] != s.word("connect") || fields[1] != m.group.service || len(fields) > 3 && fields[3] != m.id
	if wrong {
		s.write(s.word("error") + " " + s.word("wrong_node") + " " + m.id + "\r\n")
		return false
	}
	if s.countConnection(1) > memberConnections {
		s.countConnection(-1)
		s.write(s.word("error") + " " + s.word("connection_limit") + " " + m.id + "\r\n")
		return false
	}
	time.Sleep(connectTime)
	m.group.mu.Lock()
	position := m.position()
	m.group.mu.Unlock()
	return s.write(s.word("ready") + " I " + position + "\r\n")
}

// execute runs one statement and returns the whole answer.
func (s *memberConn) execute(id, text string) string {
	m := s.member
	arrived := time.Now()
	m.slots <- struct{}{}
	time.Sleep(statementTime)
	defer func() { <-m.slots }()
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.state == "I" && id != "-" {
		g.arrivals = append(g.arrivals, arrival{m.id, s.sender, id, arrived})
	}
	answer := s.answer(id, text)
	if !strings.HasSuffix(text, s.word("status")) {
		g.rec.add("member %s (%s, term %d) ran for %s: %s %s -> %s", m.id, m.role, m.term, s.sender, id, text, strings.TrimSpace(strings.ReplaceAll(answer, "\r\n", " | ")))
	}
	return answer + s.word("ready") + " " + s.state + " " + m.position() + "\r\n"
}

// answer runs one statement and returns its answer up to the READY line. The caller
// holds group.mu.
func (s *memberConn) answer(id, text string) string {
	m := s.member
	word, rest, _ := strings.Cut(text, " ")
	if word == s.word("wait") {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		if !m.has(position) {
			return s.fail("lagging")
		}
		word, rest, _ = strings.Cut(text, " ")
	}
	if word == s.word("execute") {
		name, values, _ := strings.Cut(rest, " ")
		kind, ok := s.prepared[name]
		if !ok {
			return s.fail("no_statement")
		}
		word, rest = kind, values
	}
	lost := s.state == "T" && !s.readOnly && (m.role != "primary" || m.term != s.term)
	switch word {
	case s.word("begin"):
		s.readOnly, s.term, s.tx = rest != "", m.term, nil
		if !s.readOnly && m.role != "primary" {
			return s.fail("read_only")
		}
		s.state = "T"
		return s.complete("-")
	case s.word("rollback"):
		s.state, s.tx = "I", nil
		return s.complete("-")
	case s.word("commit"):
		return s.commit(id, lost)
	case s.word("read"):
		if lost {
			return s.fail("read_only")
		}
		return s.word("row") + " " + m.value(rest) + "\r\n" + s.complete(m.group.receipt(m))
	case s.word("write"):
		if lost || m.role != "primary" || s.state == "T" && s.readOnly {
			return s.fail("read_only")
		}
		item, value, _ := strings.Cut(rest, " ")
		s.tx = append(s.tx, entry{item: item, value: value})
		if s.state == "I" {
			s.apply(id)
		}
		return s.complete(m.group.receipt(m))
	case s.word("prepare"):
		fields := strings.Fields(rest)
		s.prepared[fields[0]] = fields[1]
		return s.complete("-")
	case s.word("reset"):
		clear(s.prepared)
		return s.complete("-")
	case s.word("status"):
		return fmt.Sprintf("%s %s %d %s 0 0 %d %d\r\n", s.word("row"), m.role, m.term, m.position(), len(m.slots), m.connections) + s.complete("-")
	case s.word("demote"):
		if term, err := strconv.ParseUint(rest, 10, 64); err == nil && m.role == "primary" && m.term < term {
			m.becomeReplica("it was told so by " + s.sender)
		}
		return fmt.Sprintf("%s %s %d %s 0 0 %d %d\r\n", s.word("row"), m.role, m.term, m.position(), len(m.slots), m.connections) + s.complete("-")
	}
	return s.complete("-") // SET and the like change nothing that a test looks at
}

// commit ends the open transaction. lost reports that the member has lost the lead
// since the transaction was begun.
func (s *memberConn) commit(id string, lost bool) string {
	failed := s.state != "T"
	s.state = "I"
	if failed || lost && len(s.tx) > 0 {
		s.tx = nil
		return s.word("error") + " " + s.word("read_only") + " " + s.member.id + "\r\n"
	}
	if len(s.tx) > 0 {
		s.apply(id)
	}
	return s.complete(s.member.group.receipt(s.member))
}

// apply commits the writes of the transaction.
func (s *memberConn) apply(id string) {
	m := s.member
	for _, e := range s.tx {
		e.term = m.term
		m.log = append(m.log, e)
	}
	s.tx = nil
	m.group.commits = append(m.group.commits, commit{member: m.id, sender: s.sender, request: id, at: time.Now()})
}

func (s *memberConn) complete(receipt string) string {
	return s.word("complete") + " " + receipt + "\r\n"
}

// fail returns an error of a statement that did not run. It fails an open
// transaction.
func (s *memberConn) fail(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return s.word("error") + " " + s.word(code) + " " + s.member.id + "\r\n"
}

// has reports whether the log has a position TERM.NUMBER.
func (m *member) has(position string) bool {
	var term uint64
	var number int
	_, err := fmt.Sscanf(position, "%d.%d", &term, &number)
	return err == nil && (m.term > term || m.term == term && len(m.log) >= number)
}

// value returns the newest value of an item in the log.
func (m *member) value(item string) string {
	for i := len(m.log) - 1; i >= 0; i-- {
		if m.log[i].item == item {
			return m.log[i].value
		}
	}
	return "none"
}
