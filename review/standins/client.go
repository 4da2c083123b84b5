package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// answerTimeout is how long a client waits for an answer. It is longer than every
// route's timeout.
const answerTimeout = 5 * time.Second

var lastRequest atomic.Int64

// session is a client's connection to an entry host.
type session struct {
	wire *wireNames
	rec  *record
	name string
	host string
	conn net.Conn
	r    *bufio.Reader
}

// answer is the answer to one statement.
type answer struct {
	request string
	success bool
	code    string // of the error; "" for none or without an answer
	rows    []string
	state   string
	at      time.Time
}

// openSession connects to an entry host and waits for the answer to the first line,
// for at most limit.
func openSession(w *wireNames, rec *record, name, host, address, database string, limit time.Duration) (*session, error) {
	c, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	s := &session{wire: w, rec: rec, name: name, host: host, conn: c, r: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c, "%s %s %s\r\n", w.Words["connect"], database, name); err != nil {
		return nil, err
	}
	line, err := s.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, w.Words["ready"]) {
		_ = c.Close()
		return nil, fmt.Errorf("%s: answer to the first line: %q, %v", host, line, err)
	}
	return s, nil
}

// do sends one statement, whose first word is a key of wireNames.Words, and returns
// its answer. An answer without success and code did not come.
func (s *session) do(word, rest string) answer {
	a := answer{request: fmt.Sprintf("%016x", lastRequest.Add(1)+0x5c0e7a2100000000)}
	text := strings.TrimSpace(s.wire.Words[word] + " " + rest)
	s.rec.add("client %s sends to %s: %s %s", s.name, s.host, a.request, text)
	_ = s.conn.SetDeadline(time.Now().Add(answerTimeout))
	_, err := fmt.Fprintf(s.conn, "%s %s %s\r\n", s.wire.Words["query"], a.request, text)
	for err == nil && a.state == "" {
		var line string
		if line, err = s.r.ReadString('\n'); err != nil {
			break
		}
		first, fields, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch first {
		case s.wire.Words["row"]:
			a.rows = append(a.rows, fields)
		case s.wire.Words["complete"]:
			a.success = true
		case s.wire.Words["error"]:
			a.code, _, _ = strings.Cut(fields, " ")
			a.rows = append(a.rows, fields)
		case s.wire.Words["ready"]:
			a.state, _, _ = strings.Cut(fields, " ")
		}
	}
	a.at = time.Now()
	s.rec.add("client %s gets for %s: success %v, error %q, rows %q, state %s, connection error %v", s.name, a.request, a.success, a.code, a.rows, a.state, err)
	return a
}

func (s *session) close() { _ = s.conn.Close() }
