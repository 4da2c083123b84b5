package entry

import (
	"bytes"
	"encoding/binary"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/limit"
)

// preparedStatement is a prepared statement of a session. The unnamed statement
// is stored like a named one, because the next cycle may run at another server.
type preparedStatement struct {
	parse []byte // Parse message with the empty name
	stmt  Statement
}

// newPreparedStatement decodes a Parse message into the statement's name and the
// prepared statement.
func newPreparedStatement(message []byte) (string, *preparedStatement, error) {
	name, query, ok := parseStrings(message)
	if !ok {
		return "", nil, newViolation("Parse message is malformed")
	}
	stmts := Classify(query)
	p := &preparedStatement{stmt: stmts[0]}
	if len(stmts) > 1 {
		// The server refuses several statements in one Parse. ClassWrite
		// assumes nothing about them.
		p.stmt = Statement{Class: ClassWrite}
		for _, s := range stmts {
			if s.Class == ClassUnsupported {
				p.stmt = s
			}
		}
	}
	p.parse = message
	if name != "" {
		rest := message[5+len(name):]
		p.parse = append(binary.BigEndian.AppendUint32([]byte{'P'}, uint32(4+len(rest))), rest...)
	}
	return name, p, nil
}

// parseStrings returns the statement name and the query of a Parse message. ok is
// false unless the strings, the number of parameter types and the types are the whole
// body.
func parseStrings(message []byte) (name, query string, ok bool) {
	body := message[5:]
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return "", "", false
	}
	j := bytes.IndexByte(body[i+1:], 0)
	if j < 0 {
		return "", "", false
	}
	types := body[i+1+j+1:]
	if len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return "", "", false
	}
	return string(body[:i]), string(body[i+1 : i+1+j]), true
}

// storeStatement stores a statement whose Parse succeeded.
func (s *session) storeStatement(name string, p *preparedStatement) {
	if s.stmts == nil {
		s.stmts = make(map[string]*preparedStatement)
	}
	// The message is a part of its cycle, which may be much longer.
	p.parse = bytes.Clone(p.parse)
	s.kept.Force(s.entry.opts.Memory, statementSize(name, s.stmts[name]), statementSize(name, p))
	s.stmts[name] = p
}

// closeStatement removes a statement.
func (s *session) closeStatement(name string) {
	s.kept.Force(s.entry.opts.Memory, statementSize(name, s.stmts[name]), nil)
	delete(s.stmts, name)
}

// checkStatementLimits returns an error if the session can't store p, within its own
// limits and the memory of the process. The statement is stored only after the server
// has answered, without another check.
func (s *session) checkStatementLimits(name string, p *preparedStatement) error {
	if err := s.kept.Check(s.entry.opts.Memory, s.entry.opts.SessionLimits, statementSize(name, s.stmts[name]), statementSize(name, p)); err != nil {
		return &caller.SQLState{Code: "54000", Detail: err.Error()}
	}
	return nil
}

// statementSize returns the size of a prepared statement, or nil if there is none.
func statementSize(name string, p *preparedStatement) *limit.Size {
	if p == nil {
		return nil
	}
	return &limit.Size{Own: len(name) + len(p.parse)}
}

// bindNames returns the portal and the statement name of a Bind message, and the
// rest of its body: the formats and values of the parameters and the formats of the
// result.
func bindNames(message []byte) (portal, statement string, rest []byte, err error) {
	body := message[5:]
	i := bytes.IndexByte(body, 0)
	if i >= 0 {
		if j := bytes.IndexByte(body[i+1:], 0); j >= 0 {
			rest = body[i+1+j+1:]
			if validBindValues(rest) {
				return string(body[:i]), string(body[i+1 : i+1+j]), rest, nil
			}
		}
	}
	return "", "", nil, newViolation("Bind message is malformed")
}

// validBindValues reports whether body holds the formats and values of the parameters
// and the formats of the result, and nothing else.
func validBindValues(body []byte) bool {
	body, ok := skipFormats(body)
	if !ok || len(body) < 2 {
		return false
	}
	n := binary.BigEndian.Uint16(body)
	body = body[2:]
	for range n {
		if len(body) < 4 {
			return false
		}
		size := int32(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size == -1 { // NULL
			continue
		}
		if size < 0 || int(size) > len(body) {
			return false
		}
		body = body[size:]
	}
	body, ok = skipFormats(body)
	return ok && len(body) == 0
}

// skipFormats removes a number of format codes and the codes from the start of b.
func skipFormats(b []byte) (rest []byte, ok bool) {
	if len(b) < 2 {
		return nil, false
	}
	size := 2 + 2*int(binary.BigEndian.Uint16(b))
	if size > len(b) {
		return nil, false
	}
	return b[size:], true
}

// objectName returns the object type, 'S' or 'P', and the name in a Describe or
// Close message.
func objectName(message []byte) (byte, string, error) {
	body := message[5:]
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' || body[len(body)-1] != 0 || bytes.IndexByte(body[1:], 0) != len(body)-2 {
		return 0, "", newViolation("message of type %q is malformed", message[0])
	}
	return body[0], string(body[1 : len(body)-1]), nil
}

// portalName returns the portal name in an Execute message.
func portalName(message []byte) (string, error) {
	body := message[5:]
	i := bytes.IndexByte(body, 0)
	if i < 0 || len(body) != i+5 {
		return "", newViolation("Execute message is malformed")
	}
	return string(body[:i]), nil
}

// appendBind appends a Bind of the unnamed statement. rest is the message body
// after the two names.
func appendBind(dst []byte, portal string, rest []byte) []byte {
	dst = append(dst, 'B')
	dst = binary.BigEndian.AppendUint32(dst, uint32(4+len(portal)+1+1+len(rest)))
	dst = append(dst, portal...)
	dst = append(dst, 0, 0)
	return append(dst, rest...)
}

// appendUnnamed appends a message of the given type, Describe or Close, for the
// unnamed statement.
func appendUnnamed(dst []byte, messageType byte) []byte {
	return append(dst, messageType, 0, 0, 0, 6, 'S', 0)
}

// nextMessage splits b into its first message and the rest. ok is false if the
// message is incomplete, which happens only in a malformed answer of a server:
// the framer of package caller delivers complete messages.
func nextMessage(b []byte) (message, rest []byte, ok bool) {
	if len(b) < 5 {
		return nil, nil, false
	}
	size := int(binary.BigEndian.Uint32(b[1:])) + 1
	if size < 5 || size > len(b) {
		return nil, nil, false
	}
	return b[:size], b[size:], true
}
