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

// startGroup sets up one group of three members with owners, and waits for
// the first primary.
func startGroup(w *world) {
	w.t.Helper()
	w.lead(0)
	for _, h := range []string{"h1", "h2", "h3"} {
		w.addHost(h, "a", "dc-"+h, "region")
	}
	w.apply(3)
	w.addServer("s1", "orders", "dc-h1", logpos.Position{Term: 0, LSN: 1})
	w.addServer("s2", "orders", "dc-h2", logpos.Position{Term: 0, LSN: 3})
	w.addServer("s3", "orders", "dc-h3", logpos.Position{Term: 0, LSN: 2})
	w.eventually(5*time.Second, "a first primary", func() bool { return w.primary("orders") != "" })
	w.eventually(5*time.Second, "one owner for each server", func() bool {
		return len(w.owners("s1")) == 1 && len(w.owners("s2")) == 1 && len(w.owners("s3")) == 1
	})
}

// TestFirstPrimary guards against a group that never gets a primary, and
// against choosing a member that lacks records of another.
func TestFirstPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, control.Options{})
		defer w.stop()
		startGroup(w)
		is.Equal(w.primary("orders"), "s2")        // it has received the most
		is.Equal(w.view().Leases["s1"].Host, "h1") // owner in the same data centre
		w.eventually(time.Second, "followers are told", func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.servers["at-s1"].follows == "at-s2" && w.servers["at-s3"].follows == "at-s2"
		})
		got, err := w.client().Get(t.Context(), &controlrpc.GetArgs{})
		is.NoErr(err)
		is.Equal(got.State.ConfigVersion, uint64(1))
		is.Equal(len(got.Seen), 3)
		watch, err := w.client().Watch(t.Context(), &controlrpc.WatchArgs{Since: got.State.Version, Wait: time.Second})
		is.NoErr(err)
		is.Equal(watch.Kind, errkind.OK)
		is.True(!watch.Changed)
	})
}
