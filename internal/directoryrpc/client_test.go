package directoryrpc_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestSyncAfterFrozenLeader guards against a lease that expires although control
// has a leader again: after a frozen leader, the host found the new one and sent it
// a long poll that was longer than the time left for the request.
func TestSyncAfterFrozenLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const roundTrip, electedAfter = 40 * time.Millisecond, 950 * time.Millisecond
		begun := time.Now()
		frozen := false
		call := func(ctx context.Context, address, _ string, args, reply any) error {
			r, wait := reply.(*directoryrpc.SyncReply), args.(*directoryrpc.SyncArgs).Wait
			switch {
			case address == "a" && frozen:
				<-ctx.Done()
				return errkind.Wrap(errkind.ServerLost, ctx.Err(), "a")
			case address != "a" && (address != "b" || time.Since(begun) < electedAfter):
				time.Sleep(roundTrip)
				r.Kind = errkind.NotLeader
				return nil
			}
			select {
			case <-time.After(roundTrip + wait):
				return nil
			case <-ctx.Done():
				return errkind.Wrap(errkind.ServerLost, ctx.Err(), "%s", address)
			}
		}
		c := directoryrpc.NewClient([]string{"a"}, call)
		_, err := c.Sync(t.Context(), &directoryrpc.SyncArgs{Version: 1}) // the client stores a as the leader
		is.NoErr(err)
		c.SetAddresses([]string{"a", "b", "c", "d"})
		frozen, begun = true, time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		_, err = c.Sync(ctx, &directoryrpc.SyncArgs{Version: 1, Wait: 500 * time.Millisecond})
		is.NoErr(err)
		// One attempt at the frozen host, a pause and two round trips, but no long poll.
		is.True(time.Since(begun) < electedAfter+550*time.Millisecond)
	})
}

// TestFirstSyncWaitsForTheState guards against a host that starts and gives up before
// the whole state has arrived, and then asks for it again: at 300 hosts none got it.
func TestFirstSyncWaitsForTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := 0
		call := func(ctx context.Context, _, _ string, _, _ any) error {
			calls++
			select {
			case <-time.After(time.Second): // admission and transfer
				return nil
			case <-ctx.Done():
				return errkind.Wrap(errkind.ServerLost, ctx.Err(), "a")
			}
		}
		c := directoryrpc.NewClient([]string{"a"}, call)
		_, err := c.Sync(t.Context(), &directoryrpc.SyncArgs{Delta: true})
		is.NoErr(err)
		is.Equal(calls, 1)
	})
}
