package directory_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestReadAcrossLeaderships guards against an answer with a reverted configuration: the
// call read the state in one leadership of the host, another leader acknowledged a later
// configuration, and the host holds the read lease of its next leadership when the call
// goes on.
func TestReadAcrossLeaderships(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
		put := func(version uint64) {
			c.d.Apply(1000+version, directory.EncodeCommand(directory.Command{Put: &directory.PutConfig{Version: version}}))
		}
		put(11)
		c.cancel() // the host makes no further calls
		c.workers.Wait()
		time.Sleep(time.Second)
		var checks atomic.Int32
		c.withLock(func() {
			c.onLeaseCheck = func() {
				if checks.Add(1) != 2 { // the first check precedes the read
					return
				}
				c.d.OnLeader(false, 8)
				put(13)
				c.d.OnLeader(true, 9)
				time.Sleep(100 * time.Millisecond)
			}
		})
		reply := new(directoryrpc.GetReply)
		is.NoErr(c.d.Service().Get(new(directoryrpc.GetArgs), reply))
		is.Equal(reply.Kind, errkind.NotLeader)
		reply = new(directoryrpc.GetReply)
		is.NoErr(c.d.Service().Get(new(directoryrpc.GetArgs), reply))
		is.Equal(reply.Version, uint64(13))
	})
}
