package entry_test

import (
	"context"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/jackc/pgx/v5/pgproto3"
)

// answer is a decoded answer.
type answer struct {
	kinds   string   // types of the messages, such as "TDCZ"
	values  []string // first column of the rows
	code    string   // SQLSTATE
	message string
	outcome string // from the hint
	token   string // session token of the ParameterStatus
	status  byte
	closed  bool
}

// driver calls the handler of an entry without a socket.
type driver struct {
	tb   testing.TB
	h    caller.Handler
	sess any
}

// open starts a session with attributes given as name, value, ...
func open(tb testing.TB, ent *entry.Entry, params ...string) *driver {
	tb.Helper()
	d := &driver{tb: tb, h: ent.Handler()}
	all := map[string]string{"user": "u", "database": groupName}
	for i := 0; i < len(params); i += 2 {
		all[params[i]] = params[i+1]
	}
	opened, err := d.h.Open(context.Background(), caller.Startup{Parameters: all})
	if err != nil {
		tb.Fatal(err)
	}
	d.sess = opened.Session
	return d
}

func (d *driver) close() { d.h.Close(d.sess) }

// query runs a Query.
func (d *driver) query(sql string) answer {
	m, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return d.run(caller.Cycle{Kind: caller.KindQuery, Messages: m})
}

// must runs a Query that has to succeed.
func (d *driver) must(sql string) answer {
	d.tb.Helper()
	a := d.query(sql)
	if a.code != "" {
		d.tb.Fatalf("%s: %s %s", sql, a.code, a.message)
	}
	return a
}

// read returns the value of a key.
func (d *driver) read(key string) answer {
	return d.query("select v from kv where k = '" + key + "'")
}

// extended runs messages followed by Sync.
func (d *driver) extended(messages ...pgproto3.FrontendMessage) answer {
	return d.run(caller.Cycle{Kind: caller.KindExtended, Messages: frontend(append(messages, &pgproto3.Sync{})...)})
}

func frontend(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}
	return out
}

func (d *driver) run(c caller.Cycle) answer {
	d.tb.Helper()
	raw := d.h.Run(context.Background(), d.sess, c)
	a := answer{closed: raw.Close}
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
		d.tb.Fatalf("status %c in ReadyForQuery, %c for the connection", a.status, raw.TxStatus)
	}
	return a
}
