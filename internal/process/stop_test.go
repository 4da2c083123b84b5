package process_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/internal/testlog"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/matryer/is"
)

// eventually polls f until it returns true, for at most 20 s.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// TestLeaderWithoutReachableVotersStopsPromptly guards against a planned stop in
// which a control leader that has no reachable voter to transfer leadership to
// waits for the whole stop timeout.
func TestLeaderWithoutReachableVotersStopsPromptly(t *testing.T) {
	is := is.New(t)
	members := make(map[string]string)
	for _, id := range []string{"c1", "c2"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		members[id] = ln.Addr().String()
		is.NoErr(ln.Close())
	}
	logs := testlog.New(t)
	running := make(map[string]*process.Control)
	for id, address := range members {
		c, err := process.StartControl(process.ControlOptions{Logger: logs.Logger(id), Settings: settings.Settings{
			Host:    settings.Host{ID: id, DataCentre: "d", Region: "r"},
			Listen:  settings.Listen{Peers: address, Operators: "127.0.0.1:0"},
			Control: settings.Control{DataFolder: t.TempDir(), Bootstrap: true, Members: members, Addresses: []string{members["c1"], members["c2"]}},
		}})
		is.NoErr(err)
		running[id] = c
	}
	leader := ""
	eventually(t, "a leader is elected", func() bool {
		leader = running["c1"].Dump().Log.Leader.ID
		return leader != "" && running[leader].Dump().Log.Leader.ID == leader
	})
	for id, c := range running {
		if id != leader {
			c.Abort()
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	began := time.Now()
	_ = running[leader].Stop(ctx) // its error depends on whether the leader has stepped down by now
	is.True(time.Since(began) < 15*time.Second)
}

// TestDrainedHostIsNotReady guards against a host that still reports ready after
// an operator has drained it: the load balancer must send no new callers to it
// until the drain is undone.
func TestDrainedHostIsNotReady(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	d, err := process.StartDev(ctx, process.DevOptions{Callers: [2]string{"127.0.0.1:0", "127.0.0.1:0"}, Logger: testlog.New(t).Logger("dev")})
	is.NoErr(err)
	address := d.OperatorAddresses()[1]
	ready := func() bool {
		resp, err := http.Get("http://" + address + "/v1/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	eventually(t, "ready after the start", ready)
	c := operator.Client{Address: address}
	// The host may be ready before control has registered its first heartbeat,
	// and a refused change id stays refused, so each attempt uses a new one.
	attempt := 0
	eventually(t, "the drain is accepted", func() bool {
		attempt++
		r, err := c.Drain(ctx, &controlrpc.DrainArgs{ID: "entry-2", ChangeID: "a" + strconv.Itoa(attempt)})
		return err == nil && r.Kind == errkind.OK
	})
	eventually(t, "not ready while drained", func() bool { return !ready() })
	r, err := c.Drain(ctx, &controlrpc.DrainArgs{ID: "entry-2", ChangeID: "b", Undo: true})
	is.NoErr(err)
	is.Equal(r.Kind, errkind.OK)
	eventually(t, "ready after the undo", ready)
	is.NoErr(d.Stop(ctx))
}
