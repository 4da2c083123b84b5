package standin

import "strings"

// parser is a recursive descent parser. A method that fails sets err, after
// which no token is consumed, so callers need not check each step.
type parser struct {
	tokens   []token
	pos      int
	maxParam int // highest parameter number of the current statement
	err      error
}

// parse splits sql at semicolons and parses every statement.
func parse(sql string) ([]*statement, error) {
	tokens, err := lex(sql)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var statements []*statement
	for {
		for p.accept(";") {
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		p.maxParam = 0
		s := p.statement()
		if p.err == nil && p.peek().kind != tokenEnd && p.peek().text != ";" {
			p.fail()
		}
		if p.err != nil {
			return nil, p.err
		}
		s.maxParam = p.maxParam
		statements = append(statements, s)
	}
}

func (p *parser) peek() token {
	if p.err != nil || p.pos >= len(p.tokens) {
		return token{}
	}
	return p.tokens[p.pos]
}

func (p *parser) next() token {
	t := p.peek()
	if t.kind != tokenEnd {
		p.pos++
	}
	return t
}

// fail sets err to a syntax error at the next token, unless err is set already.
func (p *parser) fail() {
	if p.err == nil {
		p.err = sqlErrorf(codeSyntaxError, "syntax error at or near %q", p.peek().text)
	}
}

// accept reports whether the given words or symbols come next, and consumes them
// if so.
func (p *parser) accept(words ...string) bool {
	if p.err != nil || p.pos+len(words) > len(p.tokens) {
		return false
	}
	for i, w := range words {
		t := p.tokens[p.pos+i]
		if t.text != w || t.kind == tokenString {
			return false
		}
	}
	p.pos += len(words)
	return true
}

// expect consumes the given words or symbols, and fails if they do not come next.
func (p *parser) expect(words ...string) {
	for _, w := range words {
		if !p.accept(w) {
			p.fail()
		}
	}
}

// skip consumes the rest of the statement and returns its words, separated by
// spaces.
func (p *parser) skip() string {
	var words []string
	for p.peek().kind != tokenEnd && p.peek().text != ";" {
		words = append(words, p.next().text)
	}
	return strings.Join(words, " ")
}

func (p *parser) statement() *statement {
	switch {
	case p.accept("select"):
		return p.selectStatement()
	case p.accept("insert", "into"):
		return p.insert()
	case p.accept("update"):
		return p.update()
	case p.accept("delete", "from"):
		s := &statement{kind: kindDelete, name: p.table()}
		s.key = p.where()
		s.columns = p.returning()
		return s
	case p.accept("begin"), p.accept("start", "transaction"):
		return &statement{kind: kindBegin, name: "BEGIN", readOnly: strings.Contains(p.skip(), "read only")}
	case p.accept("commit"), p.accept("end"):
		p.skip()
		return &statement{kind: kindCommit, name: "COMMIT"}
	case p.accept("rollback"), p.accept("abort"):
		p.skip()
		return &statement{kind: kindRollback, name: "ROLLBACK"}
	case p.accept("set"):
		rest := p.skip()
		if rest == "transaction read only" {
			return &statement{kind: kindSetReadOnly, name: "SET"}
		}
		return &statement{kind: kindNoOp, name: "SET"}
	case p.accept("reset"):
		p.skip()
		return &statement{kind: kindNoOp, name: "RESET"}
	case p.accept("show"):
		return &statement{kind: kindShow, name: p.skip()}
	case p.accept("discard", "all"):
		return &statement{kind: kindDiscard, name: "DISCARD ALL"}
	case p.accept("create", "table"):
		p.skip()
		return &statement{kind: kindNoOp, name: "CREATE TABLE"}
	}
	p.fail()
	return nil
}

func (p *parser) selectStatement() *statement {
	s := &statement{kind: kindSelect}
	switch t := p.peek(); {
	case p.accept("count", "(", "*", ")"):
		s.kind = kindCount
	case t.kind == tokenString, t.kind == tokenParam:
		s.kind, s.args = kindConst, []expr{p.expr()}
		if p.accept("as") {
			if s.name = p.next().text; s.name == "" {
				p.fail()
			}
		}
		return s
	case t.kind == tokenWord && p.pos+1 < len(p.tokens) && p.tokens[p.pos+1].text == "(":
		s.kind, s.name, s.args = kindCall, p.next().text, p.arguments()
		return s
	default:
		s.columns = p.columns()
	}
	p.expect("from")
	s.name = p.table()
	if s.kind == kindSelect && p.peek().text == "(" {
		s.kind, s.args = kindCall, p.arguments()
		if len(s.columns) == 2 && s.columns[0] == "k" && s.columns[1] == "v" {
			s.columns = nil // as parsed from *; all columns of the function
		}
		return s
	}
	s.key = p.where()
	if p.accept("order", "by") {
		p.expect("k") // rows are always returned in the order of k
	}
	if p.accept("for", "update") || p.accept("for", "share") {
		s.forUpdate = true
	}
	return s
}

func (p *parser) insert() *statement {
	s := &statement{kind: kindInsert, name: p.table()}
	swapped := false
	if p.accept("(") {
		if swapped = p.accept("v", ",", "k"); !swapped {
			p.expect("k", ",", "v")
		}
		p.expect(")")
	}
	p.expect("values")
	for {
		p.expect("(")
		row := [2]expr{p.expr()}
		p.expect(",")
		row[1] = p.expr()
		p.expect(")")
		if swapped {
			row[0], row[1] = row[1], row[0]
		}
		s.rows = append(s.rows, row)
		if !p.accept(",") {
			break
		}
	}
	if p.accept("on", "conflict") {
		p.accept("(", "k", ")")
		p.expect("do")
		if p.accept("nothing") {
			s.conflict = conflictNothing
		} else {
			p.expect("update", "set", "v", "=", "excluded", ".", "v")
			s.conflict = conflictUpdate
		}
	}
	s.columns = p.returning()
	return s
}

func (p *parser) update() *statement {
	s := &statement{kind: kindUpdate, name: p.table()}
	p.expect("set", "v", "=")
	s.appending = p.accept("v", "||")
	s.value = p.expr()
	s.key = p.where()
	s.columns = p.returning()
	return s
}

// table parses a table name; a schema qualifier is ignored.
func (p *parser) table() string {
	t := p.next()
	if t.kind != tokenWord {
		p.fail()
	}
	if p.accept(".") {
		t = p.next()
	}
	return t.text
}

// columns parses a list of column names; * stands for k and v.
func (p *parser) columns() []string {
	var columns []string
	for {
		t := p.next()
		switch {
		case t.kind == tokenSymbol && t.text == "*":
			columns = append(columns, "k", "v")
		case t.kind == tokenWord:
			columns = append(columns, t.text)
		default:
			p.fail()
			return nil
		}
		if !p.accept(",") {
			return columns
		}
	}
}

func (p *parser) returning() []string {
	if !p.accept("returning") {
		return nil
	}
	return p.columns()
}

func (p *parser) where() *expr {
	if !p.accept("where") {
		return nil
	}
	p.expect("k", "=")
	e := p.expr()
	return &e
}

func (p *parser) arguments() []expr {
	p.expect("(")
	var args []expr
	for !p.accept(")") {
		if p.err != nil {
			return nil
		}
		args = append(args, p.expr())
		if !p.accept(",") {
			p.expect(")")
			return args
		}
	}
	return args
}

// expr parses a literal or a parameter, with an optional cast, which is ignored.
func (p *parser) expr() expr {
	if p.accept("(") {
		e := p.expr()
		p.expect(")")
		return e
	}
	sign := ""
	if p.accept("-") {
		sign = "-"
	}
	t := p.next()
	e := expr{text: sign + t.text}
	switch t.kind {
	case tokenString:
	case tokenParam:
		e = expr{param: t.param}
		p.maxParam = max(p.maxParam, t.param)
	default:
		p.fail()
	}
	if p.accept("::") {
		p.next()
	}
	return e
}
