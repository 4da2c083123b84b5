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

// insert writes a row in a transaction of its own and returns the position of its
// commit.
func insert(t *testing.T, c *backend.Conn, key, value string) (backend.Answer, logpos.Position, error) {
	t.Helper()
	sql := fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s', '%s') ON CONFLICT (k) DO UPDATE SET v = excluded.v", key, value)
	return c.RelayCommit(t.Context(), queryMessage(sql), 1<<20)
}

// queryMessage returns the encoded Query message for sql.
func queryMessage(sql string) []byte {
	n := len(sql) + 5
	return append(append([]byte{'Q', byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, sql...), 0)
}

// tableContents returns the raw answer to a read of the whole table.
func tableContents(t *testing.T, srv *standin.Server) []byte {
	t.Helper()
	answer, err := connectBackend(t, srv).Relay(t.Context(), queryMessage("SELECT k, v FROM kv"), 64<<20)
	if err != nil {
		t.Fatal(err)
	}
	return answer.Messages
}

// TestTermChecks guards against accepting a stale term, and against promoting a
// server whose log may still change.
func TestTermChecks(t *testing.T) {
	is := is.New(t)
	srv := startServer(t, standin.Options{ID: "m1"})
	c := connectBackend(t, srv)
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

// TestDivergedLogIsRewound guards against a former primary that keeps records
// which are not in the log of the new one, and against a primary that lists
// replicas which follow the primary of another term.
func TestDivergedLogIsRewound(t *testing.T) {
	is := is.New(t)
	servers := startGroup(t, 3, nil)
	oldPrimary, newPrimary, replica := servers[0], servers[1], servers[2]
	c := connectBackend(t, oldPrimary)
	_, end, err := insert(t, c, "kept", "1")
	is.NoErr(err)
	for _, srv := range servers {
		eventually(t, "every server has applied the record", func() bool { return appliedPosition(srv) == end })
	}
	is.NoErr(oldPrimary.SetFault(standin.FaultStopReplication, "on")) // isolated from its replicas, but still a primary
	for i := range 10 {
		_, _, err := insert(t, c, fmt.Sprint("lost", i), "1")
		is.NoErr(err)
	}
	failover(t, 2, newPrimary, replica)
	_, end, err = insert(t, connectBackend(t, newPrimary), "new", "2")
	is.NoErr(err)
	eventually(t, "replica follows the new primary", func() bool { return appliedPosition(replica) == end })
	replicas, err := c.Replicas(t.Context())
	is.NoErr(err)
	is.Equal(len(replicas), 0) // no replica follows the primary of term 1 any more

	is.NoErr(oldPrimary.SetFault(standin.FaultStopReplication, "off"))
	_, err = c.Follow(t.Context(), newPrimary.Address(), 2)
	is.NoErr(err)
	eventually(t, "old primary is rewound", func() bool { return appliedPosition(oldPrimary) == end })
	is.Equal(tableContents(t, oldPrimary), tableContents(t, newPrimary))
}

// TestRewindAcrossTerms guards against a fork point that is computed from the
// lengths of two logs although their last records have different terms.
func TestRewindAcrossTerms(t *testing.T) {
	is := is.New(t)
	servers := startGroup(t, 3, nil)
	_, end, err := insert(t, connectBackend(t, servers[0]), "kept", "1")
	is.NoErr(err)
	for _, srv := range servers {
		eventually(t, "every server has applied the record", func() bool { return appliedPosition(srv) == end })
	}
	is.NoErr(servers[0].Promote(2)) // no replica follows it at this term
	for i := range 5 {
		_, _, err = insert(t, connectBackend(t, servers[0]), fmt.Sprint("lost", i), "1")
		is.NoErr(err)
	}
	failover(t, 3, servers[1], servers[2])
	for i := range 9 {
		_, end, err = insert(t, connectBackend(t, servers[1]), fmt.Sprint("new", i), "1")
		is.NoErr(err)
	}
	is.NoErr(servers[0].Follow(servers[1], 3))
	eventually(t, "log is rewound", func() bool { return appliedPosition(servers[0]) == end })
	is.Equal(tableContents(t, servers[0]), tableContents(t, servers[1]))
}

// TestFenceStopsCommits guards against a commit that succeeds after the fence has
// been confirmed, and against a transaction that commits although the server was
// fenced meanwhile.
func TestFenceStopsCommits(t *testing.T) {
	is := is.New(t)
	srv := startGroup(t, 1, nil)[0]
	tx := connectPgx(t, srv, "")
	_, err := tx.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	_, err = tx.Exec(t.Context(), "INSERT INTO kv (k, v) VALUES ('tx', '1')")
	is.NoErr(err)
	var wg sync.WaitGroup
	for i := range 4 {
		c := connectBackend(t, srv)
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
	fenced, err := connectBackend(t, srv).Fence(t.Context(), 5)
	is.NoErr(err)
	received, _ := srv.Positions()
	is.Equal(received, fenced.Received)
	wg.Wait()
	_, err = tx.Exec(t.Context(), "COMMIT")
	is.Equal(sqlState(err), "40001")
	received, _ = srv.Positions()
	is.Equal(received, fenced.Received)
	is.True(received.LSN > 10) // the concurrent writers have written rows
}

// TestFenceStopsReplication guards against a replica that stores records of a
// lower term after the fence has been confirmed. The confirmed position, from
// which the next primary is chosen, would not include those records.
func TestFenceStopsReplication(t *testing.T) {
	is := is.New(t)
	servers := startGroup(t, 2, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range 4 {
		c := connectBackend(t, servers[0])
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
	primary, replica := connectBackend(t, servers[0]), connectBackend(t, servers[1])
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

// TestRestartKeepsLog guards against losing committed records, the fenced term or
// the role when the process is killed, and against accepting a corrupt log.
func TestRestartKeepsLog(t *testing.T) {
	is := is.New(t)
	folders := []string{t.TempDir(), t.TempDir()}
	servers := startGroup(t, 2, func(i int) standin.Options { return standin.Options{DataFolder: folders[i]} })
	c := connectBackend(t, servers[0])
	var end logpos.Position
	for i := range 30 {
		var err error
		_, end, err = insert(t, c, fmt.Sprint("k", i%10), fmt.Sprint(i))
		is.NoErr(err)
	}
	eventually(t, "replica has the log", func() bool { return appliedPosition(servers[1]) == end })
	want := tableContents(t, servers[0])
	for i, srv := range servers {
		srv.Abort()
		servers[i] = startServer(t, standin.Options{ID: "ignored", DataFolder: folders[i]})
		is.Equal(servers[i].ID(), fmt.Sprint("m", i+1))
		is.Equal(appliedPosition(servers[i]), end)
		is.Equal(tableContents(t, servers[i]), want)
	}
	primary, term := servers[0].Primary()
	is.True(primary)
	is.Equal(term, uint64(1))
	_, err := connectBackend(t, servers[1]).Follow(t.Context(), servers[0].Address(), 1) // the address changed with the restart
	is.NoErr(err)
	_, end, err = insert(t, connectBackend(t, servers[0]), "after", "1")
	is.NoErr(err)
	eventually(t, "replication continues", func() bool { return appliedPosition(servers[1]) == end })

	servers[0].Abort()
	path := filepath.Join(folders[0], "log")
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, data[:len(data)-3], 0o600)) // torn record, as after a kill during a write
	restarted := startServer(t, standin.Options{DataFolder: folders[0]})
	is.Equal(appliedPosition(restarted), logpos.Position{Term: 1, LSN: end.LSN - 1})
	restarted.Abort()
	data[len(data)/2] ^= 1
	is.NoErr(os.WriteFile(path, data, 0o600))
	_, err = standin.New(standin.Options{DataFolder: folders[0]})
	is.True(err != nil)
}

// TestAcknowledgedWritesSurvive guards against errors in fencing, promotion,
// rewinding or progress reports that lose a write which a majority has received,
// under random failovers, replication stops and kills.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	const seed = 20261204
	random := rand.New(rand.NewPCG(seed, 0))
	options := make([]standin.Options, 3)
	servers := startGroup(t, 3, func(i int) standin.Options {
		options[i] = standin.Options{DataFolder: t.TempDir(), Connections: 2000}
		return options[i]
	})
	primary, term := 0, uint64(1)
	acked := make(map[string]string)
	start := time.Now()
	rounds := 0
	for ; rounds < 60 && time.Since(start) < 4*time.Second; rounds++ {
		faulty := servers[random.IntN(3)]
		_ = faulty.SetFault(standin.FaultStopReplication, []string{"on", "30ms"}[random.IntN(2)])
		writeAcked(t, servers[primary], fmt.Sprintf("r%d", rounds), 1+random.IntN(10), acked)

		// Fail over with a random majority; the member with the highest
		// position becomes the primary.
		term++
		members := random.Perm(3)[:2+random.IntN(2)]
		var best logpos.Position
		winner := -1
		for _, i := range members {
			st, err := connectBackend(t, servers[i]).Fence(t.Context(), term)
			if err != nil {
				t.Fatal(err)
			}
			if winner < 0 || st.Received.Compare(best) > 0 {
				best, winner = st.Received, i
			}
		}
		if _, err := connectBackend(t, servers[winner]).Promote(t.Context(), term); err != nil {
			t.Fatal(err)
		}
		// The former primary may not be fenced yet, but no majority may
		// acknowledge its writes any more.
		if winner != primary && random.IntN(2) == 0 {
			writeAcked(t, servers[primary], fmt.Sprintf("old%d", rounds), 2, acked)
		}
		_ = faulty.SetFault(standin.FaultStopReplication, "off")
		if victim := random.IntN(3); victim != winner {
			servers[victim].Abort()
			servers[victim] = startServer(t, options[victim])
		}
		for i, srv := range servers {
			if i != winner {
				if _, err := connectBackend(t, srv).Follow(t.Context(), servers[winner].Address(), term); err != nil {
					t.Fatal(err)
				}
			}
		}
		primary = winner
	}
	_, end, err := insert(t, connectBackend(t, servers[primary]), "last", "1")
	if err != nil {
		t.Fatal(err)
	}
	want := tableContents(t, servers[primary])
	for _, srv := range servers {
		eventually(t, "every member has applied the log", func() bool { return appliedPosition(srv) == end })
		if !bytes.Equal(tableContents(t, srv), want) {
			t.Errorf("server %s has different rows than the primary", srv.ID())
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

// writeAcked writes n rows and adds to acked those that one replica reports as
// received within 20 ms: with the primary, that is a majority of three.
func writeAcked(t *testing.T, srv *standin.Server, prefix string, n int, acked map[string]string) {
	t.Helper()
	c := connectBackend(t, srv)
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
				if r.Received.AtLeast(pos) {
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
