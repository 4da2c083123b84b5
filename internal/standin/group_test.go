package standin_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// startServer starts a server that is aborted at the end of the test.
func startServer(t *testing.T, opts standin.Options) *standin.Server {
	t.Helper()
	srv, err := standin.New(opts)
	if err == nil {
		err = srv.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Abort)
	return srv
}

// connectBackend opens a backend connection that is closed at the end of the test.
func connectBackend(t *testing.T, srv *standin.Server) *backend.Conn {
	t.Helper()
	c, err := backend.Connect(t.Context(), backend.ConnOptions{Address: srv.Address(), Database: "orders", User: "test", DialTimeout: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func dsn(srv *standin.Server) string {
	return "postgres://test@" + srv.Address() + "/orders?sslmode=disable"
}

// connectPgx opens a pgx connection that is closed at the end of the test.
func connectPgx(t *testing.T, srv *standin.Server, options string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), dsn(srv)+options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// startGroup starts n servers; the first is the primary of term 1 and the others
// are its replicas.
func startGroup(t *testing.T, n int, opts func(i int) standin.Options) []*standin.Server {
	t.Helper()
	servers := make([]*standin.Server, n)
	for i := range servers {
		o := standin.Options{}
		if opts != nil {
			o = opts(i)
		}
		if o.ID == "" {
			o.ID = fmt.Sprintf("m%d", i+1)
		}
		servers[i] = startServer(t, o)
	}
	failover(t, 1, servers[0], servers[1:]...)
	return servers
}

// failover fences all servers at term, promotes primary and makes the others its
// replicas.
func failover(t *testing.T, term uint64, primary *standin.Server, others ...*standin.Server) {
	t.Helper()
	is := is.New(t)
	for _, srv := range append([]*standin.Server{primary}, others...) {
		_, err := connectBackend(t, srv).Fence(t.Context(), term)
		is.NoErr(err)
	}
	st, err := connectBackend(t, primary).Promote(t.Context(), term)
	is.NoErr(err)
	is.True(st.Primary)
	is.Equal(st.Received.Term, term)
	for _, srv := range others {
		_, err := connectBackend(t, srv).Follow(t.Context(), primary.Address(), term)
		is.NoErr(err)
	}
}

// eventually waits until condition returns true, and fails the test after 5 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within 5 s: %s", what)
}

func appliedPosition(srv *standin.Server) logpos.Position {
	_, p := srv.Positions()
	return p
}

// TestGroupReplicates guards against replicas that miss records, apply them
// differently, or do not report what they have received.
func TestGroupReplicates(t *testing.T) {
	is := is.New(t)
	servers := startGroup(t, 3, nil)
	c := connectPgx(t, servers[0], "")
	for i := range 20 {
		_, err := c.Exec(t.Context(), "INSERT INTO kv (k, v) VALUES ($1, $2)", fmt.Sprint("k", i), fmt.Sprint("v", i))
		is.NoErr(err)
	}
	end := appliedPosition(servers[0])
	is.Equal(end, logpos.Position{Term: 1, LSN: 21}) // the first record of the term and 20 transactions
	for _, srv := range servers[1:] {
		eventually(t, "replica applies the log", func() bool { return appliedPosition(srv) == end })
		var count int
		is.NoErr(connectPgx(t, srv, "").QueryRow(t.Context(), "SELECT count(*) FROM kv").Scan(&count))
		is.Equal(count, 20)
		var v string
		is.NoErr(connectPgx(t, srv, "&default_query_exec_mode=simple_protocol").QueryRow(t.Context(), "SELECT v FROM kv WHERE k = $1", "k7").Scan(&v))
		is.Equal(v, "v7")
	}
	b := connectBackend(t, servers[0])
	eventually(t, "primary lists the progress of both replicas", func() bool {
		replicas, err := b.Replicas(t.Context())
		return err == nil && len(replicas) == 2 && replicas[0].Received == end && replicas[1].Received == end
	})
}
