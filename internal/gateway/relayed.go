package gateway

import (
	"errors"
	"time"

	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// RelayedConn is a logical connection to a backend server. It sends statements
// through another host, the connector, which lends a connection of its own for each
// statement or transaction. Opening one costs nothing.
//
// Besides the errors of Conn.Do, DoRelayed returns those with which a connector
// refuses a statement. Their outcome is errkind.NotRun, and the connection remains
// usable if it is not in a transaction.
type RelayedConn interface {
	Conn
	// DoRelayed sends a statement together with the session state that it needs.
	DoRelayed(deadline time.Time, s RelayedStatement) (statement.Answer, error)
	// Probe asks a connector whether the server answers.
	Probe(deadline time.Time) error
}

// RelayedStatement is a statement with what a connector needs to run it.
type RelayedStatement struct {
	Request  statement.Request
	Rank     int
	HasState bool              // Settings and Prepared are required on the connection
	Settings map[string]string // session values
	Prepared *PreparedText     // the statement of an EXECUTE; nil for others
}

// PreparedText is the text of a prepared statement.
type PreparedText struct {
	Text     string
	ReadOnly bool
}

// ConnectorError reports that a connector failed, and says nothing about the server.
type ConnectorError struct {
	Host string // address of the connector
	Err  error
}

// Error returns the text of the cause with the connector.
func (e *ConnectorError) Error() string { return "connector " + e.Host + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectorError) Unwrap() error { return e.Err }

// connectorFailed reports whether err is about a connector and not about the server.
func connectorFailed(err error) bool {
	var failed *ConnectorError
	return errors.As(err, &failed)
}

// refusedByConnector reports whether a connector refused a statement, which may be
// sent again. On a connection to a server the same kinds mean that the answer was
// refused, see refusedAnswer.
func (pc *pooledConn) refusedByConnector(err error) bool {
	if pc.relayed == nil {
		return false
	}
	switch kind := errkind.Of(err); kind {
	case errkind.OK, errkind.ConnectFailed:
		return false
	default:
		return kind.Info().Outcome == errkind.NotRun
	}
}

// doRelayed sends a statement on a logical connection, with the session state of the
// last call of adapt. The end of a transaction needs none.
func (pc *pooledConn) doRelayed(deadline time.Time, r statement.Request) (statement.Answer, error) {
	s := RelayedStatement{Request: r, Rank: pc.rank}
	if sess := pc.required; sess != nil && r.Kind != statement.Commit && r.Kind != statement.Rollback {
		s.HasState, s.Settings = true, sess.settings
		if p := sess.preparedStmt; p != nil && r.Kind == statement.Execute {
			s.Prepared = &PreparedText{Text: p.text, ReadOnly: p.readOnly}
		}
	}
	return pc.relayed.DoRelayed(deadline, s)
}
