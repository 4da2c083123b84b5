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
