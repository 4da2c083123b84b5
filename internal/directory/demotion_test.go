package directory_test

import (
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/matryer/is"
)

// TestLateRoleAnnouncement guards against a second switchover of a group because the
// promoted server, which works as the primary, is still announced as a replica. With
// many lost primaries such switchovers take the place of those that are needed.
func TestLateRoleAnnouncement(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() {
			c.silentTargets, c.down["s1"] = true, true
			c.status["s3"] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 120)}
		})
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(c.group().Primary, "s3")
		h.setReport(directoryrpc.Report{})
		done := c.group()
		time.Sleep(5 * time.Second)
		is.Equal(c.group(), done)
		is.Equal(len(c.promotions()), 1)
	})
}

// TestDemotedPrimary guards against a group that is left without a primary because its
// primary has become a replica, whether that answers status calls or not. One that
// answers and has received as much as the others may be promoted again.
func TestDemotedPrimary(t *testing.T) {
	for _, test := range []struct {
		name string
		down bool
	}{{"answers", false}, {"does not answer", true}} {
		t.Run(test.name, func(t *testing.T) {
			runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
				c.withLock(func() {
					c.down["s1"] = test.down
					c.status["s1"] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 100)}
				})
				c.announce("s1", false, false, 9)
				time.Sleep(2500 * time.Millisecond)
				is.Equal(len(c.promotions()), 1)
				is.True(!c.group().Switching)
				c.withLock(func() { is.Equal(c.status[c.group().Primary].Role, statement.Primary) })
				is.True(!test.down || c.group().Primary != "s1")
			})
		})
	}
}

// TestOnlyServer guards against a group that takes no statements any more because its
// only server was silent for a while: no other one can be promoted.
func TestOnlyServer(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		for _, id := range []string{"s2", "s3"} {
			is.NoErr(c.d.Service().Announce(&directoryrpc.AnnounceArgs{Server: directoryrpc.Server{ID: id, Born: 1}, Gone: true}, new(directoryrpc.AnnounceReply)))
		}
		c.withLock(func() { c.down["s1"] = true })
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
		time.Sleep(2 * time.Second)
		c.withLock(func() { c.down["s1"] = false })
		h.setReport(directoryrpc.Report{})
		time.Sleep(time.Second)
		is.Equal(c.group().Primary, "s1")
		is.True(!c.group().Switching)
	})
}
