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

// reportFailing lets the host report that it fails to reach the primary, whose latest known
// position is 1/130.
func (h *testHost) reportFailing() {
	h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond, Position: pos(1, 130)})
}

// returnPrimary lets s1 answer again as the primary of term 1, with commits that no other
// server has, while the host reports no failure. The caller holds mu.
func (c *testCluster) returnPrimary(h *testHost) {
	c.down["s1"] = false
	c.status["s1"] = statement.ServerStatus{Role: statement.Primary, Term: 1, Received: pos(1, 140)}
	h.setReport(directoryrpc.Report{Position: pos(1, 130)})
}

// expectPrimary checks that the group is steady with the given primary.
func (c *testCluster) expectPrimary(is *is.I, id string, term uint64) {
	is.Helper()
	g := c.group()
	is.Equal(g.Primary, id)
	is.Equal(g.Term, term)
	is.True(!g.Switching)
	is.Equal(len(g.Asked), 0)
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

// TestPromotionOutOfSight guards against a primary that is used again although another
// server was promoted, which could not be reached before it was seen as the primary: writes
// at the superseded one were acknowledged and are in no later log.
func TestPromotionOutOfSight(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() {
			c.down["s1"] = true
			c.onPromoted = func(id string) {
				if id != "s1" { // the cut of the first primary ends, and the new one goes dark
					c.down[id] = true
					c.returnPrimary(h)
				}
			}
		})
		h.reportFailing()
		time.Sleep(500 * time.Millisecond)
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			g := c.group()
			c.withLock(func() { is.True(g.Switching || c.status[g.Primary].Term == c.term) })
		}
		// No acknowledged commit is lost either: the first primary leads again.
		c.expectPrimary(is, "s1", 3)
	})
}

// TestPromotionWithoutEffect guards against a group that is left without a primary because
// a promotion was requested that never took effect: the primary, which answers again, is
// the present one, and a request to promote it changes nothing.
func TestPromotionWithoutEffect(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() { c.down["s1"] = true })
		h.reportFailing()
		for len(c.promotions()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		c.withLock(func() {
			c.down[c.promoted[0].Server] = true
			c.returnPrimary(h)
		})
		time.Sleep(5 * time.Second)
		c.expectPrimary(is, "s1", 1)
	})
}

// TestRefusedPromotionKeepsPrimary guards against a group that takes no statements because
// a promotion was requested, although the only request was refused: the primary that
// answers again is used without another promotion.
func TestRefusedPromotionKeepsPrimary(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() { c.down["s1"], c.refusePromotion["s2"], c.refusePromotion["s3"] = true, true, true })
		h.reportFailing()
		time.Sleep(300 * time.Millisecond)
		c.withLock(func() { c.returnPrimary(h) })
		time.Sleep(2 * time.Second)
		c.expectPrimary(is, "s1", 1)
		is.Equal(len(c.promotions()), 0)
	})
}

// TestLateEffect guards against a promoted server that is not used because it became the
// primary only after the leader had given up waiting and while no other one could be chosen.
func TestLateEffect(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() { c.down["s1"], c.down["s2"], c.promotionDelay = true, true, 3*time.Second })
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
		time.Sleep(5 * time.Second)
		c.expectPrimary(is, "s3", 2)
	})
}

// TestLogWithRolledBackCommits guards against the promotion of a server whose log has
// commits that the last promotion rolled back: reads that ran meanwhile lacked them, and the
// commits of the recorded term are lost although their servers come back.
func TestLogWithRolledBackCommits(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.replaceFirstPrimary(is, h)
		c.withLock(func() {
			c.down["s1"] = false
			c.status["s1"] = statement.ServerStatus{Role: statement.Replica, Term: 2, Received: pos(1, 140)}
			c.status["s3"] = statement.ServerStatus{Role: statement.Primary, Term: 2, Received: pos(2, 170)}
		})
		time.Sleep(15 * time.Second)
		is.Equal(len(c.promotions()), 1)
		c.withLock(func() { c.down["s3"] = false })
		h.setReport(directoryrpc.Report{})
		time.Sleep(2 * time.Second)
		c.expectPrimary(is, "s3", 2)
		is.Equal(len(c.promotions()), 1)
	})
}

// TestLogOfEarlierTerm guards against the loss of all commits of a term because a server
// without them answers first, and against a group that never has a primary again because
// no other one comes back.
func TestLogOfEarlierTerm(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.replaceFirstPrimary(is, h)
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond, Position: pos(2, 170)})
		c.withLock(func() {
			c.down["s2"] = false
			c.status["s2"] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 110)}
		})
		time.Sleep(9 * time.Second)
		is.Equal(len(c.promotions()), 1)
		time.Sleep(3 * time.Second)
		is.Equal(c.group().Primary, "s2")
	})
}

// TestOnlyLogLeft guards against a group that never has a primary again because the only
// server that is left has commits that were rolled back.
func TestOnlyLogLeft(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.replaceFirstPrimary(is, h)
		c.withLock(func() {
			c.down["s1"] = false
			c.status["s1"] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 140)}
		})
		for _, id := range []string{"s2", "s3"} {
			is.NoErr(c.d.Service().Announce(&directoryrpc.AnnounceArgs{Server: directoryrpc.Server{ID: id, Born: 1}, Gone: true}, new(directoryrpc.AnnounceReply)))
		}
		time.Sleep(13 * time.Second)
		is.Equal(c.group().Primary, "s1")
	})
}

// TestPrimaryUnderNewID guards against a group that is without a primary longer than needed:
// the lost primary comes back under another id and still leads the recorded term, so no
// promotion changes anything.
func TestPrimaryUnderNewID(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() { c.down["s1"], c.down["s2"], c.down["s3"] = true, true, true })
		h.reportFailing()
		time.Sleep(3 * time.Second)
		is.True(c.group().Switching)
		h.setReport(directoryrpc.Report{Position: pos(1, 130)})
		c.withLock(func() {
			c.down["s2"], c.down["s3"] = false, false
			for _, id := range []string{"s2", "s3", "s4"} {
				c.status[id] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 130)}
			}
			c.status["s4"] = statement.ServerStatus{Role: statement.Primary, Term: 1, Received: pos(1, 130)}
		})
		c.announce("s4", true, false, 1)
		time.Sleep(time.Second)
		c.expectPrimary(is, "s4", 1)
	})
}

// TestPromotionAfterSuccessor guards against a group whose recorded primary is superseded by
// a promotion that was requested earlier and took effect later: writes at it were
// acknowledged until it stepped down, and again if its successor went dark.
func TestPromotionAfterSuccessor(t *testing.T) {
	for _, test := range []struct {
		name string
		dark bool
	}{{"answers", false}, {"goes dark", true}} {
		t.Run(test.name, func(t *testing.T) {
			runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
				c.withLock(func() {
					c.down["s1"], c.promotionDelay = true, 2900*time.Millisecond
					c.status["s3"] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 120)}
				})
				h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
				for len(c.promotions()) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				c.withLock(func() { c.promotionDelay = 300 * time.Millisecond })
				h.setReport(directoryrpc.Report{})
				time.Sleep(2700 * time.Millisecond)
				is.Equal(c.group().Primary, "s2")
				time.Sleep(600 * time.Millisecond) // the first promotion has taken effect
				c.withLock(func() { c.down["s3"] = test.dark })
				for range 300 {
					time.Sleep(10 * time.Millisecond)
					g := c.group()
					c.withLock(func() { is.True(g.Switching || c.status[g.Primary].Term == c.term) })
				}
				is.True(test.dark || c.group().Primary == "s3" && !c.group().Switching)
			})
		})
	}
}
