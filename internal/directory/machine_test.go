package directory_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

func apply(m *directory.Machine, index uint64, c directory.Command) {
	m.Apply(index, directory.EncodeCommand(c))
}

func put(version uint64, text string) directory.Command {
	return directory.Command{Put: &directory.PutConfig{Version: version, Document: []byte(text)}}
}

func announce(id, address string, born int64, sequence uint64) directory.Command {
	return directory.Command{Announce: &directory.PutServer{Server: directoryrpc.Server{
		ID: id, Group: "g", Address: address, Born: born, Sequence: sequence, Role: statement.Replica,
	}}}
}

// TestHighestVersion guards against a configuration that reverts, and against
// other content under a version that is in force.
func TestHighestVersion(t *testing.T) {
	is := is.New(t)
	m := directory.NewMachine()
	for i, c := range []directory.Command{put(7, "seven"), put(3, "three"), put(7, "other"), put(9, "nine"), put(8, "eight")} {
		apply(m, uint64(i+1), c)
	}
	s := m.State()
	is.Equal(s.ConfigVersion, uint64(9))
	is.Equal(string(s.Document), "nine")
	is.Equal(s.Version, uint64(4)) // of the last change
	restored := directory.NewMachine()
	is.NoErr(restored.Restore(m.Snapshot()))
	is.Equal(restored.State(), s)
}

// TestAnnouncements guards against a late announcement that revives a server
// which is gone or was started anew.
func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	m := directory.NewMachine()
	apply(m, 1, announce("a", "x:1", 100, 5))
	apply(m, 2, announce("a", "x:1", 100, 4))
	is.Equal(m.State().Servers["a"].Sequence, uint64(5))
	apply(m, 3, announce("a", "x:1", 200, 1)) // started anew under its id
	is.Equal(m.State().Servers["a"].Born, int64(200))
	apply(m, 4, announce("a", "x:1", 100, 9))
	is.Equal(m.State().Servers["a"].Born, int64(200))
	apply(m, 5, announce("b", "x:1", 300, 1)) // its address was given to another server
	is.Equal(len(m.State().Servers), 1)
	apply(m, 6, announce("a", "x:1", 200, 9))
	_, known := m.State().Servers["a"]
	is.True(!known)
	apply(m, 7, directory.Command{Remove: &directory.RemoveServer{ID: "b", Born: 250}})
	is.Equal(len(m.State().Servers), 1) // the departure of an earlier life
	apply(m, 8, directory.Command{Remove: &directory.RemoveServer{ID: "b", Born: 300}})
	is.Equal(len(m.State().Servers), 0)
}

// TestGroupGenerations guards against a change of a primary by a leader that
// has missed another one.
func TestGroupGenerations(t *testing.T) {
	is := is.New(t)
	m := directory.NewMachine()
	set := func(index, expect uint64, primary string) {
		apply(m, index, directory.Command{Group: &directory.SetGroup{Group: directoryrpc.Group{Name: "g", Primary: primary}, Expect: expect}})
	}
	set(1, 0, "a")
	set(2, 0, "b")
	is.Equal(m.State().Groups["g"].Primary, "a")
	set(3, 1, "c")
	is.Equal(m.State().Groups["g"], directoryrpc.Group{Name: "g", Primary: "c", Generation: 2})
}

// TestLeases guards against a primary that is changed while a host may still
// use the old one.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const ttl = 2 * time.Second
		s := directory.NewSessions(directory.Options{TTL: ttl, Drift: 0.1})
		sync := func(host, incarnation string, version uint64) {
			s.Heard(&directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: host, Incarnation: incarnation}, Version: version})
		}
		released := func(version uint64) bool {
			done, _ := s.Released(version)
			return done
		}
		sync("a", "1", 5)
		is.True(!released(5)) // the leases of an earlier leader may still run
		time.Sleep(ttl + ttl/10 + time.Millisecond)
		sync("a", "1", 5)
		sync("b", "1", 4)
		is.True(released(4))
		is.True(!released(5)) // b has not confirmed it
		time.Sleep(ttl)
		sync("a", "1", 5)
		is.True(!released(5)) // the lease of b runs on a clock that may be slower
		time.Sleep(ttl/10 + time.Millisecond)
		is.True(released(5))
		sync("b", "1", 4)
		is.True(!released(5))
		sync("b", "2", 0)
		is.True(!released(5)) // a new process has not confirmed anything
		s.Heard(&directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: "b", Incarnation: "1"}, Leaving: true})
		is.True(!released(5)) // a late farewell of the old process
		s.Heard(&directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: "b", Incarnation: "2"}, Leaving: true})
		is.True(released(5))
	})
}

// TestHostsAfterRestart guards against a new leader that tells the first hosts
// to return that nobody else shares the servers: after a power loss each of 32
// hosts then opened as many connections as if it were alone.
func TestHostsAfterRestart(t *testing.T) {
	play(t, func(is *is.I, w *world, _ *host) {
		for i := range 9 {
			w.join(fmt.Sprint("other", i))
		}
		time.Sleep(time.Second)
		ask := func(id string) int {
			reply := new(directoryrpc.SyncReply)
			is.NoErr(w.d.Service().Sync(&directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: id, Incarnation: "2"}}, reply))
			is.Equal(reply.Kind, errkind.OK)
			return reply.Hosts
		}
		is.Equal(ask("h1"), 10)
		w.d.OnLeader(false, 7)
		w.cancel() // every host is down
		time.Sleep(3 * time.Second)
		w.d.OnLeader(true, 8)
		time.Sleep(10 * time.Millisecond)
		is.Equal(ask("other1"), 10) // the others return as well
		time.Sleep(3 * time.Second)
		is.Equal(ask("other1"), 1) // they have not
		time.Sleep(time.Second)
		is.Equal(w.d.State().Hosts, 1)
	})
}
