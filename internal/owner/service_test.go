package owner_test

import (
	"context"
	"encoding/json"
	"net"
	"net/rpc"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestServiceIsCallable guards against a method that net/rpc does not offer,
// and against status and dump that do not show the server.
func TestServiceIsCallable(t *testing.T) {
	run(t, owner.Options{Host: "h1", Incarnation: "n1"}, func(t *testing.T, r *harness) {
		is := is.New(t)
		srv := rpc.NewServer()
		is.NoErr(srv.RegisterName("Owner", r.service))
		here, there := net.Pipe()
		go srv.ServeConn(there)
		conn := rpc.NewClient(here)
		defer conn.Close()
		c := ownerrpc.Client{Call: func(_ context.Context, _, method string, args, reply any) error {
			return conn.Call(method, args, reply)
		}}
		ctx := context.Background()
		a := r.args(1, "INSERT a")
		got, err := c.Exec(ctx, "", a)
		is.NoErr(err)
		is.Equal(got.ID, a.ID)
		is.Equal(got.Kind, errkind.OK)
		cancelled, err := c.Cancel(ctx, "", &ownerrpc.CancelArgs{ID: a.ID, Server: "s1"})
		is.NoErr(err)
		is.True(!cancelled.Confirmed)
		is.Equal(cancelled.Incarnation, "n1")
		outcome, err := c.Outcome(ctx, "", &ownerrpc.OutcomeArgs{ID: a.ID, Server: "s1"})
		is.NoErr(err)
		is.Equal(outcome.Reply.Position, got.Position)
		is.Equal(outcome.Incarnation, "n1")
		is.NoErr(c.Release(ctx, "", &ownerrpc.ReleaseArgs{Entry: "e1", Session: 1, Server: "s1"}))
		pos, err := c.Position(ctx, "", &ownerrpc.PositionArgs{Group: "orders"})
		is.NoErr(err)
		is.Equal(pos.Position, got.Position)
		status, err := c.Status(ctx, "", &ownerrpc.StatusArgs{Entry: "e1"})
		is.NoErr(err)
		is.Equal(status.Host, "h1")
		is.Equal(status.Servers[0].Successes, uint64(1))
		is.True(status.Servers[0].Reachable)
		dump, err := json.Marshal(r.Dump())
		is.NoErr(err)
		is.True(strings.Contains(string(dump), `"open_tx":0`))
		revoked, err := c.Revoke(ctx, "", &ownerrpc.RevokeArgs{Server: "s1", Epoch: 1})
		is.NoErr(err)
		is.True(revoked.Confirmed)
		is.Equal(r.exec(r.read(1, "SELECT 1")).Kind, errkind.NotOwner)
	})
}
