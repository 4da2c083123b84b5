package entry

import (
	"errors"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
)

// readyLen is the length of a ReadyForQuery message, the last one of a cycle.
const readyLen = 6

// refuse answers err after the messages in out. In an open transaction the
// error aborts it, as it does in PostgreSQL. A protocol violation ends the
// connection.
func (s *session) refuse(kind caller.Kind, out []byte, err error) caller.Answer {
	s.entry.metrics.refused(err)
	var malformed *violationError
	if errors.As(err, &malformed) {
		return caller.Answer{Messages: caller.AppendError(out, caller.SeverityFatal, err), TxStatus: s.status(), Close: true}
	}
	if s.tx != nil && !s.tx.failed {
		s.abandon()
	}
	out = caller.AppendError(out, caller.SeverityError, err)
	if kind != caller.KindFlush {
		out = caller.AppendReady(out, s.status())
	}
	return caller.Answer{Messages: out, TxStatus: s.status(), Failed: true}
}

// complete turns the answer of an owner into the answer for the caller, and
// takes over what it says about statements, transaction and position.
func (s *session) complete(p *plan, t *target, term uint64, reply *ownerrpc.ExecReply) caller.Answer {
	out, ok := s.filter(p, reply.Messages)
	if !ok {
		return s.refuse(p.kind, nil, errkind.New(errkind.Internal, "the answer of server %q is malformed", t.server))
	}
	status := out[len(out)-1]
	if status != 'I' && s.tx == nil && !p.begin {
		// Left over from a BEGIN that arrived late. What the cycle did is part
		// of it and is rolled back, unless the owner does not follow.
		s.release(t, ownerrpc.RequestID{})
		return s.refuse(p.kind, nil, errkind.New(errkind.Internal, "server %q was in a transaction that the session had not begun", t.server))
	}
	switch status {
	case 'I':
		s.tx = nil
	default:
		if s.tx == nil {
			s.tx = &transaction{target: t, term: term, readOnly: p.readOnly}
			s.entry.metrics.openTx.Inc(1)
		}
		s.tx.aborted = status == 'E'
	}
	if p.kind == caller.KindFlush {
		failed := containsError(out)
		return caller.Answer{Messages: out[:len(out)-readyLen], TxStatus: status, Failed: failed}
	}
	if reply.Position != (logpos.Position{}) {
		s.token = s.token.Max(reply.Position)
		s.floored = true
		out = out[:len(out)-readyLen]
		out = encode(out, &pgproto3.ParameterStatus{Name: tokenParameter, Value: s.tokenText()})
		out = caller.AppendReady(out, status)
	}
	return caller.Answer{Messages: out, TxStatus: status}
}

// tokenParameter is the name of the ParameterStatus that carries the token.
const tokenParameter = attributePrefix + ".session_token"

// filter removes the ParseComplete messages of extra Parses and updates the
// kept statements. It works in place. It returns false for an answer that does
// not end with ReadyForQuery.
func (s *session) filter(p *plan, messages []byte) ([]byte, bool) {
	if n := len(messages); n < readyLen || messages[n-readyLen] != 'Z' || messages[n-2] != 5 {
		return nil, false
	}
	if len(p.parses) == 0 && len(p.closes) == 0 {
		return messages, true
	}
	out := messages[:0]
	parses, closes := p.parses, p.closes
	for rest := messages; len(rest) > 0; {
		m, next, ok := nextMessage(rest)
		if !ok {
			return nil, false
		}
		rest = next
		switch {
		case m[0] == '1' && len(parses) > 0:
			done := parses[0]
			parses = parses[1:]
			if done.extra {
				continue
			}
			s.keep(done.name, done.stmt)
		case m[0] == '3' && len(closes) > 0:
			if closes[0].object == 'S' {
				delete(s.stmts, closes[0].name)
			}
			closes = closes[1:]
		}
		out = append(out, m...)
	}
	return out, true
}

// containsError reports whether an answer has an ErrorResponse.
func containsError(messages []byte) bool {
	for rest := messages; len(rest) > 0; {
		m, next, ok := nextMessage(rest)
		if !ok {
			return true
		}
		if m[0] == 'E' {
			return true
		}
		rest = next
	}
	return false
}
