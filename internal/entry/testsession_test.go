package entry_test

import (
	"context"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/jackc/pgx/v5/pgproto3"
)

// decodedAnswer is the decoded answer to one cycle.
type decodedAnswer struct {
	kinds   string   // type bytes of the messages, such as "TDCZ"
	values  []string // first column of the rows
	code    string   // SQLSTATE of the error; "" without an error
	message string
	outcome string // outcome in the hint of the error
	token   string // session token in the ParameterStatus
	status  byte
	closed  bool // the connection is closed after the answer
}

// testSession is a session that calls the handler of an entry without a socket.
type testSession struct {
	tb      testing.TB
	handler caller.Handler
	session any
}

// openSession starts a session with startup parameters given as name, value, ...
func openSession(tb testing.TB, ent *entry.Entry, params ...string) *testSession {
	tb.Helper()
	s := &testSession{tb: tb, handler: ent.Handler()}
	all := map[string]string{"user": "u", "database": groupName}
	for i := 0; i < len(params); i += 2 {
		all[params[i]] = params[i+1]
	}
	opened, err := s.handler.Open(context.Background(), caller.Startup{Parameters: all})
	if err != nil {
		tb.Fatal(err)
	}
	s.session = opened.Session
	return s
}

func (s *testSession) close() { s.handler.Close(s.session) }

// query runs a simple Query.
func (s *testSession) query(sql string) decodedAnswer {
	m, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return s.run(caller.Cycle{Kind: caller.KindQuery, Messages: m})
}

// mustQuery runs a simple Query and fails the test on an error.
func (s *testSession) mustQuery(sql string) decodedAnswer {
	s.tb.Helper()
	a := s.query(sql)
	if a.code != "" {
		s.tb.Fatalf("%s: %s %s", sql, a.code, a.message)
	}
	return a
}

// readKey runs a Query that selects the value of a key.
func (s *testSession) readKey(key string) decodedAnswer {
	return s.query("select v from kv where k = '" + key + "'")
}

// extended runs the messages and a Sync as one extended-protocol cycle.
func (s *testSession) extended(messages ...pgproto3.FrontendMessage) decodedAnswer {
	return s.run(caller.Cycle{Kind: caller.KindExtended, Messages: encodeMessages(append(messages, &pgproto3.Sync{})...)})
}

func encodeMessages(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}
	return out
}

func (s *testSession) run(c caller.Cycle) decodedAnswer {
	s.tb.Helper()
	raw := s.handler.Run(context.Background(), s.session, c)
	a := decodedAnswer{closed: raw.Close}
	for rest := raw.Messages; len(rest) > 0; {
		size := 1 + int(rest[1])<<24 + int(rest[2])<<16 + int(rest[3])<<8 + int(rest[4])
		m := rest[:size]
		rest = rest[size:]
		a.kinds += string(m[0])
		switch m[0] {
		case 'E':
			var e pgproto3.ErrorResponse
			_ = e.Decode(m[5:])
			a.code, a.message, a.outcome = e.Code, e.Message, strings.TrimPrefix(e.Hint, "outcome: ")
		case 'D':
			var row pgproto3.DataRow
			_ = row.Decode(m[5:])
			a.values = append(a.values, string(row.Values[0]))
		case 'S':
			var st pgproto3.ParameterStatus
			_ = st.Decode(m[5:])
			a.token = st.Value
		case 'Z':
			a.status = m[5]
		}
	}
	if a.status != 0 && a.status != raw.TxStatus {
		s.tb.Fatalf("status %c in ReadyForQuery, %c for the connection", a.status, raw.TxStatus)
	}
	return a
}
