package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
)

// TestSlotsConnectionsAndLatency guards against a stand-in that is faster than
// its settings, which would make every benchmark against it look too good.
func TestSlotsConnectionsAndLatency(t *testing.T) {
	is := is.New(t)
	srv := startGroup(t, 1, func(int) standin.Options {
		return standin.Options{Slots: 2, Connections: 6, Latency: 5 * time.Millisecond, ConnectDelay: 30 * time.Millisecond}
	})[0]
	start := time.Now()
	c := connectPgx(t, srv, "")
	is.True(time.Since(start) >= 50*time.Millisecond) // two round trips and the delay

	start = time.Now()
	_, err := c.Exec(t.Context(), "SELECT 1")
	is.NoErr(err)
	is.True(time.Since(start) >= 10*time.Millisecond)

	is.NoErr(srv.SetFault(standin.FaultServiceTime, "50ms"))
	start = time.Now()
	var wg sync.WaitGroup
	for range 3 { // 3 statements on 2 slots
		c := connectPgx(t, srv, "")
		wg.Go(func() {
			if _, err := c.Exec(t.Context(), "SELECT v FROM kv", pgx.QueryExecModeSimpleProtocol); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	is.True(time.Since(start) >= 110*time.Millisecond)

	// startGroup holds two of the six connections, and this test four.
	_, err = pgx.Connect(t.Context(), dsn(srv))
	is.Equal(sqlState(err), "53300")
}

// TestReplicaDelays guards against replicas that lag less than their settings
// specify.
func TestReplicaDelays(t *testing.T) {
	is := is.New(t)
	servers := startGroup(t, 2, func(i int) standin.Options {
		return standin.Options{ReplicationDelay: 40 * time.Millisecond, ApplyDelay: 500 * time.Millisecond}
	})
	c := connectBackend(t, servers[0])
	start := time.Now()
	_, pos, err := insert(t, c, "a", "1")
	is.NoErr(err)
	eventually(t, "record is received", func() bool { received, _ := servers[1].Positions(); return received == pos })
	is.True(time.Since(start) >= 40*time.Millisecond)
	is.True(appliedPosition(servers[1]) != pos)
	eventually(t, "record is applied", func() bool { return appliedPosition(servers[1]) == pos })
	is.True(time.Since(start) >= 540*time.Millisecond)
}

// TestConnectionFaults guards against fault switches that have no effect, or that
// affect more connections than documented.
func TestConnectionFaults(t *testing.T) {
	is := is.New(t)
	srv := startGroup(t, 1, nil)[0]
	answersStatus := func(c *backend.Conn) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := c.Status(ctx)
		return err == nil
	}
	existing, admin := connectBackend(t, srv), connectBackend(t, srv)
	answer, err := admin.Relay(t.Context(), queryMessage("SELECT standin_fault('silent', 'on')"), 1<<20)
	is.NoErr(err)
	is.Equal(answer.SQLState, "")
	is.True(!answersStatus(existing))
	is.True(answersStatus(connectBackend(t, srv)))
	is.NoErr(srv.SetFault(standin.FaultFreeze, "300ms"))
	is.True(!answersStatus(admin))
	eventually(t, "server answers again", func() bool { return answersStatus(connectBackend(t, srv)) })
	is.NoErr(srv.SetFault(standin.FaultRefuse, "on"))
	_, err = pgx.Connect(t.Context(), dsn(srv))
	is.True(err != nil)
}

// TestReplicaReconnectsToSilentPrimary guards against replicas that wait
// indefinitely on a replication connection on which nothing arrives any more.
func TestReplicaReconnectsToSilentPrimary(t *testing.T) {
	is := is.New(t)
	servers := startGroup(t, 2, nil)
	_, pos, err := insert(t, connectBackend(t, servers[0]), "a", "1")
	is.NoErr(err)
	eventually(t, "record is applied", func() bool { return appliedPosition(servers[1]) == pos })
	is.NoErr(servers[0].SetFault(standin.FaultSilent, "on"))
	_, pos, err = insert(t, connectBackend(t, servers[0]), "b", "1")
	is.NoErr(err)
	eventually(t, "record is applied over a new connection", func() bool { return appliedPosition(servers[1]) == pos })
}

// TestStopIsGraceful guards against a planned stop that aborts a request or an
// open transaction, or that leaves records which no replica has received.
func TestStopIsGraceful(t *testing.T) {
	is := is.New(t)
	servers := startGroup(t, 2, nil)
	// Stop waits for connected replicas only.
	eventually(t, "replica is connected", func() bool { return appliedPosition(servers[1]) == appliedPosition(servers[0]) })
	idle, busy := connectPgx(t, servers[0], ""), connectPgx(t, servers[0], "")
	_, err := busy.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	stopped := make(chan error)
	go func() { stopped <- servers[0].Stop(t.Context()) }()
	eventually(t, "idle connection is closed", func() bool {
		_, err := idle.Exec(t.Context(), "SELECT 1")
		return err != nil
	})
	_, err = busy.Exec(t.Context(), "INSERT INTO kv (k, v) VALUES ('a', '1')")
	is.NoErr(err)
	_, err = busy.Exec(t.Context(), "COMMIT")
	is.NoErr(err)
	is.NoErr(<-stopped)
	eventually(t, "replica has the last record", func() bool { return appliedPosition(servers[1]) == appliedPosition(servers[0]) })

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	openTx := connectPgx(t, servers[1], "")
	_, err = openTx.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	is.True(servers[1].Stop(ctx) != nil) // a transaction that stays open is aborted at the end of ctx
}

// TestAbortSendsNothing guards against a server that still sends an answer when it
// is aborted: a killed process closes its connections without one.
func TestAbortSendsNothing(t *testing.T) {
	for range 20 {
		is := is.New(t)
		srv := startServer(t, standin.Options{ServiceTime: time.Minute, Slots: 20, Connections: 30})
		errs := make(chan error)
		for range 10 {
			c := connectPgx(t, srv, "")
			go func() {
				_, err := c.Exec(t.Context(), "SELECT v FROM kv", pgx.QueryExecModeSimpleProtocol)
				errs <- err
			}()
		}
		time.Sleep(20 * time.Millisecond) // the statements occupy their slots
		srv.Abort()
		for range 10 {
			err := <-errs
			is.True(err != nil)
			var answer *pgconn.PgError
			is.True(!errors.As(err, &answer)) // the error is that of the connection
		}
	}
}

// TestAnnouncementFailoverAndDeparture guards against a server that does not try
// the next entry host when one fails, or that stops without announcing its
// departure.
func TestAnnouncementFailoverAndDeparture(t *testing.T) {
	is := is.New(t)
	received := make(chan controlrpc.Server, 100)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var s controlrpc.Server
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil || r.URL.Path != "/v1/announce" || r.Method != http.MethodPost {
			t.Errorf("announcement %s %s: %v", r.Method, r.URL, err)
		}
		received <- s
	}))
	defer entry.Close()
	closedEntry := httptest.NewServer(http.NotFoundHandler())
	closedEntry.Close()
	srv := startServer(t, standin.Options{
		ID: "m1", Group: "orders", DataCentre: "cork-1", Labels: map[string]string{"disk": "fast"}, Slots: 4, Connections: 30,
		AnnounceTo: []string{strings.TrimPrefix(closedEntry.URL, "http://"), strings.TrimPrefix(entry.URL, "http://")}, AnnounceInterval: 50 * time.Millisecond,
	})
	want := controlrpc.Server{
		ID: "m1", Group: "orders", Address: srv.Address(), DataCentre: "cork-1", Labels: map[string]string{"disk": "fast"}, Slots: 4, Connections: 30,
	}
	is.Equal(<-received, want)
	is.Equal(<-received, want)
	is.NoErr(srv.Stop(t.Context()))
	close(received)
	for s := range received {
		want = s
	}
	is.True(want.Departing)
}
