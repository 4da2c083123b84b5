package standin_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

func insert(t *testing.T, c *backend.Conn, key, value string) (backend.Answer, logpos.Position, error) {
	t.Helper()
	sql := fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s', '%s') ON CONFLICT (k) DO UPDATE SET v = excluded.v", key, value)
	return c.RelayCommit(t.Context(), queryMessage(sql), 1<<20)
}

func queryMessage(sql string) []byte {
	n := len(sql) + 5
	return append(append([]byte{'Q', byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, sql...), 0)
}

// contents returns the raw answer to a read of the whole table.
func contents(t *testing.T, srv *standin.Server) []byte {
	t.Helper()
	answer, err := connect(t, srv).Relay(t.Context(), queryMessage("SELECT k, v FROM kv"), 64<<20)
	if err != nil {
		t.Fatal(err)
	}
	return answer.Messages
}

// TestTermChecks guards against accepting a term that is over, and against
// promoting a server whose log may still change.
func TestTermChecks(t *testing.T) {
	is := is.New(t)
	srv := start(t, standin.Options{ID: "m1"})
	c := connect(t, srv)
	status := func(st backend.Status, err error) string {
		if err != nil {
			return string(errkind.Of(err))
		}
		return fmt.Sprintf("%d primary=%v %s", st.Term, st.Primary, st.Received)
	}
	ctx := t.Context()
	is.Equal(status(c.Status(ctx)), "0 primary=false 0/0")
	is.Equal(status(c.Promote(ctx, 1)), "stale_term") // not fenced
	is.Equal(status(c.Fence(ctx, 2)), "2 primary=false 0/0")
	is.Equal(status(c.Fence(ctx, 1)), "stale_term")
	is.Equal(status(c.Promote(ctx, 1)), "stale_term")
	is.Equal(status(c.Promote(ctx, 3)), "stale_term")
	is.Equal(status(c.Promote(ctx, 2)), "2 primary=true 2/1")
	is.Equal(status(c.Promote(ctx, 2)), "2 primary=true 2/1") // repeated
	is.Equal(status(c.Fence(ctx, 2)), "2 primary=true 2/1")   // repeated
	is.Equal(status(c.Follow(ctx, "127.0.0.1:1", 2)), "stale_term")
	is.Equal(status(c.Follow(ctx, "", 3)), "bad_request")
	is.Equal(status(c.Fence(ctx, 3)), "3 primary=false 2/1")
	is.Equal(status(c.Follow(ctx, "127.0.0.1:1", 2)), "stale_term")
	is.Equal(status(c.Follow(ctx, "127.0.0.1:1", 3)), "3 primary=false 2/1")
	is.Equal(status(c.Promote(ctx, 3)), "stale_term") // follows the primary of the term
	_, err := c.Replicas(ctx)
	is.Equal(errkind.Of(err), errkind.NoPrimary)
	is.True(!c.Closed()) // errors of the server leave the connection open
}

// TestDivergedLogIsRewound guards against an isolated primary that keeps
// records which its group has abandoned, or counts replicas of another term.
func TestDivergedLogIsRewound(t *testing.T) {
	is := is.New(t)
	servers := group(t, 3, nil)
	old, next, third := servers[0], servers[1], servers[2]
	c := connect(t, old)
	_, end, err := insert(t, c, "kept", "1")
	is.NoErr(err)
	for _, srv := range servers {
		eventually(t, "record is everywhere", func() bool { return applied(srv) == end })
	}
	is.NoErr(old.SetFault(standin.FaultStopReplication, "on")) // isolated, but still a primary
	for i := range 10 {
		_, _, err := insert(t, c, fmt.Sprint("lost", i), "1")
		is.NoErr(err)
	}
	failover(t, 2, next, third)
	_, end, err = insert(t, connect(t, next), "new", "2")
	is.NoErr(err)
	eventually(t, "third follows", func() bool { return applied(third) == end })
	replicas, err := c.Replicas(t.Context())
	is.NoErr(err)
	is.Equal(len(replicas), 0) // neither replica counts for term 1 any more

	is.NoErr(old.SetFault(standin.FaultStopReplication, "off"))
	_, err = c.Follow(t.Context(), next.Address(), 2)
	is.NoErr(err)
	eventually(t, "old primary is rewound", func() bool { return applied(old) == end })
	is.Equal(contents(t, old), contents(t, next))
}

// TestRewindAcrossTerms guards against a fork point that is taken from the
// lengths of two logs whose last records belong to different terms.
func TestRewindAcrossTerms(t *testing.T) {
	is := is.New(t)
	servers := group(t, 3, nil)
	_, end, err := insert(t, connect(t, servers[0]), "kept", "1")
	is.NoErr(err)
	for _, srv := range servers {
		eventually(t, "record is everywhere", func() bool { return applied(srv) == end })
	}
	is.NoErr(servers[0].Promote(2)) // nobody follows it at this term
	for i := range 5 {
		_, _, err = insert(t, connect(t, servers[0]), fmt.Sprint("lost", i), "1")
		is.NoErr(err)
	}
	failover(t, 3, servers[1], servers[2])
	for i := range 9 {
		_, end, err = insert(t, connect(t, servers[1]), fmt.Sprint("new", i), "1")
		is.NoErr(err)
	}
	is.NoErr(servers[0].Follow(servers[1], 3))
	eventually(t, "log is rewound", func() bool { return applied(servers[0]) == end })
	is.Equal(contents(t, servers[0]), contents(t, servers[1]))
}

// TestFenceStopsCommits guards against a commit that slips in after the fence
// has been confirmed, and against a transaction that survives a fence.
func TestFenceStopsCommits(t *testing.T) {
	is := is.New(t)
	srv := group(t, 1, nil)[0]
	tx := client(t, srv, "")
	_, err := tx.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	_, err = tx.Exec(t.Context(), "INSERT INTO kv (k, v) VALUES ('tx', '1')")
	is.NoErr(err)
	var wg sync.WaitGroup
	for i := range 4 {
		c := connect(t, srv)
		wg.Go(func() {
			for n := 0; ; n++ {
				answer, pos, err := insert(t, c, fmt.Sprintf("k%d-%d", i, n), "1")
				if err != nil || answer.SQLState != "" {
					if errkind.Of(err) != errkind.OutcomeUnknown && answer.SQLState != "25006" {
						t.Errorf("write after the fence: %v, SQLSTATE %q, position %v", err, answer.SQLState, pos)
					}
					return
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	fenced, err := connect(t, srv).Fence(t.Context(), 5)
	is.NoErr(err)
	received, _ := srv.Positions()
	is.Equal(received, fenced.Received)
	wg.Wait()
	_, err = tx.Exec(t.Context(), "COMMIT")
	is.Equal(code(err), "40001")
	received, _ = srv.Positions()
	is.Equal(received, fenced.Received)
	is.True(received.LSN > 10) // the writers did write
}

// TestFenceStopsReplication guards against a replica that stores records of
// a lower term after the fence has been confirmed. Those records would be
// missing from the position that the choice of the next primary is based on.
func TestFenceStopsReplication(t *testing.T) {
	is := is.New(t)
	servers := group(t, 2, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range 4 {
		c := connect(t, servers[0])
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				sql := fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('k%d-%d', '')", i, n)
				if _, err := c.Relay(ctx, queryMessage(sql), 1<<20); err != nil && ctx.Err() == nil {
					t.Error(err)
					return
				}
			}
		})
	}
	primary, replica := connect(t, servers[0]), connect(t, servers[1])
	for term := uint64(2); term < 22; term++ {
		before, _ := servers[1].Positions()
		eventually(t, "records arrive", func() bool { received, _ := servers[1].Positions(); return received.Compare(before) > 0 })
		fenced, err := replica.Fence(t.Context(), term)
		is.NoErr(err)
		time.Sleep(5 * time.Millisecond)
		received, _ := servers[1].Positions()
		is.Equal(received, fenced.Received)
		_, err = primary.Fence(t.Context(), term)
		is.NoErr(err)
		_, err = primary.Promote(t.Context(), term)
		is.NoErr(err)
		_, err = replica.Follow(t.Context(), servers[0].Address(), term)
		is.NoErr(err)
	}
}

// TestRestartKeepsLog guards against losing committed records, the fence or
// the role by a kill, and against reading a damaged log.
func TestRestartKeepsLog(t *testing.T) {
	is := is.New(t)
	folders := []string{t.TempDir(), t.TempDir()}
	servers := group(t, 2, func(i int) standin.Options { return standin.Options{DataFolder: folders[i]} })
	c := connect(t, servers[0])
	var end logpos.Position
	for i := range 30 {
		var err error
		_, end, err = insert(t, c, fmt.Sprint("k", i%10), fmt.Sprint(i))
		is.NoErr(err)
	}
	eventually(t, "replica has the log", func() bool { return applied(servers[1]) == end })
	want := contents(t, servers[0])
	for i, srv := range servers {
		srv.Abort()
		servers[i] = start(t, standin.Options{ID: "ignored", DataFolder: folders[i]})
		is.Equal(servers[i].ID(), fmt.Sprint("m", i+1))
		is.Equal(applied(servers[i]), end)
		is.Equal(contents(t, servers[i]), want)
	}
	primary, term := servers[0].Primary()
	is.True(primary)
	is.Equal(term, uint64(1))
	_, err := connect(t, servers[1]).Follow(t.Context(), servers[0].Address(), 1) // the address is new
	is.NoErr(err)
	_, end, err = insert(t, connect(t, servers[0]), "after", "1")
	is.NoErr(err)
	eventually(t, "replication goes on", func() bool { return applied(servers[1]) == end })

	servers[0].Abort()
	path := filepath.Join(folders[0], "log")
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, data[:len(data)-3], 0o600)) // killed while writing
	restarted := start(t, standin.Options{DataFolder: folders[0]})
	is.Equal(applied(restarted), logpos.Position{Term: 1, LSN: end.LSN - 1})
	restarted.Abort()
	data[len(data)/2] ^= 1
	is.NoErr(os.WriteFile(path, data, 0o600))
	_, err = standin.New(standin.Options{DataFolder: folders[0]})
	is.True(err != nil)
}

// TestAcknowledgedWritesSurvive guards against a fault in fencing, promotion,
// rewinding or progress reports that loses a write which a majority has
// reported, under random failovers, stops of replication and kills.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	const seed = 20261204
	random := rand.New(rand.NewPCG(seed, 0))
	options := make([]standin.Options, 3)
	servers := group(t, 3, func(i int) standin.Options {
		options[i] = standin.Options{DataFolder: t.TempDir(), Connections: 2000}
		return options[i]
	})
	primary, term := 0, uint64(1)
	acked := make(map[string]string)
	begun := time.Now()
	rounds := 0
	for ; rounds < 60 && time.Since(begun) < 4*time.Second; rounds++ {
		stopped := servers[random.IntN(3)]
		_ = stopped.SetFault(standin.FaultStopReplication, []string{"on", "30ms"}[random.IntN(2)])
		writeAcked(t, servers[primary], fmt.Sprintf("r%d", rounds), 1+random.IntN(10), acked)

		// Fail over with a random majority, of which the furthest member wins.
		term++
		members := random.Perm(3)[:2+random.IntN(2)]
		var best logpos.Position
		winner := -1
		for _, i := range members {
			st, err := connect(t, servers[i]).Fence(t.Context(), term)
			if err != nil {
				t.Fatal(err)
			}
			if winner < 0 || st.Received.Compare(best) > 0 {
				best, winner = st.Received, i
			}
		}
		if _, err := connect(t, servers[winner]).Promote(t.Context(), term); err != nil {
			t.Fatal(err)
		}
		// The former primary does not know yet, and must not get writes
		// acknowledged by a majority any more.
		if winner != primary && random.IntN(2) == 0 {
			writeAcked(t, servers[primary], fmt.Sprintf("old%d", rounds), 2, acked)
		}
		_ = stopped.SetFault(standin.FaultStopReplication, "off")
		if killed := random.IntN(3); killed != winner {
			servers[killed].Abort()
			servers[killed] = start(t, options[killed])
		}
		for i, srv := range servers {
			if i != winner {
				if _, err := connect(t, srv).Follow(t.Context(), servers[winner].Address(), term); err != nil {
					t.Fatal(err)
				}
			}
		}
		primary = winner
	}
	_, end, err := insert(t, connect(t, servers[primary]), "last", "1")
	if err != nil {
		t.Fatal(err)
	}
	want := contents(t, servers[primary])
	for _, srv := range servers {
		eventually(t, "members agree", func() bool { return applied(srv) == end })
		if !bytes.Equal(contents(t, srv), want) {
			t.Errorf("server %s has other rows than the primary", srv.ID())
		}
	}
	for key, value := range acked {
		if !bytes.Contains(want, []byte(key)) {
			t.Errorf("acknowledged write of %s = %s is lost", key, value)
		}
	}
	t.Logf("seed %d: %d rounds, %d acknowledged writes", seed, rounds, len(acked))
	if len(acked) < rounds {
		t.Errorf("only %d writes were acknowledged in %d rounds", len(acked), rounds)
	}
}

// writeAcked writes n rows and records those that a majority of three has
// reported within a short time.
func writeAcked(t *testing.T, srv *standin.Server, prefix string, n int, acked map[string]string) {
	t.Helper()
	c := connect(t, srv)
	defer c.Close()
	for i := range n {
		key := fmt.Sprintf("%s-%d;", prefix, i)
		answer, pos, err := insert(t, c, key, "1")
		if err != nil || answer.SQLState != "" {
			return
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		for ctx.Err() == nil {
			replicas, err := c.Replicas(t.Context())
			if err != nil {
				break
			}
			for _, r := range replicas {
				if r.Received.Covers(pos) {
					acked[key] = "1"
				}
			}
			if acked[key] != "" {
				break
			}
			time.Sleep(time.Millisecond)
		}
		cancel()
	}
}
