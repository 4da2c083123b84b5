package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// startGroup starts three hosts and one group of three members, and waits for
// the first primary and for the owners.
func startGroup(cl *cluster) {
	cl.t.Helper()
	cl.setLeader(0)
	for _, h := range []string{"h1", "h2", "h3"} {
		cl.addHost(h, "a", "dc-"+h, "region")
	}
	cl.apply(3)
	cl.addServer("s1", "orders", "dc-h1", logpos.Position{Term: 0, LSN: 1})
	cl.addServer("s2", "orders", "dc-h2", logpos.Position{Term: 0, LSN: 3})
	cl.addServer("s3", "orders", "dc-h3", logpos.Position{Term: 0, LSN: 2})
	cl.eventually(5*time.Second, "a first primary", func() bool { return cl.primary("orders") != "" })
	cl.eventually(5*time.Second, "one owner for each server", func() bool {
		return len(cl.owners("s1")) == 1 && len(cl.owners("s2")) == 1 && len(cl.owners("s3")) == 1
	})
}

// TestFirstPrimary guards against a new group that never gets a primary, and
// against choosing a member that lacks records of another one.
func TestFirstPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, control.Options{})
		defer cl.stop()
		startGroup(cl)
		is.Equal(cl.primary("orders"), "s2")        // it has received the most
		is.Equal(cl.view().Leases["s1"].Host, "h1") // owner in the same data centre
		cl.eventually(time.Second, "the replicas follow the primary", func() bool {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			return cl.servers["at-s1"].follows == "at-s2" && cl.servers["at-s3"].follows == "at-s2"
		})
		got, err := cl.client().Get(t.Context(), &controlrpc.GetArgs{})
		is.NoErr(err)
		is.Equal(got.State.ConfigVersion, uint64(1))
		is.Equal(len(got.Heartbeats), 3)
		watch, err := cl.client().Watch(t.Context(), &controlrpc.WatchArgs{Since: got.State.Version, Wait: time.Second})
		is.NoErr(err)
		is.Equal(watch.Kind, errkind.OK)
		is.True(!watch.Changed)
	})
}
