package directory_test

import (
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/matryer/is"
)

// replaceFirstPrimary lets s3 replace s1, which stays a primary of term 1 and can't be
// reached, and then stops s2 and s3 without notice.
func (c *testCluster) replaceFirstPrimary(is *is.I, h *testHost) {
	c.withLock(func() {
		c.down["s1"] = true
		c.status["s3"] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 120)}
	})
	h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
	time.Sleep(1500 * time.Millisecond)
	is.Equal(c.group().Primary, "s3")
	c.withLock(func() { c.down["s2"], c.down["s3"] = true, true })
}

// TestRoleOfEarlierTerm guards against a server that is recorded as the primary before its
// promotion takes effect, because it still has the role from an earlier term: its writes
// were acknowledged and are in no later log.
func TestRoleOfEarlierTerm(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.replaceFirstPrimary(is, h)
		c.withLock(func() { c.down["s1"], c.promotionDelay = false, 600*time.Millisecond })
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			g := c.group()
			c.withLock(func() {
				is.True(g.Primary != "s1" || g.Switching || c.status["s1"].Term > 2)
			})
		}
	})
}

// TestAdoptedPrimary guards against a superseded primary that is recorded as the first
// primary of a group, because it was announced before its successor.
func TestAdoptedPrimary(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
		c.withLock(func() {
			c.status["n1"] = statement.ServerStatus{Role: statement.Primary, Term: 4, Received: pos(4, 10)}
			c.status["n2"] = statement.ServerStatus{Role: statement.Primary, Term: 5, Received: pos(5, 10)}
		})
		time.Sleep(7 * time.Millisecond) // between two checks of the leader
		for i, id := range []string{"n1", "n2"} {
			srv := directoryrpc.Server{ID: id, Group: "n", Address: id + ":1", Slots: 3, Role: statement.Primary, Born: 1, Sequence: 1}
			c.d.Apply(uint64(1000+i), directory.EncodeCommand(directory.Command{Announce: &directory.PutServer{Server: srv}}))
		}
		time.Sleep(time.Second)
		g := c.d.State().Groups["n"]
		is.Equal(g.Primary, "n2")
		is.Equal(g.Term, uint64(5))
	})
}
