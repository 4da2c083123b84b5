package standin_test

import (
	"context"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// sqlState returns the SQLSTATE of err, the message of an error without one, or
// an empty string for nil.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// formatResults formats the result of one statement as testdata/sql.txt does.
func formatResults(results []*pgconn.Result, err error) string {
	if err != nil {
		return "! " + sqlState(err) + "\n"
	}
	var b strings.Builder
	for _, res := range results {
		for _, row := range res.Rows {
			for i, v := range row {
				if i > 0 {
					b.WriteByte('|')
				}
				b.Write(v)
			}
			b.WriteByte('\n')
		}
		b.WriteString("= " + res.CommandTag.String() + "\n")
	}
	return b.String()
}

// TestSQL guards against supported statements that are rejected or whose results
// differ from those of PostgreSQL, in the simple and the extended protocol.
func TestSQL(t *testing.T) {
	data, err := os.ReadFile("testdata/sql.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, script, _ := strings.Cut(string(data), "\n> ")
	for _, protocol := range []string{"simple", "extended"} {
		t.Run(protocol, func(t *testing.T) {
			c := connectPgx(t, startGroup(t, 1, nil)[0], "").PgConn()
			for _, step := range strings.Split(script, "\n> ") {
				sql, want, _ := strings.Cut(step, "\n")
				var got string
				if protocol == "simple" {
					got = formatResults(c.Exec(t.Context(), sql).ReadAll())
				} else {
					res := c.ExecParams(t.Context(), sql, nil, nil, nil, nil).Read()
					got = formatResults([]*pgconn.Result{res}, res.Err)
				}
				want = strings.TrimSpace(want)
				if strings.Contains(sql, "$1") && protocol == "extended" {
					want = "! 08P01" // Bind without the parameter is rejected
				}
				if strings.TrimSpace(got) != want {
					t.Errorf("%s\ngot:\n%swant:\n%s", sql, got, want)
				}
			}
		})
	}
}

// TestPgxQueryExecModes guards against errors in protocol features that pgx uses:
// named statements, described types, and text and binary values.
func TestPgxQueryExecModes(t *testing.T) {
	srv := startGroup(t, 1, nil)[0]
	for _, mode := range []string{"", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run("mode "+mode, func(t *testing.T) {
			is := is.New(t)
			options := ""
			if mode != "" {
				options = "&default_query_exec_mode=" + mode
			}
			c := connectPgx(t, srv, options)
			key := "key-" + mode
			for _, v := range []string{"first", "it's", ""} {
				_, err := c.Exec(t.Context(), "INSERT INTO kv (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = excluded.v", key, v)
				is.NoErr(err)
				var got string
				is.NoErr(c.QueryRow(t.Context(), "SELECT v FROM kv WHERE k = $1", key).Scan(&got))
				is.Equal(got, v)
			}
			_, err := c.Exec(t.Context(), "UPDATE kv SET v = v || $1 WHERE k = $2", "tail", key)
			is.NoErr(err)
			var count, one int
			var text string
			is.NoErr(c.QueryRow(t.Context(), "SELECT count(*) FROM kv WHERE k = $1", key).Scan(&count))
			is.NoErr(c.QueryRow(t.Context(), "SELECT 1").Scan(&one))
			is.NoErr(c.QueryRow(t.Context(), "SELECT v FROM kv WHERE k = $1", key).Scan(&text))
			is.Equal(count+one, 2)
			is.Equal(text, "tail")
			_, err = c.Exec(t.Context(), "SELECT pg_sleep(0.01)")
			is.NoErr(err)
			tx, err := c.BeginTx(t.Context(), pgx.TxOptions{AccessMode: pgx.ReadOnly})
			is.NoErr(err)
			_, err = tx.Exec(t.Context(), "DELETE FROM kv WHERE k = $1", key)
			is.Equal(sqlState(err), "25006")
			is.NoErr(tx.Rollback(t.Context()))
			is.True(c.QueryRow(t.Context(), "SELECT v FROM kv WHERE k = $1", "missing").Scan(&text) == pgx.ErrNoRows)
		})
	}
}

// TestRowLocks guards against lost updates, dirty reads and unbounded lock waits.
func TestRowLocks(t *testing.T) {
	is := is.New(t)
	srv := startGroup(t, 1, func(int) standin.Options { return standin.Options{Slots: 1, LockTimeout: time.Second} })[0]
	a, b := connectPgx(t, srv, ""), connectPgx(t, srv, "")
	exec := func(c *pgx.Conn, sql string) string {
		_, err := c.Exec(t.Context(), sql)
		return sqlState(err)
	}
	value := func(c *pgx.Conn) (v string) {
		is.NoErr(c.QueryRow(t.Context(), "SELECT v FROM kv WHERE k = 'a'").Scan(&v))
		return v
	}
	is.Equal(exec(a, "INSERT INTO kv (k, v) VALUES ('a', '')"), "")
	is.Equal(exec(a, "BEGIN"), "")
	is.Equal(exec(a, "UPDATE kv SET v = v || 'a' WHERE k = 'a'"), "")
	is.Equal(value(b), "") // not committed yet
	is.Equal(exec(b, "UPDATE kv SET v = v || 'b' WHERE k = 'a'"), "55P03")

	result := make(chan string)
	go func() { // the first UPDATE waits for the lock; the second already holds it
		result <- exec(b, "UPDATE kv SET v = v || 'b' WHERE k = 'a'; UPDATE kv SET v = v || 'b' WHERE k = 'a'")
	}()
	time.Sleep(50 * time.Millisecond)
	is.Equal(exec(a, "COMMIT"), "") // needs the only slot while b waits
	is.Equal(<-result, "")
	is.Equal(value(a), "abb")

	is.Equal(exec(a, "BEGIN"), "")
	is.Equal(exec(a, "INSERT INTO kv (k, v) VALUES ('n', '1')"), "")
	go func() { result <- exec(b, "INSERT INTO kv (k, v) VALUES ('n', '2')") }()
	time.Sleep(50 * time.Millisecond)
	is.Equal(exec(a, "COMMIT"), "")
	is.Equal(<-result, "23505")

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := b.Exec(ctx, "SELECT pg_sleep(5)") // pgx sends a cancel request
	is.True(err != nil)
	start := time.Now()
	is.Equal(exec(a, "SELECT 1"), "") // the slot is free again
	is.True(time.Since(start) < 2*time.Second)
}

// TestAnyStatementIsAnswered guards against statements that crash the server or
// desynchronise the protocol on the connection.
func TestAnyStatementIsAnswered(t *testing.T) {
	c := connectBackend(t, startGroup(t, 1, nil)[0])
	words := strings.Fields("select insert into update delete from kv k v values ( ) , ; = 'x' '' 1 -1 $1 $0 * . || :: text set where on conflict do nothing " +
		"update excluded returning count pg_sleep arbutusring_status arbutusring_fence begin commit rollback show discard all read only for update \" ' -- /* */ \\ é")
	rapid.Check(t, func(t *rapid.T) {
		sql := strings.Join(rapid.SliceOfN(rapid.SampledFrom(words), 1, 14).Draw(t, "words"), " ")
		cycle := queryMessage(sql)
		if rapid.Bool().Draw(t, "extended") {
			var err error
			cycle, err = (&pgproto3.Parse{Query: sql}).Encode(nil)
			for _, m := range []pgproto3.FrontendMessage{&pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}} {
				if err == nil {
					cycle, err = m.Encode(cycle)
				}
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if _, err := c.Relay(ctx, cycle, 1<<20); err != nil {
			t.Fatalf("%q: %v", sql, err)
		}
	})
}
