package directory_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawCommand draws a command on a few servers, groups and versions.
func drawCommand(rt *rapid.T) directory.Command {
	id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(rt, "server"))
	switch rapid.IntRange(0, 3).Draw(rt, "kind") {
	case 0:
		return announceCommand(id, fmt.Sprint("x:", rapid.IntRange(0, 3).Draw(rt, "address")), int64(rapid.IntRange(1, 4).Draw(rt, "born")), uint64(rapid.IntRange(1, 9).Draw(rt, "sequence")))
	case 1:
		return directory.Command{Remove: &directory.RemoveServer{ID: id, Born: int64(rapid.IntRange(0, 4).Draw(rt, "born"))}}
	case 2:
		g := directoryrpc.Group{Name: fmt.Sprint("g", rapid.IntRange(0, 2).Draw(rt, "group")), Primary: id}
		return directory.Command{Group: &directory.SetGroup{Group: g, ExpectedGeneration: uint64(rapid.IntRange(0, 3).Draw(rt, "generation"))}}
	}
	version := uint64(rapid.IntRange(1, 9).Draw(rt, "version"))
	return putCommand(version, fmt.Sprint("configuration ", version))
}

// TestChangesLeadToTheState guards against hosts whose state differs from that of
// control after they have merged changes, or after control was restarted from a
// snapshot in between.
func TestChangesLeadToTheState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := directory.NewMachine()
		var host directoryrpc.State
		n := rapid.IntRange(1, 40).Draw(rt, "commands")
		for index := uint64(1); index <= uint64(n); index++ {
			apply(m, index, drawCommand(rt))
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				restored := directory.NewMachine()
				if err := restored.Restore(m.Snapshot()); err != nil {
					rt.Fatal(err)
				}
				m = restored
			}
			if rapid.Bool().Draw(rt, "sync") && m.State().Version > host.Version {
				host = merge(rt, m, host)
				expectSameState(rt, host, m.State())
			}
		}
	})
}

// merge merges the changes since the version of host into it.
func merge(t interface{ Fatal(args ...any) }, m *directory.Machine, host directoryrpc.State) directoryrpc.State {
	var reply directoryrpc.SyncReply
	reply.Base, reply.Changes = m.ChangesSince(host.Version, host.ConfigVersion)
	next, err := reply.MergeInto(host)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// expectSameState fails the test if the parts of the state that hosts use differ.
// The sequence of an announcement that changes nothing else is not published.
func expectSameState(t *rapid.T, got, want directoryrpc.State) {
	same := got.Version == want.Version && got.ConfigVersion == want.ConfigVersion && string(got.Document) == string(want.Document) &&
		len(got.Servers) == len(want.Servers) && len(got.Groups) == len(want.Groups)
	for id, s := range want.Servers {
		h, ok := got.Servers[id]
		same = same && ok && h.Same(s)
	}
	for name, g := range want.Groups {
		same = same && reflect.DeepEqual(got.Groups[name], g)
	}
	if !same {
		t.Fatalf("host has %+v, control %+v", got, want)
	}
}

// TestChangesAreSmall guards against the whole state being sent for one change: at
// 720 servers and 100 hosts it used up the links of the control hosts.
func TestChangesAreSmall(t *testing.T) {
	is := is.New(t)
	m := directory.NewMachine()
	index := uint64(0)
	announce := func(i int, sequence uint64, draining bool) {
		index++
		apply(m, index, directory.Command{Announce: &directory.PutServer{Server: directoryrpc.Server{
			ID: fmt.Sprint("server-", i), Group: fmt.Sprint("group-", i/3), Address: fmt.Sprint("10.0.0.1:", i), Born: 1_700_000_000_000, Sequence: sequence, Draining: draining,
		}}})
	}
	for i := range 720 {
		announce(i, 1, false)
	}
	host := merge(t, m, directoryrpc.State{})
	is.Equal(len(host.Servers), 720)
	announce(5, 2, true)
	base, changes := m.ChangesSince(host.Version, 0)
	is.True(base.Data == nil && len(changes.Data) < 512)
	host = merge(t, m, host)
	is.True(host.Servers["server-5"].Draining)
	first, rest := m.ChangesSince(0, 0) // a host that starts now
	announce(6, 2, true)
	second, later := m.ChangesSince(0, 0)
	is.Equal(&first.Data[0], &second.Data[0]) // encoded once
	is.True(rest.Data != nil && len(later.Data) < 1024)
	_, err := (&directoryrpc.Changes{Since: 3, Version: 9}).Merge(host)
	is.True(err != nil) // changes to another version
}

// TestDepartedServer guards against a delayed announcement that brings back a
// server that has left, also after control was restarted from a snapshot.
func TestDepartedServer(t *testing.T) {
	is := is.New(t)
	m := directory.NewMachine()
	apply(m, 1, announceCommand("a", "x:1", 100, 5))
	apply(m, 2, directory.Command{Remove: &directory.RemoveServer{ID: "a"}})
	apply(m, 3, announceCommand("a", "x:1", 100, 6)) // sent before the removal
	is.Equal(len(m.State().Servers), 0)
	apply(m, 4, directory.Command{Remove: &directory.RemoveServer{ID: "b", Born: 100}}) // never announced
	apply(m, 5, announceCommand("b", "x:2", 100, 1))
	is.Equal(len(m.State().Servers), 0)
	restored := directory.NewMachine()
	is.NoErr(restored.Restore(m.Snapshot()))
	apply(restored, 6, announceCommand("a", "x:1", 100, 7))
	is.Equal(len(restored.State().Servers), 0)
	apply(restored, 7, announceCommand("a", "x:1", 200, 1)) // started again under its id
	is.Equal(len(restored.State().Servers), 1)
	apply(restored, 8, announceCommand("c", "x:1", 300, 1)) // its address now belongs to another server
	apply(restored, 9, directory.Command{Remove: &directory.RemoveServer{ID: "c", Born: 300}})
	apply(restored, 10, announceCommand("a", "x:1", 200, 2))
	is.Equal(len(restored.State().Servers), 0)
}

// TestServerChangesAreCollected guards against a request of every host for each of
// the servers that start at the same time, and against a delay of a change of a
// group.
func TestServerChangesAreCollected(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		version := c.d.State().Version
		replies := 0
		c.workers.Go(func() {
			for i := range 40 {
				c.announce(fmt.Sprint("new", i), false, false, 1)
			}
		})
		begun := time.Now()
		host := directoryrpc.Host{ID: "h9", Incarnation: "1"}
		for len(c.d.State().Servers) < 43 || c.d.State().Version > version {
			reply := new(directoryrpc.SyncReply)
			is.NoErr(c.d.Service().Sync(&directoryrpc.SyncArgs{Host: host, Version: version, Wait: time.Second, Delta: true}, reply))
			changes, err := reply.Changes.Decode()
			is.NoErr(err)
			version = changes.Version
			replies++
		}
		is.True(time.Since(begun) < 500*time.Millisecond)
		is.True(replies <= 5) // 40 announcements within 200 ms

		c.workers.Go(func() { c.announce("s1", true, true, 9) }) // a switchover follows
		begun = time.Now()
		for {
			reply := new(directoryrpc.SyncReply)
			is.NoErr(c.d.Service().Sync(&directoryrpc.SyncArgs{Host: host, Version: version, Wait: time.Second, Delta: true}, reply))
			changes, err := reply.Changes.Decode()
			is.NoErr(err)
			version = changes.Version
			if g := changes.Groups["g"]; g != nil && g.Switching {
				break
			}
		}
		is.True(time.Since(begun) < 50*time.Millisecond)
	})
}

