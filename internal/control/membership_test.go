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

// depart makes a server announce that it is departing.
func depart(id string) func(*cluster, *traffic) {
	return func(cl *cluster, _ *traffic) {
		s := cl.view().Servers[id]
		s.Departing = true
		reply, err := cl.client().Announce(cl.t.Context(), &controlrpc.AnnounceArgs{Server: s})
		cl.expectOK("depart", reply.Answer, err)
	}
}

func declareMembers(members int) func(*cluster, *traffic) {
	return func(cl *cluster, _ *traffic) { cl.apply(members) }
}

func join(id string) func(*cluster, *traffic) {
	return func(cl *cluster, _ *traffic) { cl.addServer(id, "orders", "dc-h1", logpos.Position{}) }
}

func lagging(id string, lags bool) func(*cluster, *traffic) {
	return func(cl *cluster, _ *traffic) { cl.withLock(func() { cl.lag[id] = lags }) }
}

func waitFiveSeconds(cl *cluster, _ *traffic) { time.Sleep(5 * time.Second) }

// TestMembers guards against a departing primary that stays primary although it
// could be replaced, against members that are replaced by servers which lack
// acknowledged writes, and against a change of members that never happens.
func TestMembers(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		steps []func(*cluster, *traffic)
		want  []string
	}{
		{"primary departs", []func(*cluster, *traffic){depart("s2")}, []string{"s1", "s2", "s3"}},
		{"primary departs, spare", []func(*cluster, *traffic){depart("s2"), join("s4")}, []string{"s1", "s3", "s4"}},
		{"member departs, spare", []func(*cluster, *traffic){join("s4"), waitFiveSeconds, depart("s1")}, []string{"s2", "s3", "s4"}},
		{"member departs, spare lags", []func(*cluster, *traffic){lagging("s4", true), join("s4"), depart("s1")}, []string{"s1", "s2", "s3"}},
		{"member departs, spare lags, primary lost", []func(*cluster, *traffic){
			lagging("s4", true), join("s4"), depart("s1"), waitFiveSeconds, waitFiveSeconds, killPrimary,
		}, []string{"s1", "s2", "s3"}},
		{"spare without need", []func(*cluster, *traffic){join("s4")}, []string{"s1", "s2", "s3"}},
		{"more declared", []func(*cluster, *traffic){join("s4"), join("s5"), declareMembers(5)}, []string{"s1", "s2", "s3", "s4", "s5"}},
		{"fewer declared", []func(*cluster, *traffic){depart("s3"), declareMembers(2)}, []string{"s1", "s2"}},
		{"leader replaced", []func(*cluster, *traffic){faultAt("propose name", 1, replaceLeader), join("s4"), depart("s1")}, []string{"s2", "s3", "s4"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(t, 3, control.Options{})
				defer cl.stop()
				startGroup(cl)
				tr := cl.startTraffic()
				for _, step := range tc.steps {
					step(cl, tr)
				}
				time.Sleep(20 * time.Second)
				tr.awaitWrites(time.Second)
				is.True(tr.takeMaxGap() < 2*time.Second)
				is.Equal(slices.Sorted(slices.Values(cl.view().Groups["orders"].Members)), tc.want)
				is.True(!cl.view().OutOfService(cl.primary("orders")))
				is.True(cl.allFollow("orders")) // including servers that are not members
				is.Equal(tr.violations, nil)
			})
		})
	}
}
