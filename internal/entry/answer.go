package entry

import (
	"errors"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
)

// readyForQueryLen is the length in bytes of a ReadyForQuery message, the last
// one of an answer.
const readyForQueryLen = 6

// refuse returns an answer that consists of the messages in out and the error
// err. The error aborts an open transaction, as in PostgreSQL. A protocol
// violation closes the connection.
func (s *session) refuse(kind caller.Kind, out []byte, err error) caller.Answer {
	s.entry.metrics.countRefusal(err)
	var malformed *violationError
	if errors.As(err, &malformed) {
		return caller.Answer{Messages: caller.AppendError(out, caller.SeverityFatal, err), TxStatus: s.status(), Close: true}
	}
	if s.tx != nil && !s.tx.abandoned {
		s.abandonTx()
	}
	out = caller.AppendError(out, caller.SeverityError, err)
	if kind != caller.KindFlush {
		out = caller.AppendReady(out, s.status())
	}
	return caller.Answer{Messages: out, TxStatus: s.status(), Failed: true}
}

// complete turns the answer of an owner into the answer for the caller, and
// updates the prepared statements, the transaction and the token of the session
// from it.
func (s *session) complete(p *plan, t *target, term uint64, reply *ownerrpc.ExecReply) caller.Answer {
	out, ok := s.filterMessages(p, reply.Messages)
	if !ok {
		return s.refuse(p.kind, nil, errkind.New(errkind.Internal, "the answer of server %q is malformed", t.server))
	}
	status := out[len(out)-1]
	if status != 'I' && s.tx == nil && !p.mayBegin {
		// The transaction was opened by a BEGIN that arrived late. The effects
		// of this cycle belong to it and are rolled back, unless the release
		// fails.
		s.release(t, ownerrpc.RequestID{})
		return s.refuse(p.kind, nil, errkind.New(errkind.Internal, "server %q was in a transaction that the session had not begun", t.server))
	}
	switch status {
	case 'I':
		s.tx = nil
	default:
		if s.tx == nil {
			s.tx = &transaction{target: t, term: term, readOnly: p.readOnly}
			s.entry.metrics.openedTx.Inc(1)
		}
		s.tx.aborted = status == 'E'
	}
	if p.kind == caller.KindFlush {
		failed := containsError(out)
		return caller.Answer{Messages: out[:len(out)-readyForQueryLen], TxStatus: status, Failed: failed}
	}
	if reply.Position != (logpos.Position{}) {
		s.token = s.token.Max(reply.Position)
		s.minPositionResolved = true
		out = out[:len(out)-readyForQueryLen]
		out = encode(out, &pgproto3.ParameterStatus{Name: tokenParameter, Value: s.tokenText()})
		out = caller.AppendReady(out, status)
	}
	return caller.Answer{Messages: out, TxStatus: status}
}

// tokenParameter is the name of the ParameterStatus that carries the session
// token.
const tokenParameter = attributePrefix + ".session_token"

// filterMessages removes the ParseComplete messages of inserted Parses and
// updates the prepared statements of the session. It works in place. It returns
// false for an answer that is malformed or doesn't end with ReadyForQuery.
func (s *session) filterMessages(p *plan, messages []byte) ([]byte, bool) {
	if n := len(messages); n < readyForQueryLen || messages[n-readyForQueryLen] != 'Z' || messages[n-2] != 5 {
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
			s.storeStatement(done.name, done.stmt)
		case m[0] == '3' && len(closes) > 0:
			if closes[0].objectType == 'S' {
				s.closeStatement(closes[0].name)
			}
			closes = closes[1:]
		}
		out = append(out, m...)
	}
	return out, true
}

// containsError reports whether an answer has an ErrorResponse or is malformed.
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
