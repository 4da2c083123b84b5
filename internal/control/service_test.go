package control_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestOnlyLeaderAnswers guards against answers of a host that is not the leader,
// or that may have been replaced as leader without knowing it.
func TestOnlyLeaderAnswers(t *testing.T) {
	host := controlrpc.Host{ID: "h", Incarnation: "a", Address: "x"}
	for _, tc := range []struct {
		name        string
		args, reply any
	}{
		{"Heartbeat", &controlrpc.HeartbeatArgs{Host: host}, new(controlrpc.HeartbeatReply)},
		{"Watch", &controlrpc.WatchArgs{}, new(controlrpc.WatchReply)},
		{"Announce", &controlrpc.AnnounceArgs{}, new(controlrpc.AnnounceReply)},
		{"Apply", &controlrpc.ApplyArgs{ChangeID: "c", Operator: "o"}, new(controlrpc.ApplyReply)},
		{"Get", &controlrpc.GetArgs{}, new(controlrpc.GetReply)},
		{"Drain", &controlrpc.DrainArgs{ID: "h", ChangeID: "c"}, new(controlrpc.DrainReply)},
		{"Failover", &controlrpc.FailoverArgs{Group: "orders"}, new(controlrpc.FailoverReply)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(t, 2, control.Options{})
				defer cl.stop()
				ask := func(i int) controlrpc.Answer {
					is.NoErr(cl.rpc(t.Context(), fmt.Sprint("control", i), "Control."+tc.name, tc.args, tc.reply))
					return reflect.ValueOf(tc.reply).Elem().FieldByName("Answer").Interface().(controlrpc.Answer)
				}
				is.Equal(ask(0).Kind, errkind.NotLeader) // no leader yet
				cl.setLeader(0)
				synctest.Wait()
				is.True(ask(0).Kind != errkind.NotLeader)
				is.Equal(ask(1).Kind, errkind.NotLeader)
				is.Equal(ask(1).Leader, "control0")
				cl.withLock(func() { cl.leaseLost = true })
				is.Equal(ask(0).Kind, errkind.NotLeader) // the read lease has expired
			})
		})
	}
}

// TestApplyThroughLostAnswers guards against a configuration change that is
// applied twice, or reported as a conflict with itself, after its answer is
// lost.
func TestApplyThroughLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, control.Options{})
		defer cl.stop()
		cl.setLeader(0)
		for i := range uint64(20) {
			loseAnswer("other")(cl, nil)
			if i%5 == 0 {
				faultAt("propose other", 1, replaceLeader)(cl, nil)
			}
			reply, err := cl.client().Apply(t.Context(), &controlrpc.ApplyArgs{
				ChangeID: fmt.Sprint("c", i), Operator: "ann", BaseVersion: i, Text: config(int(i) + 1),
			})
			is.NoErr(err)
			is.Equal(reply.Kind, errkind.OK)
			is.Equal(reply.Version, i+1)
			cl.withLock(func() { cl.beforeCall = nil })
		}
		late := &controlrpc.ApplyArgs{ChangeID: "other", Operator: "bob", BaseVersion: 19, Text: config(1)}
		reply, err := cl.client().Apply(t.Context(), late)
		is.NoErr(err)
		is.Equal([]string{string(reply.Kind), reply.WonBy, reply.WonChange}, []string{string(errkind.Conflict), "ann", "c19"})
		args := &controlrpc.ApplyArgs{ChangeID: "bad", Operator: "bob", BaseVersion: 20, Text: "[[database_group]]\nnam = 1"}
		reply, err = cl.client().Apply(t.Context(), args)
		is.NoErr(err)
		is.True(reply.Kind == errkind.BadRequest && strings.Contains(reply.Detail, "policy.toml:2")) // file and line
	})
}

// TestWatch guards against state changes that reach entry hosts late, and
// against a long poll that outlives the leadership.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 2, control.Options{})
		defer cl.stop()
		cl.setLeader(0)
		synctest.Wait()
		watch := func(since uint64) (*controlrpc.WatchReply, time.Duration) {
			start, reply := time.Now(), new(controlrpc.WatchReply)
			is.NoErr(cl.rpc(t.Context(), "control0", "Control.Watch", &controlrpc.WatchArgs{Since: since, Wait: 10 * time.Second}, reply))
			return reply, time.Since(start)
		}
		cl.running.Go(func() {
			time.Sleep(time.Second)
			cl.apply(1)
			time.Sleep(time.Second)
			cl.setLeader(1)
		})
		reply, took := watch(0)
		is.True(reply.Changed)
		is.Equal(reply.State.ConfigText, config(1))
		is.True(took < 1100*time.Millisecond)
		reply, took = watch(reply.State.Version)
		is.Equal(reply.Kind, errkind.NotLeader)
		is.True(took < 1100*time.Millisecond)
	})
}

// TestDump guards against a dump that cannot be encoded, or whose keys are not
// in snake_case.
func TestDump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, control.Options{})
		defer cl.stop()
		startGroup(cl)
		text, err := json.Marshal(cl.controls[0].Dump())
		is.NoErr(err)
		for _, key := range []string{`"leading":true`, `"config_version":1`, `"phase":"steady"`, `"won_by":"op"`, `"incarnation":"a"`} {
			is.True(bytes.Contains(text, []byte(key)))
		}
		is.Equal(text, bytes.ToLower(text)) // every key and id
	})
}
