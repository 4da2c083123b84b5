package entry

import (
	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// planner builds the plan of an extended-protocol cycle. A server knows only the
// unnamed statement, because the next cycle may run at another server: before
// each reference to a named statement, the planner inserts a Parse of it where
// necessary.
type planner struct {
	session         *session
	plan            *plan
	added           map[string]*preparedStatement // statements that this cycle parses, by name
	closed          map[string]bool               // names of the statements that this cycle closes
	portals         map[string]*preparedStatement // portals that this cycle binds, by name
	unnamed         *preparedStatement            // the unnamed statement at the server at this point; nil if not known
	out             []byte                        // rewritten messages
	needsServer     bool                          // the cycle can't be answered without a server
	txOpen          bool                          // a transaction is open, or this cycle opens one
	preparesNonRead bool                          // a statement that is not a read is prepared
}

func (p *planner) run(c caller.Cycle) (*plan, error) {
	p.txOpen = p.session.tx != nil
	p.out = make([]byte, 0, len(c.Messages)+64)
	for rest := c.Messages; len(rest) > 0; {
		message, next, ok := nextMessage(rest)
		if !ok {
			return nil, newViolation("message is truncated")
		}
		if err := p.planMessage(message); err != nil {
			return nil, err
		}
		rest = next
	}
	plan := p.plan
	if !p.needsServer {
		plan.isLocal = true
		return plan, nil
	}
	for _, st := range plan.localSteps {
		if st.stmt != nil && p.session.isLocal(st.stmt.stmt) {
			return nil, errkind.New(errkind.Unsupported, "a statement that the proxy answers must not share a cycle with others")
		}
	}
	if c.Kind == caller.KindFlush {
		if plan.executes {
			return nil, errkind.New(errkind.Unsupported, "Flush after Execute or Bind is not supported; use Sync")
		}
		p.out = append(p.out, 'S', 0, 0, 0, 4)
	}
	if !plan.executes && p.preparesNonRead {
		plan.isRead = false
	}
	plan.messages = p.out
	return plan, nil
}

func (p *planner) planMessage(m []byte) error {
	switch m[0] {
	case 'P':
		return p.parse(m)
	case 'B':
		return p.bind(m)
	case 'D':
		return p.describe(m)
	case 'E':
		return p.executePortal(m)
	case 'C':
		return p.closeObject(m)
	case 'S':
		p.out = append(p.out, m...)
		return nil
	}
	return newViolation("unexpected message of type %q", m[0])
}

func (p *planner) parse(m []byte) error {
	name, stmt, err := newPreparedStatement(m)
	if err != nil {
		return err
	}
	if name != "" && p.find(name) != nil {
		return &caller.SQLState{Code: "42P05", Detail: "prepared statement \"" + name + "\" already exists"}
	}
	if err := p.session.checkStatementLimits(name, stmt); err != nil {
		return err
	}
	if err := p.session.checkPrepareAllowed(stmt.stmt); err != nil {
		return err
	}
	if p.added == nil {
		p.added = make(map[string]*preparedStatement)
	}
	p.added[name] = stmt
	delete(p.closed, name)
	p.plan.localSteps = append(p.plan.localSteps, step{messageType: 'P', name: name, stmt: stmt})
	p.plan.parses = append(p.plan.parses, plannedParse{name: name, stmt: stmt})
	p.out = append(p.out, stmt.parse...)
	p.unnamed = stmt
	p.recordServerUse(stmt)
	return nil
}

// checkPrepareAllowed returns an error for a statement that would be refused when
// it is executed.
func (s *session) checkPrepareAllowed(stmt Statement) error {
	if stmt.Class == ClassUnsupported {
		return errkind.New(errkind.Unsupported, "%s", stmt.Reason)
	}
	if s.tx != nil && s.tx.abandoned && !s.isLocal(stmt) {
		return errAborted()
	}
	return nil
}

// find returns the prepared statement of that name at this point of the cycle, or
// nil if there is none.
func (p *planner) find(name string) *preparedStatement {
	if stmt, ok := p.added[name]; ok {
		return stmt
	}
	if p.closed[name] {
		return nil
	}
	return p.session.stmts[name]
}

// lookup returns the prepared statement of that name, or PostgreSQL's error
// invalid_sql_statement_name.
func (p *planner) lookup(name string) (*preparedStatement, error) {
	stmt := p.find(name)
	if stmt == nil {
		return nil, &caller.SQLState{Code: "26000", Detail: "prepared statement \"" + name + "\" does not exist"}
	}
	return stmt, nil
}

// recordServerUse records whether the statement needs a server.
func (p *planner) recordServerUse(stmt *preparedStatement) {
	if p.session.isLocal(stmt.stmt) {
		return
	}
	p.needsServer = true
	if stmt.stmt.Class != ClassRead {
		p.preparesNonRead = true
	}
}

// ensureUnnamed makes stmt the unnamed statement at the server by a Parse that
// the caller didn't send, unless it already is.
func (p *planner) ensureUnnamed(stmt *preparedStatement) {
	if p.unnamed == stmt {
		return
	}
	p.out = append(p.out, stmt.parse...)
	p.plan.parses = append(p.plan.parses, plannedParse{extra: true})
	p.unnamed = stmt
}

func (p *planner) bind(m []byte) error {
	portal, name, rest, err := bindNames(m)
	if err != nil {
		return err
	}
	stmt, err := p.lookup(name)
	if err != nil {
		return err
	}
	p.portals[portal] = stmt
	p.plan.localSteps = append(p.plan.localSteps, step{messageType: 'B', stmt: stmt})
	p.ensureUnnamed(stmt)
	p.out = appendBind(p.out, portal, rest)
	p.recordServerUse(stmt)
	if p.plan.kind == caller.KindFlush {
		p.plan.executes = true // the Sync appended to the flushed messages would close the portal
	}
	return nil
}

func (p *planner) describe(m []byte) error {
	object, name, err := objectName(m)
	if err != nil {
		return err
	}
	if object == 'P' {
		stmt := p.portals[name]
		if stmt == nil {
			p.needsServer = true // bound by an earlier cycle, or unknown to the server, which reports it
		} else {
			p.recordServerUse(stmt)
		}
		p.plan.localSteps = append(p.plan.localSteps, step{messageType: 'D', objectType: object, stmt: stmt})
		p.out = append(p.out, m...)
		return nil
	}
	stmt, err := p.lookup(name)
	if err != nil {
		return err
	}
	p.plan.localSteps = append(p.plan.localSteps, step{messageType: 'D', objectType: object, stmt: stmt})
	p.ensureUnnamed(stmt)
	p.out = appendUnnamed(p.out, 'D')
	p.recordServerUse(stmt)
	return nil
}

func (p *planner) executePortal(m []byte) error {
	name, err := portalName(m)
	if err != nil {
		return err
	}
	stmt := p.portals[name]
	p.plan.localSteps = append(p.plan.localSteps, step{messageType: 'E', stmt: stmt})
	p.out = append(p.out, m...)
	if stmt == nil {
		// The portal was bound by an earlier cycle of the transaction. Its statement
		// is not known here, so it is treated as a write that may commit.
		if p.session.tx == nil {
			return &caller.SQLState{Code: "34000", Detail: "portal \"" + name + "\" does not exist"}
		}
		p.needsServer = true
		p.plan.recordExecute(Statement{Class: ClassWrite})
		p.plan.mayCommit = true
		return p.session.checkAllowed(Statement{Class: ClassWrite}, true)
	}
	p.recordServerUse(stmt)
	if p.session.isLocal(stmt.stmt) {
		return nil
	}
	if err := p.session.checkAllowed(stmt.stmt, p.txOpen); err != nil {
		return err
	}
	p.plan.recordExecute(stmt.stmt)
	p.txOpen = p.txOpen || p.plan.mayBegin
	return nil
}

func (p *planner) closeObject(m []byte) error {
	object, name, err := objectName(m)
	if err != nil {
		return err
	}
	st := step{messageType: 'C', objectType: object, name: name}
	p.plan.localSteps = append(p.plan.localSteps, st)
	p.plan.closes = append(p.plan.closes, st)
	if object == 'P' {
		delete(p.portals, name)
		p.needsServer = p.needsServer || p.session.tx != nil && !p.session.tx.abandoned
		p.out = append(p.out, m...)
		return nil
	}
	delete(p.added, name)
	if p.closed == nil {
		p.closed = make(map[string]bool)
	}
	p.closed[name] = true
	p.out = appendUnnamed(p.out, 'C')
	p.unnamed = nil
	return nil
}
