package load_test

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/load"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// startServer starts a stand-in server that runs until the end of the test,
// and returns it with its DSN.
func startServer(t *testing.T, opts standin.Options) (*standin.Server, string) {
	t.Helper()
	srv, err := standin.New(opts)
	if err == nil {
		err = srv.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Abort)
	return srv, "postgres://test@" + srv.Address() + "/orders?sslmode=disable"
}

// assignPrimary makes primary the primary of term 1, and lets replica, if not
// nil, follow it.
func assignPrimary(t *testing.T, primary, replica *standin.Server) {
	t.Helper()
	is := is.New(t)
	is.NoErr(primary.Promote(1))
	if replica != nil {
		is.NoErr(replica.Follow(primary, 1))
	}
}

// TestRunCountsEveryOperation guards against operations that are not counted
// or counted twice, and against false violations on a correct server.
func TestRunCountsEveryOperation(t *testing.T) {
	is := is.New(t)
	srv, dsn := startServer(t, standin.Options{})
	assignPrimary(t, srv, nil)
	report, err := load.Run(t.Context(), load.Options{
		DSNs: []string{dsn}, Seed: 7, Count: 600, Duration: 20 * time.Second,
		Ranks: []load.Rank{
			{Name: "urgent", Sessions: 3, ReadShare: 0.5, MoveEvery: 20},
			{Name: "bulk", Sessions: 3, ReadShare: 0.5, Rate: 2000, MaxStaleness: time.Second},
		},
	})
	is.NoErr(err)
	is.Equal(report.Violations(), int64(0))
	var attempts int64
	for _, r := range report.Ranks {
		attempts += r.Attempts
		is.Equal(r.OK, r.Attempts)
		is.True(r.P50 > 0 && r.P99 >= r.P50 && r.Max >= r.P99)
		is.True(r.Writes > 0 && r.Writes < r.Attempts)
	}
	is.Equal(attempts, int64(600))
	is.True(report.Ranks[0].Moves > 0)

	var text, csv bytes.Buffer
	is.NoErr(report.WriteText(&text))
	is.NoErr(report.WriteCSV(&csv))
	is.True(strings.Contains(text.String(), "urgent"))
	is.Equal(strings.Count(csv.String(), "\n"), 3) // the header and two ranks
}

// TestRunFindsStaleReads guards against a check that never fails: sessions
// that move from the primary to a lagging replica without a token don't read
// their own writes, and the check must find it.
func TestRunFindsStaleReads(t *testing.T) {
	is := is.New(t)
	primary, dsn1 := startServer(t, standin.Options{ID: "m1"})
	replica, dsn2 := startServer(t, standin.Options{ID: "m2", ApplyDelay: time.Minute})
	assignPrimary(t, primary, replica)
	report, err := load.Run(t.Context(), load.Options{
		DSNs: []string{dsn1, dsn2}, Seed: 1, Count: 200, Keys: 2,
		Ranks: []load.Rank{{Name: "any", Sessions: 2, ReadShare: 0.5, MoveEvery: 10}},
	})
	is.NoErr(err)
	is.True(report.Violations() > 0)
	is.Equal(report.Ranks[0].Examples[0].Kind, load.ViolationReadYourWrites)
	is.True(report.Ranks[0].Refused["25006"] > 0) // writes on the replica
}

// TestRunSeparatesUnknownFromRefused guards against counting a write whose
// answer was lost as refused, and against counting an operation whose
// connection attempt failed as unknown.
func TestRunSeparatesUnknownFromRefused(t *testing.T) {
	is := is.New(t)
	srv, dsn := startServer(t, standin.Options{})
	assignPrimary(t, srv, nil)
	is.NoErr(srv.SetFault(standin.FaultDropAnswer, "3"))
	opts := load.Options{DSNs: []string{dsn}, Count: 50, Ranks: []load.Rank{{Name: "any", Sessions: 1}}}
	report, err := load.Run(t.Context(), opts)
	is.NoErr(err)
	is.Equal(report.Ranks[0].Unknown, int64(3))
	is.Equal(report.Ranks[0].OK, int64(47))

	is.NoErr(srv.SetFault(standin.FaultRefuse, "on"))
	opts.Count = 5
	report, err = load.Run(t.Context(), opts)
	is.NoErr(err)
	is.Equal(report.Ranks[0].Refused["client"], int64(5))
	is.Equal(report.Violations(), int64(0))
}

