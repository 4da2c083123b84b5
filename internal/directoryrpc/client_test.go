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

// TestFirstSync guards against a host that starts and never waits long enough for the
// whole state, so that it asks for it again and again: at 300 hosts none got it. It
// also guards against a start that waits long for a control host that doesn't answer.
func TestFirstSync(t *testing.T) {
	tests := []struct {
		name     string
		transfer time.Duration // of the whole state
		silent   string        // address that doesn't answer
		within   time.Duration
	}{
		{"slow transfer", time.Second, "", 5 * time.Second},
		{"silent control host", 50 * time.Millisecond, "a", 500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				call := func(ctx context.Context, address, _ string, _, _ any) error {
					answered := time.After(test.transfer)
					if address == test.silent {
						answered = nil
					}
					select {
					case <-answered:
						return nil
					case <-ctx.Done():
						return errkind.Wrap(errkind.ServerLost, ctx.Err(), "%s", address)
					}
				}
				c := directoryrpc.NewClient([]string{"a", "b"}, call)
				begun := time.Now()
				for err := error(errkind.New(errkind.NotLeader, "")); err != nil; {
					is.True(time.Since(begun) < test.within)
					ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
					_, err = c.Sync(ctx, &directoryrpc.SyncArgs{Delta: true})
					cancel()
				}
				is.True(time.Since(begun) < test.within)
			})
		})
	}
}

// TestEmptyAnswerToPut guards against an answer without content that is taken for the
// acknowledgement of a configuration.
func TestEmptyAnswerToPut(t *testing.T) {
	is := is.New(t)
	var version uint64
	c := directoryrpc.NewClient([]string{"a"}, func(_ context.Context, _, _ string, _, reply any) error {
		reply.(*directoryrpc.PutReply).Version = version
		return nil
	})
	_, err := c.Put(t.Context(), &directoryrpc.PutArgs{Version: 7})
	is.Equal(errkind.Of(err), errkind.OutcomeUnknown)
	version = 6
	_, err = c.Put(t.Context(), &directoryrpc.PutArgs{Version: 7})
	is.Equal(errkind.Of(err), errkind.OutcomeUnknown)
	version = 8
	reply, err := c.Put(t.Context(), &directoryrpc.PutArgs{Version: 7})
	is.NoErr(err)
	is.Equal(reply.Version, uint64(8))
}
