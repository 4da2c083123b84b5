package entry_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
)

// TestManyCallers guards against data races and swapped answers when many
// connections are in use while owners fail at random, and against a graceful
// shutdown that interrupts a statement.
func TestManyCallers(t *testing.T) {
	const callers = 24
	is, f := is.New(t), newFake()
	f.execHook = func(context.Context, *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
		if rand.IntN(25) == 0 {
			return fault(1 + rand.IntN(int(faultDeliverLate))), nil
		}
		return faultNone, nil
	}
	ent := newEntry(f, "[[policy]]\nname = \"p\"\nhedge_after = \"20ms\"")
	defer ent.Close()
	srv := caller.New(caller.Options{Address: "127.0.0.1:0", Handler: ent.Handler()})
	is.NoErr(srv.Start())
	var wg sync.WaitGroup
	var done, failed atomic.Int64
	var stopping atomic.Bool
	for i := range callers {
		wg.Go(func() {
			conn, err := pgx.Connect(context.Background(), "postgres://u@"+srv.Addr().String()+"/"+groupName+"?sslmode=disable")
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close(context.Background())
			key, written := fmt.Sprintf("k%d", i), ""
			for n := 0; ; n++ {
				value := fmt.Sprint(n)
				_, err := conn.Exec(context.Background(), "insert into kv values ($1, $2)", key, value)
				var refusal *pgconn.PgError
				switch {
				case err == nil:
					written = value
					done.Add(1)
				case stopping.Load() && conn.IsClosed():
					return
				case errors.As(err, &refusal):
					written = "" // the outcome may be unknown
					failed.Add(1)
				default:
					t.Errorf("caller %d: %v", i, err)
					return
				}
				var got *string
				err = conn.QueryRow(context.Background(), "select v from kv where k = $1", key).Scan(&got)
				switch {
				case stopping.Load() && conn.IsClosed():
					return
				case err == nil && written != "" && (got == nil || *got != written):
					t.Errorf("caller %d read %v after writing %s", i, got, written)
					return
				}
			}
		})
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stopping.Store(true)
	start := time.Now()
	is.NoErr(srv.Shutdown(ctx))
	t.Logf("shutdown took %v", time.Since(start))
	wg.Wait()
	is.NoErr(ent.Drain(ctx))
	t.Logf("%d writes acknowledged, %d refused", done.Load(), failed.Load())
	is.True(done.Load() > 100)
}
