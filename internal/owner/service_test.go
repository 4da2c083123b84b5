package owner_test

import (
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

// TestServiceOverNetRPC guards against service methods that net/rpc does not
// register, and against a status or dump without the server.
func TestServiceOverNetRPC(t *testing.T) {
	runTest(t, owner.Options{Host: "h1", Incarnation: "n1"}, func(t *testing.T, r *harness) {
		is := is.New(t)
		srv := rpc.NewServer()
		is.NoErr(srv.RegisterName("Owner", r.service))
		here, there := net.Pipe()
		go srv.ServeConn(there)
		c := rpc.NewClient(here)
		defer c.Close()
		a := r.writeArgs(1, "INSERT a")
		var exec ownerrpc.ExecReply
		var cancel ownerrpc.CancelReply
		var outcome ownerrpc.OutcomeReply
		var release ownerrpc.ReleaseReply
		var pos ownerrpc.PositionReply
		var status ownerrpc.StatusReply
		is.NoErr(c.Call("Owner.Exec", a, &exec))
		is.NoErr(c.Call("Owner.Cancel", &ownerrpc.CancelArgs{ID: a.ID, Server: "s1"}, &cancel))
		is.NoErr(c.Call("Owner.Outcome", &ownerrpc.OutcomeArgs{ID: a.ID, Server: "s1"}, &outcome))
		is.NoErr(c.Call("Owner.Release", &ownerrpc.ReleaseArgs{Entry: "e1", Session: 1, Server: "s1"}, &release))
		is.NoErr(c.Call("Owner.Position", &ownerrpc.PositionArgs{Group: "orders"}, &pos))
		is.NoErr(c.Call("Owner.Status", &ownerrpc.StatusArgs{Entry: "e1"}, &status))
		is.Equal(exec.Kind, errkind.OK)
		is.Equal(exec.ID, a.ID)
		is.Equal(cancel, ownerrpc.CancelReply{Incarnation: "n1"})
		is.Equal(outcome.Incarnation, "n1")
		is.Equal(outcome.Reply.Position, exec.Position)
		is.Equal(pos.Position, exec.Position)
		is.Equal(status.Host, "h1")
		is.Equal(status.Servers[0].Successes, uint64(1))
		is.True(status.Servers[0].Reachable)
		dump, err := json.Marshal(r.Dump())
		is.NoErr(err)
		is.True(strings.Contains(string(dump), `"open_tx":0`))
		var revoke ownerrpc.RevokeReply
		is.NoErr(c.Call("Owner.Revoke", &ownerrpc.RevokeArgs{Server: "s1", Epoch: 1}, &revoke))
		is.True(revoke.Confirmed)
		is.Equal(r.exec(r.readArgs(1, "SELECT 1")).Kind, errkind.NotOwner)
	})
}
