package entry

import (
	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// planner walks the messages of an extended-protocol cycle.
type planner struct {
	session *session
	plan    *plan
	added   map[string]*prepared // statements of this cycle
	dropped map[string]bool      // statements that this cycle closes
	portals map[string]*prepared // portals of this cycle
	unnamed *prepared            // what the unnamed statement is at the server; nil if nothing
	out     []byte
	remote  bool // a server is needed
	opened  bool // a transaction is open, or opened by this cycle
	prepare bool // a statement that is not a read is prepared
}

func (p *planner) run(c caller.Cycle) (*plan, error) {
	p.opened = p.session.tx != nil
	p.out = make([]byte, 0, len(c.Messages)+64)
	for rest := c.Messages; len(rest) > 0; {
		message, next, ok := nextMessage(rest)
		if !ok {
			return nil, violation("message is truncated")
		}
		if err := p.message(message); err != nil {
			return nil, err
		}
		rest = next
	}
	plan := p.plan
	if !p.remote {
		plan.isLocal = true
		return plan, nil
	}
	for _, st := range plan.local {
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
	if !plan.executes && p.prepare {
		plan.read = false
	}
	plan.messages = p.out
	return plan, nil
}

func (p *planner) message(m []byte) error {
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
	return violation("unexpected message of type %q", m[0])
}

func (p *planner) parse(m []byte) error {
	name, stmt, err := newPrepared(m)
	if err != nil {
		return err
	}
	if name != "" && p.find(name) != nil {
		return &caller.SQLState{Code: "42P05", Detail: "prepared statement \"" + name + "\" already exists"}
	}
	if err := p.session.checkRoom(stmt); err != nil {
		return err
	}
	if err := p.session.admitPrepare(stmt.stmt); err != nil {
		return err
	}
	if p.added == nil {
		p.added = make(map[string]*prepared)
	}
	p.added[name] = stmt
	delete(p.dropped, name)
	p.plan.local = append(p.plan.local, step{message: 'P', name: name, stmt: stmt})
	p.plan.parses = append(p.plan.parses, parsed{name: name, stmt: stmt})
	p.out = append(p.out, stmt.parse...)
	p.unnamed = stmt
	p.touch(stmt)
	return nil
}

// admitPrepare refuses to prepare what would be refused when executed.
func (s *session) admitPrepare(stmt Statement) error {
	if stmt.Class == ClassUnsupported {
		return errkind.New(errkind.Unsupported, "%s", stmt.Reason)
	}
	if s.tx != nil && s.tx.failed && !s.isLocal(stmt) {
		return errAborted()
	}
	return nil
}

// find returns the statement of that name as the caller sees it now.
func (p *planner) find(name string) *prepared {
	if stmt, ok := p.added[name]; ok {
		return stmt
	}
	if p.dropped[name] {
		return nil
	}
	return p.session.stmts[name]
}

func (p *planner) lookup(name string) (*prepared, error) {
	stmt := p.find(name)
	if stmt == nil {
		return nil, &caller.SQLState{Code: "26000", Detail: "prepared statement \"" + name + "\" does not exist"}
	}
	return stmt, nil
}

// touch notes whether a server is needed for the statement.
func (p *planner) touch(stmt *prepared) {
	if p.session.isLocal(stmt.stmt) {
		return
	}
	p.remote = true
	if stmt.stmt.Class != ClassRead {
		p.prepare = true
	}
}

// reference makes stmt the unnamed statement of the server.
func (p *planner) reference(stmt *prepared) {
	if p.unnamed == stmt {
		return
	}
	p.out = append(p.out, stmt.parse...)
	p.plan.parses = append(p.plan.parses, parsed{extra: true})
	p.unnamed = stmt
}

func (p *planner) bind(m []byte) error {
	portal, name, rest, err := names(m)
	if err != nil {
		return err
	}
	stmt, err := p.lookup(name)
	if err != nil {
		return err
	}
	p.portals[portal] = stmt
	p.plan.local = append(p.plan.local, step{message: 'B', stmt: stmt})
	p.reference(stmt)
	p.out = appendBind(p.out, portal, rest)
	p.touch(stmt)
	if p.plan.kind == caller.KindFlush {
		p.plan.executes = true // the portal would not survive the Sync that ends the flushed part
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
			p.remote = true // a portal of an earlier cycle, or an error of the server
		} else {
			p.touch(stmt)
		}
		p.plan.local = append(p.plan.local, step{message: 'D', object: object, stmt: stmt})
		p.out = append(p.out, m...)
		return nil
	}
	stmt, err := p.lookup(name)
	if err != nil {
		return err
	}
	p.plan.local = append(p.plan.local, step{message: 'D', object: object, stmt: stmt})
	p.reference(stmt)
	p.out = appendUnnamed(p.out, 'D')
	p.touch(stmt)
	return nil
}

func (p *planner) executePortal(m []byte) error {
	name, err := portalName(m)
	if err != nil {
		return err
	}
	stmt := p.portals[name]
	p.plan.local = append(p.plan.local, step{message: 'E', stmt: stmt})
	p.out = append(p.out, m...)
	if stmt == nil {
		// A portal that an earlier cycle of the transaction opened.
		if p.session.tx == nil {
			return &caller.SQLState{Code: "34000", Detail: "portal \"" + name + "\" does not exist"}
		}
		p.remote = true
		p.plan.execute(Statement{Class: ClassWrite})
		p.plan.commit = true
		return p.session.admit(Statement{Class: ClassWrite}, true)
	}
	p.touch(stmt)
	if p.session.isLocal(stmt.stmt) {
		return nil
	}
	if err := p.session.admit(stmt.stmt, p.opened); err != nil {
		return err
	}
	p.plan.execute(stmt.stmt)
	p.opened = p.opened || p.plan.begin
	return nil
}

func (p *planner) closeObject(m []byte) error {
	object, name, err := objectName(m)
	if err != nil {
		return err
	}
	st := step{message: 'C', object: object, name: name}
	p.plan.local = append(p.plan.local, st)
	p.plan.closes = append(p.plan.closes, st)
	if object == 'P' {
		delete(p.portals, name)
		p.remote = p.remote || p.session.tx != nil && !p.session.tx.failed
		p.out = append(p.out, m...)
		return nil
	}
	delete(p.added, name)
	if p.dropped == nil {
		p.dropped = make(map[string]bool)
	}
	p.dropped[name] = true
	p.out = appendUnnamed(p.out, 'C')
	p.unnamed = nil
	return nil
}
