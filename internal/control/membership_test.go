package control_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// depart makes a server announce that it leaves.
func depart(id string) func(*world, *traffic) {
	return func(w *world, _ *traffic) {
		s := w.view().Servers[id]
		s.Departing = true
		reply, err := w.client().Announce(w.t.Context(), &controlrpc.AnnounceArgs{Server: s})
		w.must("depart", reply.Answer, err)
	}
}

func declare(members int) func(*world, *traffic) {
	return func(w *world, _ *traffic) { w.apply(members) }
}

func join(id string) func(*world, *traffic) {
	return func(w *world, _ *traffic) { w.addServer(id, "orders", "dc-h1", logpos.Position{}) }
}

func lagging(id string, lags bool) func(*world, *traffic) {
	return func(w *world, _ *traffic) { w.locked(func() { w.lag[id] = lags }) }
}

func wait(w *world, _ *traffic) { time.Sleep(5 * time.Second) }

// TestMembers guards against a departing primary that stays primary, against
// members that are replaced by servers which lack acknowledged writes, and
// against a change of members that never comes.
func TestMembers(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		steps []func(*world, *traffic)
		want  []string
	}{
		{"primary departs", []func(*world, *traffic){depart("s2")}, []string{"s1", "s2", "s3"}},
		{"primary departs, spare", []func(*world, *traffic){depart("s2"), join("s4")}, []string{"s1", "s3", "s4"}},
		{"member departs, spare", []func(*world, *traffic){join("s4"), wait, depart("s1")}, []string{"s2", "s3", "s4"}},
		{"member departs, spare lags", []func(*world, *traffic){lagging("s4", true), join("s4"), depart("s1")}, []string{"s1", "s2", "s3"}},
		{"member departs, spare lags, primary lost", []func(*world, *traffic){
			lagging("s4", true), join("s4"), depart("s1"), wait, wait, killPrimary,
		}, []string{"s1", "s2", "s3"}},
		{"spare without need", []func(*world, *traffic){join("s4")}, []string{"s1", "s2", "s3"}},
		{"more declared", []func(*world, *traffic){join("s4"), join("s5"), declare(5)}, []string{"s1", "s2", "s3", "s4", "s5"}},
		{"fewer declared", []func(*world, *traffic){depart("s3"), declare(2)}, []string{"s1", "s2"}},
		{"leader replaced", []func(*world, *traffic){at("propose name", 1, replaceLeader), join("s4"), depart("s1")}, []string{"s2", "s3", "s4"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 3, control.Options{})
				defer w.stop()
				startGroup(w)
				tr := w.startTraffic()
				for _, step := range tc.steps {
					step(w, tr)
				}
				time.Sleep(20 * time.Second)
				tr.progress(time.Second)
				is.True(tr.longestGap() < 2*time.Second)
				is.Equal(slices.Sorted(slices.Values(w.view().Groups["orders"].Members)), tc.want)
				is.True(!w.view().OutOfService(w.primary("orders")))
				is.True(w.allFollow("orders")) // also servers that are no members
				is.Equal(tr.violations, nil)
			})
		})
	}
}