// fakeEntry acknowledges every write with a new session token, and records the
// startup parameters of each connection.
type fakeEntry struct {
	mu            sync.Mutex
	startupParams []map[string]string
	issuedTokens  []string
}

// run accepts and serves connections on ln until it is closed.
func (e *fakeEntry) run(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go e.runConn(nc)
	}
}

func (e *fakeEntry) runConn(nc net.Conn) {
	defer nc.Close()
	b := pgproto3.NewBackend(nc, nc)
	msg, err := b.ReceiveStartupMessage()
	startup, ok := msg.(*pgproto3.StartupMessage)
	if err != nil || !ok {
		return
	}
	e.mu.Lock()
	e.startupParams = append(e.startupParams, maps.Clone(startup.Parameters))
	e.mu.Unlock()
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		msg, err := b.Receive()
		if _, ok := msg.(*pgproto3.Query); err != nil || !ok {
			return
		}
		e.mu.Lock()
		token := fmt.Sprint("token-", len(e.issuedTokens))
		e.issuedTokens = append(e.issuedTokens, token)
		e.mu.Unlock()
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
		b.Send(&pgproto3.ParameterStatus{Name: "arbutusring.session_token", Value: token})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
}

// TestSessionsCarryTheirToken guards against sessions that move to another DSN
// without the token of their last write. Violations of the proxy's guarantee
// would then look like faults of the load generator, or be hidden.
func TestSessionsCarryTheirToken(t *testing.T) {
	is := is.New(t)
	e := &fakeEntry{}
	var dsns []string
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer ln.Close()
		go e.run(ln)
		dsns = append(dsns, "postgres://test@"+ln.Addr().String()+"/orders?sslmode=disable&default_query_exec_mode=simple_protocol")
	}
	report, err := load.Run(t.Context(), load.Options{
		DSNs: dsns, Count: 9,
		Ranks: []load.Rank{{Name: "urgent", Sessions: 1, MaxStaleness: 2 * time.Second, Deadline: time.Second, MoveEvery: 3}},
	})
	is.NoErr(err)
	is.Equal(report.Ranks[0].OK, int64(9))
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.startupParams), 3)
	for i, want := range []string{"", "token-2", "token-5"} {
		is.Equal(e.startupParams[i]["arbutusring.session_token"], want)
		is.Equal(e.startupParams[i]["arbutusring.rank"], "urgent")
		is.Equal(e.startupParams[i]["arbutusring.max_staleness"], "2s")
		is.Equal(e.startupParams[i]["arbutusring.deadline"], "1s")
	}
}

// TestRunRefusesBadOptions guards against options with which a run would not
// end or would measure nothing.
func TestRunRefusesBadOptions(t *testing.T) {
	rank := load.Rank{Sessions: 1}
	for name, opts := range map[string]load.Options{
		"no dsn":      {Count: 1, Ranks: []load.Rank{rank}},
		"no rank":     {DSNs: []string{"postgres://127.0.0.1:1/x"}, Count: 1},
		"no limit":    {DSNs: []string{"postgres://127.0.0.1:1/x"}, Ranks: []load.Rank{rank}},
		"no sessions": {DSNs: []string{"postgres://127.0.0.1:1/x"}, Count: 1, Ranks: []load.Rank{{}}},
		"bad dsn":     {DSNs: []string{"postgres://127.0.0.1:x/"}, Count: 1, Ranks: []load.Rank{rank}},
	} {
		if _, err := load.Run(t.Context(), opts); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
