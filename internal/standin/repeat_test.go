package standin_test

import (
	"net"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// TestRepeatAnswer guards against a fault that repeats nothing, or more than the answer.
func TestRepeatAnswer(t *testing.T) {
	is := is.New(t)
	srv, err := standin.New(standin.Options{})
	is.NoErr(err)
	is.NoErr(srv.Start())
	defer srv.Abort()
	is.NoErr(srv.Promote(1))
	nc, err := net.Dial("tcp", srv.Address())
	is.NoErr(err)
	defer nc.Close()
	is.NoErr(nc.SetDeadline(time.Now().Add(10 * time.Second)))
	f := pgproto3.NewFrontend(nc, nc)
	// types returns the types of the messages up to the nth ReadyForQuery.
	types := func(n int) (all string) {
		for n > 0 {
			m, err := f.Receive()
			is.NoErr(err)
			switch m.(type) {
			case *pgproto3.RowDescription:
				all += "T"
			case *pgproto3.DataRow:
				all += "D"
			case *pgproto3.CommandComplete:
				all += "C"
			case *pgproto3.ReadyForQuery:
				all += "Z"
				n--
			}
		}
		return all
	}
	query := func(sql string, answers int) string {
		f.Send(&pgproto3.Query{String: sql})
		is.NoErr(f.Flush())
		return types(answers)
	}
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}})
	is.NoErr(f.Flush())
	types(1)
	is.NoErr(srv.SetFault(standin.FaultRepeatAnswer, "1"))
	is.Equal(query("INSERT INTO kv (k, v) VALUES ('a', '1')", 1), "CZ")
	is.Equal(query("SELECT 'x' AS arbutusring_tag", 1), "TDCZ")
	is.Equal(query("SELECT v FROM kv", 2), "CZTDCZ")
	is.Equal(query("SELECT v FROM kv", 1), "TDCZ")
}
