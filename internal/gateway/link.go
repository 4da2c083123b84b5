package gateway

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// maxPrepared bounds the statements that are kept prepared on a connection.
const maxPrepared = 200

// link is a connection with the session values and prepared statements that
// the server holds for it. One goroutine uses it at a time; cut may be set by
// another.
type link struct {
	conn     Conn
	values   map[string]string
	prepared map[string]bool // by name at the server
	since    time.Time       // start of its idle time
	cut      atomic.Bool     // the connection must not be used again
}

// sessionState is what a session expects of its connection.
type sessionState struct {
	values map[string]string
	shape  *shape // prepared statement that is about to be executed; nil if none
}

// shape is a prepared statement. All sessions of this host that prepare the
// same share one name at the servers.
type shape struct {
	name     string // at the server
	readOnly bool
	text     string
}

func newLink(conn Conn) *link {
	return &link{conn: conn, values: make(map[string]string), prepared: make(map[string]bool)}
}

// cost returns 0 if nothing has to be changed for the session, 1 if values or
// a statement have to be added, and 2 if the connection has to be reset.
func (l *link) cost(sess sessionState) int {
	cost := 0
	if sess.shape != nil && !l.prepared[sess.shape.name] {
		cost = 1
	}
	if maps.Equal(l.values, sess.values) {
		return cost
	}
	for name := range l.values {
		if _, ok := sess.values[name]; !ok {
			return 2
		}
	}
	return 1
}

// adapt makes the connection equal to the session.
func (l *link) adapt(deadline time.Time, sess sessionState) error {
	cost := l.cost(sess)
	if cost == 0 && len(l.prepared) <= maxPrepared {
		return nil
	}
	var requests []statement.Request
	if cost == 2 || len(l.prepared) > maxPrepared {
		requests = append(requests, statement.Request{Kind: statement.Reset})
		clear(l.values)
		clear(l.prepared)
	}
	for name, value := range sess.values {
		if now, ok := l.values[name]; !ok || now != value {
			requests = append(requests, statement.Request{Kind: statement.Set, Name: name, Value: value})
			l.values[name] = value
		}
	}
	if s := sess.shape; s != nil && !l.prepared[s.name] {
		requests = append(requests, statement.Request{Kind: statement.Prepare, Name: s.name, ReadOnly: s.readOnly, Value: s.text})
		l.prepared[s.name] = true
	}
	answers, err := l.conn.Do(deadline, requests...)
	if err != nil {
		// Nothing of the caller was sent.
		return errkind.Wrap(errkind.ConnectFailed, err, "preparing the connection")
	}
	for i, a := range answers {
		if a.Failure != nil {
			return errkind.New(errkind.ConnectFailed, "the server refused %s: %s", requests[i].Kind, a.Failure.Detail)
		}
	}
	return nil
}

// do sends one statement.
func (l *link) do(deadline time.Time, r statement.Request) (statement.Answer, error) {
	answers, err := l.conn.Do(deadline, r)
	if err != nil {
		return statement.Answer{}, err
	}
	return answers[0], nil
}

// sever closes the connection under the statement that uses it.
func (l *link) sever() {
	l.cut.Store(true)
	_ = l.conn.Close()
}
