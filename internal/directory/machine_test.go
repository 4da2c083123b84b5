package directory_test

import (
	"encoding/hex"
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

func putCommand(version uint64, text string) directory.Command {
	return directory.Command{Put: &directory.PutConfig{Version: version, Document: []byte(text)}}
}

func announceCommand(id, address string, born int64, sequence uint64) directory.Command {
	return directory.Command{Announce: &directory.PutServer{Server: directoryrpc.Server{
		ID: id, Group: "g", Address: address, Born: born, Sequence: sequence, Role: statement.Replica,
	}}}
}

// TestHighestConfigVersionWins guards against replacing a configuration by an older
// version, or by different content under the version in force.
func TestHighestConfigVersionWins(t *testing.T) {
	is := is.New(t)
	m := directory.NewMachine()
	for i, c := range []directory.Command{putCommand(7, "seven"), putCommand(3, "three"), putCommand(7, "other"), putCommand(9, "nine"), putCommand(8, "eight")} {
		apply(m, uint64(i+1), c)
	}
	s := m.State()
	is.Equal(s.ConfigVersion, uint64(9))
	is.Equal(string(s.Document), "nine")
	is.Equal(s.Version, uint64(4)) // log index of the last change
	restored := directory.NewMachine()
	is.NoErr(restored.Restore(m.Snapshot()))
	is.Equal(restored.State(), s)
}

// TestStaleAnnouncements guards against a late announcement or removal that
// overrides the state of a server that has been restarted or replaced since.
func TestStaleAnnouncements(t *testing.T) {
	is := is.New(t)
	m := directory.NewMachine()
	apply(m, 1, announceCommand("a", "x:1", 100, 5))
	apply(m, 2, announceCommand("a", "x:1", 100, 4))
	is.Equal(m.State().Servers["a"].Sequence, uint64(5))
	apply(m, 3, announceCommand("a", "x:1", 200, 1)) // restarted under the same id
	is.Equal(m.State().Servers["a"].Born, int64(200))
	apply(m, 4, announceCommand("a", "x:1", 100, 9))
	is.Equal(m.State().Servers["a"].Born, int64(200))
	apply(m, 5, announceCommand("b", "x:1", 300, 1)) // its address now belongs to another server
	is.Equal(len(m.State().Servers), 1)
	apply(m, 6, announceCommand("a", "x:1", 200, 9))
	_, known := m.State().Servers["a"]
	is.True(!known)
	apply(m, 7, directory.Command{Remove: &directory.RemoveServer{ID: "b", Born: 250}})
	is.Equal(len(m.State().Servers), 1) // the removal refers to an earlier process
	apply(m, 8, directory.Command{Remove: &directory.RemoveServer{ID: "b", Born: 300}})
	is.Equal(len(m.State().Servers), 0)
}

// TestGroupGenerations guards against a leader that changes the primary of a group
// based on an outdated generation.
func TestGroupGenerations(t *testing.T) {
	is := is.New(t)
	m := directory.NewMachine()
	set := func(index, expect uint64, primary string) {
		apply(m, index, directory.Command{Group: &directory.SetGroup{Group: directoryrpc.Group{Name: "g", Primary: primary}, ExpectedGeneration: expect}})
	}
	set(1, 0, "a")
	set(2, 0, "b")
	is.Equal(m.State().Groups["g"].Primary, "a")
	set(3, 1, "c")
	is.Equal(m.State().Groups["g"], directoryrpc.Group{Name: "g", Primary: "c", Generation: 2})
}

// TestLeases guards against the replacement of a primary while a host may still
// use the old one under its lease.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const ttl = 2 * time.Second
		s := directory.NewSessions(directory.Options{TTL: ttl, ClockDrift: 0.1})
		sync := func(host, incarnation string, version uint64) {
			s.Sync(&directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: host, Incarnation: incarnation}, Version: version})
		}
		released := s.Released
		sync("a", "1", 5)
		is.True(!released(5)) // leases of an earlier leader may still be valid
		time.Sleep(ttl + ttl/10 + time.Millisecond)
		sync("a", "1", 5)
		sync("b", "1", 4)
		is.True(released(4))
		is.True(!released(5)) // b has not confirmed it
		time.Sleep(ttl)
		sync("a", "1", 5)
		is.True(!released(5)) // the clock of b may be slower
		time.Sleep(ttl/10 + time.Millisecond)
		is.True(released(5))
		sync("b", "1", 4)
		is.True(!released(5))
		sync("b", "2", 0)
		is.True(!released(5)) // a new process has not confirmed anything
		s.Sync(&directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: "b", Incarnation: "1"}, Leaving: true})
		is.True(!released(5)) // a late request to leave from the old process
		s.Sync(&directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: "b", Incarnation: "2"}, Leaving: true})
		is.True(released(5))
	})
}

// TestHostCountAfterRestart guards against a new leader that counts only the hosts
// that have already reconnected: after a power loss each of 32 hosts then opened
// as many connections as if it were alone.
func TestHostCountAfterRestart(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
		for i := range 9 {
			c.startHost(fmt.Sprint("other", i))
		}
		time.Sleep(time.Second)
		syncHostCount := func(id string) int {
			reply := new(directoryrpc.SyncReply)
			is.NoErr(c.d.Service().Sync(&directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: id, Incarnation: "2"}}, reply))
			is.Equal(reply.Kind, errkind.OK)
			return reply.HostCount
		}
		is.Equal(syncHostCount("h1"), 10)
		c.d.OnLeader(false, 7)
		c.cancel() // stops all hosts
		time.Sleep(3 * time.Second)
		c.d.OnLeader(true, 8)
		time.Sleep(10 * time.Millisecond)
		is.Equal(syncHostCount("other1"), 10) // the count of the earlier leader
		time.Sleep(3 * time.Second)
		is.Equal(syncHostCount("other1"), 1) // only this host has returned
		time.Sleep(time.Second)
		is.Equal(c.d.State().HostCount, 1)
	})
}

// TestSnapshotOfEarlierRelease guards against a state that this release can't read, or reads
// as another one: a snapshot of a release without terms, taken while a group switches.
func TestSnapshotOfEarlierRelease(t *testing.T) {
	is := is.New(t)
	snapshot, err := hex.DecodeString("88a16300a164c0a16781a16785a16702a16ea167a170a27331a173c3a174a27332a16880a16b00a17380a17602a178c0")
	is.NoErr(err)
	m := directory.NewMachine()
	is.NoErr(m.Restore(snapshot))
	is.Equal(m.State().Groups, map[string]directoryrpc.Group{"g": {Name: "g", Primary: "s1", Generation: 2, Switching: true, Target: "s2"}})
}