// TestWholeStatesAreLimited guards against a leader whose link is used up by the
// whole states of hundreds of hosts that start at the same time, so that the leases
// of all others expire.
func TestWholeStatesAreLimited(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		r := rand.New(rand.NewPCG(1, 2))
		document := make([]byte, 100_000)
		for i := range document {
			document[i] = byte(r.Uint32())
		}
		is.NoErr(c.d.Service().Put(&directoryrpc.PutArgs{Version: 1, Document: document}, new(directoryrpc.PutReply)))
		served, begun := 0, time.Now()
		var mu sync.Mutex
		var hosts sync.WaitGroup
		for i := range 300 {
			hosts.Go(func() {
				args := &directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: fmt.Sprint("new", i), Incarnation: "1"}, Wait: 500 * time.Millisecond, Delta: true}
				for {
					reply, sent := new(directoryrpc.SyncReply), time.Now()
					is.NoErr(c.d.Service().Sync(args, reply))
					is.True(time.Since(sent) < 500*time.Millisecond)
					if reply.Kind == errkind.OK {
						mu.Lock()
						served++
						mu.Unlock()
						return
					}
					is.Equal(reply.Kind, errkind.Overloaded)
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Second)
		mu.Lock()
		is.True(served >= 50 && served <= 80) // 7 MB in the first second, 100 kB each
		mu.Unlock()
		hosts.Wait()
		is.True(time.Since(begun) < 6*time.Second) // 30 MB
	})
}

// TestFirstPrimaryIsSentAtOnce guards against a group of a small installation that takes
// no statements for longer than necessary, because its first primary is collected with
// the announcements of its servers.
func TestFirstPrimaryIsSentAtOnce(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		host := directoryrpc.Host{ID: "h9", Incarnation: "1"}
		version := c.d.State().Version
		for i := range 3 {
			c.workers.Go(func() { c.announceIn("new", fmt.Sprint("new", i), i == 2, false, 1) })
		}
		for begun := time.Now(); ; {
			reply := new(directoryrpc.SyncReply)
			is.NoErr(c.d.Service().Sync(&directoryrpc.SyncArgs{Host: host, Version: version, Wait: time.Second, Delta: true}, reply))
			changes, err := reply.Changes.Decode()
			is.NoErr(err)
			version = changes.Version
			if g := changes.Groups["new"]; g != nil {
				is.Equal(g.Primary, "new2")
				is.True(time.Since(begun) < 100*time.Millisecond) // two writes of the log and a check of the groups
				break
			}
		}
	})
}
