package entry

import (
	"bytes"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// plan is a classified cycle together with the messages to send to a server.
type plan struct {
	kind       caller.Kind
	messages   []byte // rewritten messages; nil if isLocal
	localSteps []step // the messages of the cycle, for an answer without a server
	isLocal    bool   // the entry answers the cycle itself

	executes  bool // a statement is executed, not only prepared
	isRead    bool // no statement may write; a Query of several statements counts as a write
	mayBegin  bool // may open a transaction
	readOnly  bool // opens a read-only transaction
	mayCommit bool // may commit an open transaction

	onlyEndsTx   bool // consists only of COMMIT or ROLLBACK
	onlyRollback bool // consists only of ROLLBACK

	parses []plannedParse // in the order of the ParseComplete messages
	closes []step         // in the order of the CloseComplete messages
}

// newPlan classifies the cycle and rewrites its references to prepared
// statements. If it returns an error, nothing has been sent.
func (s *session) newPlan(c caller.Cycle) (*plan, error) {
	switch c.Kind {
	case caller.KindQuery:
		return s.planQuery(c)
	case caller.KindExtended, caller.KindFlush:
		p := &planner{session: s, plan: &plan{kind: c.Kind, isRead: true}, portals: make(map[string]*preparedStatement)}
		return p.run(c)
	}
	return nil, errkind.New(errkind.Unsupported, "FunctionCall messages are not supported")
}

func (s *session) planQuery(c caller.Cycle) (*plan, error) {
	body := c.Messages[5:]
	end := bytes.IndexByte(body, 0)
	if end < 0 || end != len(body)-1 {
		return nil, newViolation("Query message is malformed")
	}
	stmts := Classify(string(body[:end]))
	p := &plan{kind: c.Kind, messages: c.Messages, isRead: len(stmts) == 1}
	txOpen := s.tx != nil
	for i := range stmts {
		if s.isLocal(stmts[i]) {
			if len(stmts) > 1 {
				return nil, errkind.New(errkind.Unsupported, "a statement that the proxy answers must be alone in its Query")
			}
			p.isLocal = true
			p.localSteps = []step{{messageType: 'Q', stmt: &preparedStatement{stmt: stmts[i]}}}
			return p, nil
		}
		if err := s.checkAllowed(stmts[i], txOpen); err != nil {
			return nil, err
		}
		p.recordExecute(stmts[i])
		txOpen = txOpen || p.mayBegin
	}
	return p, nil
}

// isLocal reports whether the entry answers the statement itself. It also answers
// COMMIT and ROLLBACK of an abandoned transaction, which no server has open.
func (s *session) isLocal(stmt Statement) bool {
	if s.tx != nil && s.tx.abandoned && (stmt.Class == ClassCommit || stmt.Class == ClassRollback) {
		return true
	}
	return stmt.Class.answeredLocally()
}

// checkAllowed returns an error if the statement must not be sent to a server.
// inTransaction reports whether a transaction is open when the statement is executed.
func (s *session) checkAllowed(stmt Statement, inTransaction bool) error {
	switch {
	case stmt.Class == ClassUnsupported:
		return errkind.New(errkind.Unsupported, "%s", stmt.Reason)
	case s.tx != nil && s.tx.abandoned:
		return errAborted()
	case stmt.Class == ClassTransaction && !inTransaction:
		return &caller.SQLState{Code: "25P01", Detail: "the statement can only be used in a transaction block"}
	}
	return nil
}

// errAborted returns PostgreSQL's error in_failed_sql_transaction.
func errAborted() error {
	return &caller.SQLState{Code: "25P02", Detail: "current transaction is aborted, commands ignored until end of transaction block"}
}

// recordExecute records that the cycle executes a statement of the given class.
func (p *plan) recordExecute(stmt Statement) {
	p.onlyEndsTx = !p.executes && (stmt.Class == ClassCommit || stmt.Class == ClassRollback)
	p.onlyRollback = !p.executes && stmt.Class == ClassRollback
	p.executes = true
	switch stmt.Class {
	case ClassRead:
	case ClassBeginReadOnly:
		p.mayBegin, p.readOnly = true, p.isRead
	case ClassBegin:
		p.mayBegin, p.isRead = true, false
	case ClassCommit:
		p.mayCommit = true
	default:
		p.isRead = false
	}
	if !p.isRead {
		p.readOnly = false
	}
}
