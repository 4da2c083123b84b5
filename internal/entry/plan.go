package entry

import (
	"bytes"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// plan is what a cycle asks for and the messages that carry it to a server.
type plan struct {
	kind     caller.Kind
	messages []byte // rewritten messages; nil if the entry answers itself
	local    []step // answered by the entry itself
	isLocal  bool

	executes bool // something is executed, as opposed to prepared only
	read     bool // everything in it is a read
	begin    bool // may open a transaction
	readOnly bool // opens a read-only transaction
	commit   bool // may commit an open transaction

	ends     bool // nothing but the end of the transaction
	rollback bool // nothing but ROLLBACK

	parses []parsed // in the order of the ParseComplete messages
	closes []step   // in the order of the CloseComplete messages
}

// newPlan classifies the cycle and rewrites its references to prepared
// statements. An error means that nothing is sent.
func (s *session) newPlan(c caller.Cycle) (*plan, error) {
	switch c.Kind {
	case caller.KindQuery:
		return s.planQuery(c)
	case caller.KindExtended, caller.KindFlush:
		p := &planner{session: s, plan: &plan{kind: c.Kind, read: true}, portals: make(map[string]*prepared)}
		return p.run(c)
	}
	return nil, errkind.New(errkind.Unsupported, "FunctionCall messages are not supported")
}

func (s *session) planQuery(c caller.Cycle) (*plan, error) {
	body := c.Messages[5:]
	end := bytes.IndexByte(body, 0)
	if end < 0 || end != len(body)-1 {
		return nil, violation("Query message is malformed")
	}
	stmts := Classify(string(body[:end]))
	p := &plan{kind: c.Kind, messages: c.Messages, read: len(stmts) == 1}
	opened := s.tx != nil
	for i := range stmts {
		if s.isLocal(stmts[i]) {
			if len(stmts) > 1 {
				return nil, errkind.New(errkind.Unsupported, "a statement that the proxy answers must be alone in its Query")
			}
			p.isLocal = true
			p.local = []step{{message: 'Q', stmt: &prepared{stmt: stmts[i]}}}
			return p, nil
		}
		if err := s.admit(stmts[i], opened); err != nil {
			return nil, err
		}
		p.execute(stmts[i])
		opened = opened || p.begin
	}
	return p, nil
}

// isLocal reports whether the entry answers the statement itself. After the
// loss of a transaction there is no server to ask for its end.
func (s *session) isLocal(stmt Statement) bool {
	if s.tx != nil && s.tx.failed && (stmt.Class == ClassCommit || stmt.Class == ClassRollback) {
		return true
	}
	return stmt.Class.local()
}

// admit refuses what must not reach a server.
func (s *session) admit(stmt Statement, inTransaction bool) error {
	switch {
	case stmt.Class == ClassUnsupported:
		return errkind.New(errkind.Unsupported, "%s", stmt.Reason)
	case s.tx != nil && s.tx.failed:
		return errAborted()
	case stmt.Class == ClassTransaction && !inTransaction:
		return &caller.SQLState{Code: "25P01", Detail: "the statement can only be used in a transaction block"}
	}
	return nil
}

func errAborted() error {
	return &caller.SQLState{Code: "25P02", Detail: "current transaction is aborted, commands ignored until end of transaction block"}
}

// execute records that the cycle executes a statement of that class.
func (p *plan) execute(stmt Statement) {
	p.ends = !p.executes && (stmt.Class == ClassCommit || stmt.Class == ClassRollback)
	p.rollback = !p.executes && stmt.Class == ClassRollback
	p.executes = true
	switch stmt.Class {
	case ClassRead:
	case ClassBeginReadOnly:
		p.begin, p.readOnly = true, p.read
	case ClassBegin:
		p.begin, p.read = true, false
	case ClassCommit:
		p.commit = true
	default:
		p.read = false
	}
	if !p.read {
		p.readOnly = false
	}
}
