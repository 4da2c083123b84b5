package directory_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestContradictingAnnouncement guards against an announcement of another writer that
// moves a running server to another group or address: entry hosts would send it the
// statements of that group.
func TestContradictingAnnouncement(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
		announce := func(group, address string) errkind.Kind {
			reply := new(directoryrpc.AnnounceReply)
			is.NoErr(c.d.Service().Announce(&directoryrpc.AnnounceArgs{Server: directoryrpc.Server{
				ID: "s2", Group: group, Address: address, Slots: 3, Role: statement.Replica, Born: 1, Sequence: 1000,
			}}, reply))
			return reply.Kind
		}
		before := c.d.State().Servers["s2"]
		is.Equal(announce("other", "s2:1"), errkind.BadRequest)
		is.Equal(announce("g", "elsewhere:1"), errkind.BadRequest)
		is.Equal(c.d.State().Servers["s2"], before)
		is.Equal(announce("g", "s2:1"), errkind.OK)
	})
}

// TestUndeclaredGroup guards against an announcement of a group that no configuration
// declares, with a later start, which replaces the server that has the id.
func TestUndeclaredGroup(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
		announce := func(id, group string, born int64) errkind.Kind {
			reply := new(directoryrpc.AnnounceReply)
			is.NoErr(c.d.Service().Announce(&directoryrpc.AnnounceArgs{Server: directoryrpc.Server{
				ID: id, Group: group, Address: id + ":1", Slots: 3, Role: statement.Replica, Born: born, Sequence: 1,
			}}, reply))
			return reply.Kind
		}
		is.Equal(announce("n1", "new", 1), errkind.OK) // there is no configuration yet
		c.withLock(func() { c.declared = map[string]bool{"g": true} })
		before := c.d.State().Servers
		is.Equal(announce("s2", "other", 2), errkind.BadRequest)
		is.Equal(announce("n1", "new", 1), errkind.BadRequest)
		is.Equal(announce("n2", "new", 1), errkind.BadRequest)
		is.Equal(c.d.State().Servers, before)
		is.Equal(announce("s2", "g", 2), errkind.OK)
		c.withLock(func() { c.declared = map[string]bool{"g": true, "new": true} })
		is.Equal(announce("n2", "new", 1), errkind.OK)
		reply := new(directoryrpc.AnnounceReply) // a departure does not name a group
		is.NoErr(c.d.Service().Announce(&directoryrpc.AnnounceArgs{Gone: true, Server: directoryrpc.Server{ID: "n2", Born: 1}}, reply))
		is.Equal(reply.Kind, errkind.OK)
	})
}
