package entry

import (
	"bytes"
	"encoding/binary"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// maxStatements and maxStatementBytes bound the prepared statements of one
	// session.
	maxStatements     = 2000
	maxStatementBytes = 4 << 20
)

// prepared is a prepared statement of a session. The unnamed statement is kept
// like a named one, because the next cycle may run at another server.
type prepared struct {
	parse []byte // Parse message with the empty name
	stmt  Statement
}

// newPrepared decodes a Parse message.
func newPrepared(message []byte) (string, *prepared, error) {
	var msg pgproto3.Parse
	if err := msg.Decode(message[5:]); err != nil {
		return "", nil, violation("Parse message is malformed: %v", err)
	}
	stmts := Classify(msg.Query)
	p := &prepared{stmt: stmts[0]}
	if len(stmts) > 1 {
		// The server refuses several statements in one Parse; a write is the
		// class without assumptions.
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
			return "", nil, violation("Parse message is malformed: %v", err)
		}
		p.parse = out
	}
	return name, p, nil
}

// keep stores a statement that was parsed successfully.
func (s *session) keep(name string, p *prepared) {
	if s.stmts == nil {
		s.stmts = make(map[string]*prepared)
	}
	s.stmts[name] = p
}

// checkRoom refuses a statement that exceeds the limits of the session.
func (s *session) checkRoom(p *prepared) error {
	size := len(p.parse)
	for _, other := range s.stmts {
		size += len(other.parse)
	}
	if len(s.stmts) >= maxStatements || size > maxStatementBytes {
		return &caller.SQLState{Code: "54000", Detail: "the session has too many prepared statements"}
	}
	return nil
}

// names returns the first two strings of a message body: portal and statement
// of Bind. The rest is not examined.
func names(message []byte) (portal, statement string, rest []byte, err error) {
	body := message[5:]
	i := bytes.IndexByte(body, 0)
	if i >= 0 {
		if j := bytes.IndexByte(body[i+1:], 0); j >= 0 {
			return string(body[:i]), string(body[i+1 : i+1+j]), body[i+1+j+1:], nil
		}
	}
	return "", "", nil, violation("Bind message is malformed")
}

// objectName returns kind and name of a Describe or Close message.
func objectName(message []byte) (byte, string, error) {
	body := message[5:]
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' || body[len(body)-1] != 0 || bytes.IndexByte(body[1:], 0) != len(body)-2 {
		return 0, "", violation("message of type %q is malformed", message[0])
	}
	return body[0], string(body[1 : len(body)-1]), nil
}

// portalName returns the portal of an Execute message.
func portalName(message []byte) (string, error) {
	body := message[5:]
	i := bytes.IndexByte(body, 0)
	if i < 0 || len(body) != i+5 {
		return "", violation("Execute message is malformed")
	}
	return string(body[:i]), nil
}

// appendBind appends a Bind of the unnamed statement.
func appendBind(dst []byte, portal string, rest []byte) []byte {
	dst = append(dst, 'B')
	dst = binary.BigEndian.AppendUint32(dst, uint32(4+len(portal)+1+1+len(rest)))
	dst = append(dst, portal...)
	dst = append(dst, 0, 0)
	return append(dst, rest...)
}

// appendUnnamed appends a Describe or Close of the unnamed statement.
func appendUnnamed(dst []byte, message byte) []byte {
	return append(dst, message, 0, 0, 0, 6, 'S', 0)
}

// nextMessage splits the first message off. The framer guarantees complete
// messages from callers; ok is false for a malformed answer of a server.
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
