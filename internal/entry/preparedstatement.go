package entry

import (
	"bytes"
	"encoding/binary"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/jackc/pgx/v5/pgproto3"
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
	var msg pgproto3.Parse
	if err := msg.Decode(message[5:]); err != nil {
		return "", nil, newViolation("Parse message is malformed: %v", err)
	}
	stmts := Classify(msg.Query)
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
	name := msg.Name
	p.parse = message
	if name != "" {
		msg.Name = ""
		out, err := msg.Encode(nil)
		if err != nil {
			return "", nil, newViolation("Parse message is malformed: %v", err)
		}
		p.parse = out
	}
	return name, p, nil
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
// rest of its body, which is not examined.
func bindNames(message []byte) (portal, statement string, rest []byte, err error) {
	body := message[5:]
	i := bytes.IndexByte(body, 0)
	if i >= 0 {
		if j := bytes.IndexByte(body[i+1:], 0); j >= 0 {
			return string(body[:i]), string(body[i+1 : i+1+j]), body[i+1+j+1:], nil
		}
	}
	return "", "", nil, newViolation("Bind message is malformed")
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
