package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// newEntry returns an entry that uses the fake group and the given policy text.
func newEntry(f *fakeGroup, policyText string) *entry.Entry {
	f.entries++
	ent := entry.New(entry.Options{
		StaleAfter: time.Hour,
		Host:       controlrpc.Host{ID: fmt.Sprintf("e%d", f.entries), Incarnation: "1", DataCentre: "d1", Region: "r"},
		Owners:     f.client(),
	})
	ent.SetState(f.state(1), parsePolicy(policyText))
	ent.RecordConfirmation(time.Now())
	return ent
}

// serveEntry starts a caller server with an entry on a free port and returns a
// connection string.
func serveEntry(tb testing.TB, f *fakeGroup, policyText string) string {
	ent := newEntry(f, policyText)
	srv := caller.New(caller.Options{Address: "127.0.0.1:0", Handler: ent.Handler()})
	if err := srv.Start(); err != nil {
		tb.Fatal(err)
	}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				ent.RecordConfirmation(time.Now())
			}
		}
	}()
	tb.Cleanup(func() {
		close(stop)
		_ = srv.Close()
		ent.Close()
	})
	return "postgres://u@" + srv.Addr().String() + "/" + groupName + "?sslmode=disable"
}

// TestPgxModes guards against answers that the driver pgx doesn't accept in one of
// its query modes.
func TestPgxModes(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		t.Run(mode.String(), func(t *testing.T) {
			is := is.New(t)
			f := newFake()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			cfg, err := pgx.ParseConfig(serveEntry(t, f, ""))
			is.NoErr(err)
			cfg.DefaultQueryExecMode = mode
			conn, err := pgx.ConnectConfig(ctx, cfg)
			is.NoErr(err)
			defer conn.Close(ctx)
			read := func(key string) string {
				var v *string
				is.NoErr(conn.QueryRow(ctx, "select v from kv where k = $1", key).Scan(&v))
				if v == nil {
					return ""
				}
				return *v
			}
			for _, v := range []string{"1", "2", "3"} {
				_, err = conn.Exec(ctx, "insert into kv values ($1, $2)", "a", v)
				is.NoErr(err)
				is.Equal(read("a"), v)
			}
			is.True(conn.PgConn().ParameterStatus("arbutusring.session_token") != "")

			var batch pgx.Batch
			batch.Queue("insert into kv values ($1, $2)", "c", "1")
			batch.Queue("select v from kv where k = $1", "c")
			results := conn.SendBatch(ctx, &batch)
			_, err = results.Exec()
			is.NoErr(err)
			var batched string
			is.NoErr(results.QueryRow().Scan(&batched))
			is.Equal(batched, "1")
			is.NoErr(results.Close())

			tx, err := conn.Begin(ctx)
			is.NoErr(err)
			_, err = tx.Exec(ctx, "insert into kv values ($1, $2)", "b", "x")
			is.NoErr(err)
			is.Equal(read("b"), "x")
			is.NoErr(tx.Rollback(ctx))
			is.Equal(read("b"), "")
			tx, err = conn.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
			is.NoErr(err)
			is.Equal(read("a"), "3")
			is.NoErr(tx.Commit(ctx))

			_, err = conn.Exec(ctx, "set arbutusring.max_staleness = '250ms'")
			is.NoErr(err)
			var shown string
			is.NoErr(conn.QueryRow(ctx, "show arbutusring.max_staleness").Scan(&shown))
			is.Equal(shown, "250ms")
			is.NoErr(conn.Ping(ctx))
			is.True(f.readCount("s1")+f.readCount("s2") > f.readCount("s0")) // replicas are preferred
		})
	}
}
