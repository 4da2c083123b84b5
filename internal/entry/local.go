package entry

import (
	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/jackc/pgx/v5/pgproto3"
)

// textOID and textTypeSize are the OID and the typlen of PostgreSQL's type text.
const (
	textOID      = 25
	textTypeSize = -1
)

// answerLocal answers a cycle that needs no server.
func (s *session) answerLocal(p *plan) caller.Answer {
	var out []byte
	for _, st := range p.localSteps {
		var err error
		if out, err = s.answerStep(out, st); err != nil {
			return s.refuse(p.kind, out, err)
		}
	}
	if p.kind != caller.KindFlush {
		out = caller.AppendReady(out, s.status())
	}
	return caller.Answer{Messages: out, TxStatus: s.status()}
}

func (s *session) answerStep(out []byte, st step) ([]byte, error) {
	switch st.messageType {
	case 'P':
		s.storeStatement(st.name, st.stmt)
		return encode(out, &pgproto3.ParseComplete{}), nil
	case 'B':
		return encode(out, &pgproto3.BindComplete{}), nil
	case 'C':
		if st.objectType == 'S' {
			s.closeStatement(st.name)
		}
		return encode(out, &pgproto3.CloseComplete{}), nil
	case 'D':
		if st.objectType == 'S' {
			out = encode(out, &pgproto3.ParameterDescription{})
		}
		if st.stmt.stmt.Class == ClassShow {
			return encode(out, showDescription(st.stmt.stmt.Name)), nil
		}
		return encode(out, &pgproto3.NoData{}), nil
	}
	return s.executeLocal(out, st.stmt.stmt, st.messageType == 'Q')
}

// executeLocal executes a statement that the entry answers itself. The simple
// protocol includes a RowDescription; in the extended protocol it follows from
// Describe.
func (s *session) executeLocal(out []byte, stmt Statement, simple bool) ([]byte, error) {
	switch stmt.Class {
	case ClassEmpty:
		return encode(out, &pgproto3.EmptyQueryResponse{}), nil
	case ClassCommit, ClassRollback:
		// Only reached after the transaction was abandoned: it ends with a
		// rollback.
		s.tx = nil
		return encode(out, &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}), nil
	}
	if s.status() == 'E' {
		return out, errAborted()
	}
	if stmt.Class == ClassSet {
		tag := "SET"
		if stmt.Reset {
			tag = "RESET"
		}
		if err := s.setAttribute(stmt.Name, stmt.Value, stmt.Reset); err != nil {
			return out, err
		}
		return encode(out, &pgproto3.CommandComplete{CommandTag: []byte(tag)}), nil
	}
	value, err := s.showAttribute(stmt.Name)
	if err != nil {
		return out, err
	}
	if simple {
		out = encode(out, showDescription(stmt.Name))
	}
	out = encode(out, &pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	return encode(out, &pgproto3.CommandComplete{CommandTag: []byte("SHOW")}), nil
}

// showDescription describes the single column of SHOW. The type text has the same
// bytes in the text and the binary format, so the format that Bind requests does
// not matter.
func showDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(attributePrefix + "." + name),
		DataTypeOID:  textOID,
		DataTypeSize: textTypeSize,
		TypeModifier: -1,
	}}}
}

// encoder is implemented by the backend messages of pgproto3.
type encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// encode appends the encoded msg to dst. It panics on an encoding error, which
// only oversized fields cause.
func encode(dst []byte, msg encoder) []byte {
	out, err := msg.Encode(dst)
	if err != nil {
		panic(err)
	}
	return out
}
