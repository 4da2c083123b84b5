package gateway

import (
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/correlation"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// maxPrepared is the number of prepared statements above which a connection is
// reset before its next use.
const maxPrepared = 200

// pooledConn is a connection together with the session settings and prepared
// statements that the server holds for it. Only one goroutine uses it at a time,
// but abort may be called by another.
type pooledConn struct {
	conn      Conn
	customer  string // under whose name it was opened; never serves another
	settings  map[string]string
	prepared  map[string]bool        // keyed by the name at the server
	idleSince time.Time              // when it was returned to the pool
	usedSince time.Time              // when it was taken from the pool
	aborted   atomic.Bool            // the connection was closed by abort
	spent     bool                   // a copy of an answer on it could be taken for a later one
	epoch     uint64                 // of the pool when the connection was opened
	skipped   func(statement.Source) // called for an answer before which copies were skipped; may be nil

	relayed  RelayedConn   // conn, if it is a logical connection; settings and prepared are not used then
	required *sessionState // relayed: state that the next statement needs
	rank     int           // relayed: of the statement or transaction
}

// sessionState is the state that a session requires on its connection.
type sessionState struct {
	settings     map[string]string
	preparedStmt *preparedStatement // the prepared statement to execute; nil if none
}

// preparedStatement is a prepared statement. All sessions of this host that
// prepare the same text share its name at the servers.
type preparedStatement struct {
	name     string // at the server
	readOnly bool
	text     string
}

func newPooledConn(conn Conn, customer string) *pooledConn {
	return &pooledConn{conn: conn, customer: customer, settings: make(map[string]string), prepared: make(map[string]bool)}
}

// adaptCost returns 0 if the connection already matches the session, 1 if
// settings or a prepared statement have to be added, and 2 if the connection
// has to be reset.
func (pc *pooledConn) adaptCost(sess sessionState) int {
	cost := 0
	if sess.preparedStmt != nil && !pc.prepared[sess.preparedStmt.name] {
		cost = 1
	}
	if maps.Equal(pc.settings, sess.settings) {
		return cost
	}
	for name := range pc.settings {
		if _, ok := sess.settings[name]; !ok {
			return 2
		}
	}
	return 1
}

// adapt applies the session's settings and prepared statement to the connection.
func (pc *pooledConn) adapt(deadline time.Time, sess sessionState) error {
	if pc.relayed != nil {
		pc.required = &sess // sent with the statement
		return nil
	}
	cost := pc.adaptCost(sess)
	if cost == 0 && len(pc.prepared) <= maxPrepared {
		return nil
	}
	var requests []statement.Request
	if cost == 2 || len(pc.prepared) > maxPrepared {
		requests = append(requests, statement.Request{Kind: statement.Reset})
		clear(pc.settings)
		clear(pc.prepared)
	}
	for name, value := range sess.settings {
		if current, ok := pc.settings[name]; !ok || current != value {
			requests = append(requests, statement.Request{Kind: statement.Set, Name: name, Value: value})
			pc.settings[name] = value
		}
	}
	if s := sess.preparedStmt; s != nil && !pc.prepared[s.name] {
		requests = append(requests, statement.Request{Kind: statement.Prepare, Name: s.name, ReadOnly: s.readOnly, Value: s.text})
		pc.prepared[s.name] = true
	}
	answers, err := pc.conn.Do(deadline, requests...)
	if pc.refusedRequest(err) {
		return errkind.Wrap(errkind.BadRequest, err, "applying the session state to the connection")
	}
	if err != nil {
		// The caller's statement was not sent.
		return errkind.Wrap(errkind.ConnectFailed, err, "applying the session state to the connection")
	}
	for i, a := range answers {
		pc.observe(a)
		if a.Failure != nil {
			return errkind.New(errkind.ConnectFailed, "the server refused %s: %s", requests[i].Kind, a.Failure.Detail)
		}
	}
	return nil
}

// refusedAnswer reports whether this host refused the answer of a server because of its
// size. The statement has run, and that is no failure of the server.
func (pc *pooledConn) refusedAnswer(err error) bool {
	kind := errkind.Of(err)
	return pc.relayed == nil && (kind == errkind.AnswerTooLarge || kind == errkind.Overloaded)
}

// refusedRequest reports whether a statement can't be sent on any connection, because a
// field of it would end the message. Nothing was sent.
func (pc *pooledConn) refusedRequest(err error) bool {
	return pc.relayed == nil && badRequest(err)
}

// badRequest reports whether a connection refused a request before it sent anything.
func badRequest(err error) bool {
	for ; err != nil; err = errors.Unwrap(err) {
		if e, ok := err.(*errkind.Error); ok && e.Kind == errkind.BadRequest {
			return true
		}
	}
	return false
}

// do sends one statement and returns its answer.
func (pc *pooledConn) do(deadline time.Time, r statement.Request) (statement.Answer, error) {
	r.Meter.Release() // of an earlier attempt
	if pc.relayed != nil {
		return pc.doRelayed(deadline, r)
	}
	answers, err := pc.conn.Do(deadline, r)
	if err != nil {
		return statement.Answer{}, err
	}
	pc.observe(answers[0])
	return answers[0], nil
}

// observe records what an answer says about its connection.
func (pc *pooledConn) observe(a statement.Answer) {
	pc.spent = pc.spent || a.Failure != nil || a.Source.Number >= correlation.MaxAnswers
	if a.Source.Skipped > 0 && pc.skipped != nil {
		pc.skipped(a.Source)
	}
}

// abort closes the connection while a statement may be using it.
func (pc *pooledConn) abort() {
	pc.aborted.Store(true)
	_ = pc.conn.Close()
}
