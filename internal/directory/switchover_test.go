package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestLostPrimary guards against a lost primary that is not replaced, or not by the
// most advanced replica.
func TestLostPrimary(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		is.Equal(c.group().Primary, "s1")
		c.withLock(func() {
			c.down["s1"] = true
			c.status["s3"] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 120)}
		})
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond, Position: pos(1, 130)})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(c.group().Primary, "s3")
		is.True(!c.group().Switching)
		is.Equal(c.promotions()[0].Token, uint64(7))
		is.Equal(c.promotions()[0].Holder, "c1")
	})
}

// TestPrimaryUnreachableFromOneHost guards against a switchover that may lose
// commits although the primary works: one host fails to reach it, but the leader
// reaches it.
func TestPrimaryUnreachableFromOneHost(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		h.setReport(directoryrpc.Report{FailingFor: 700 * time.Millisecond})
		time.Sleep(3 * time.Second)
		is.Equal(c.group().Primary, "s1")
		is.Equal(len(c.promotions()), 0)
	})
}

// TestFrozenHost guards against a promotion while a host that does not answer
// may still use the old primary under its lease.
func TestFrozenHost(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		frozenHost := c.startHost("h2")
		time.Sleep(500 * time.Millisecond)
		frozenHost.mu.Lock()
		frozenHost.frozen = true
		frozenHost.mu.Unlock()
		c.withLock(func() { c.down["s1"] = true })
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
		for len(c.promotions()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		frozenHost.mu.Lock()
		defer frozenHost.mu.Unlock()
		is.True(time.Since(frozenHost.lastRenewal) > 2200*time.Millisecond) // its lease has expired
	})
}

// TestPlannedSwitchover guards against a planned switchover that loses commits,
// and against one that never completes.
func TestPlannedSwitchover(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() {
			c.status["s1"] = statement.ServerStatus{Role: statement.Primary, Term: 1, Received: pos(1, 150)}
		})
		c.announce("s1", true, true, 9)
		time.Sleep(700 * time.Millisecond)
		is.True(c.group().Switching)
		is.Equal(len(c.promotions()), 0) // no replica has every commit
		c.withLock(func() {
			c.status["s2"] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 150)}
		})
		time.Sleep(time.Second)
		is.Equal(c.group().Primary, "s2")
		time.Sleep(2 * time.Second)
		c.withLock(func() { is.Equal(c.demoted, []string{"s1"}) })
	})
}

// TestPartiallyReachablePrimary guards against the loss of commits in a switchover
// from a primary that some hosts can't reach, when no replica has every commit.
func TestPartiallyReachablePrimary(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		h.setReport(directoryrpc.Report{FailingFor: 1700 * time.Millisecond, Reachable: []string{"s2"}, Position: pos(1, 140)})
		time.Sleep(800 * time.Millisecond)
		is.True(c.group().Switching)
		h.setReport(directoryrpc.Report{Position: pos(1, 140)})
		time.Sleep(2 * time.Second)
		is.Equal(c.group().Primary, "s1")
		is.True(!c.group().Switching)
		is.Equal(len(c.promotions()), 0)
	})
}

// TestRefusedPromotion guards against a switchover that keeps waiting for a target
// that is not running.
func TestRefusedPromotion(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() {
			c.down["s1"], c.refusePromotion["s3"] = true, true
			c.status["s3"] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 120)}
		})
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
		time.Sleep(2 * time.Second)
		is.Equal(c.group().Primary, "s2")
	})
}

// TestSynchronousReplicas guards against the loss of a commit that only one
// replica has received: while that replica may be the one that does not answer, no
// other one is promoted.
func TestSynchronousReplicas(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() { c.syncReplicas, c.down["s1"], c.down["s3"] = 1, true, true })
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
		time.Sleep(3 * time.Second)
		is.Equal(len(c.promotions()), 0)
		c.withLock(func() { c.down["s3"] = false })
		time.Sleep(time.Second)
		is.True(c.group().Primary != "s1")
	})
}

// TestSupersededLeader guards against a leader that requests a promotion or serves
// reads after its read lease has expired.
func TestSupersededLeader(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() { c.down["s1"] = true })
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
		time.Sleep(100 * time.Millisecond)
		c.withLock(func() { c.leaseIsValid = false })
		time.Sleep(3 * time.Second)
		is.Equal(len(c.promotions()), 0)
		get := new(directoryrpc.GetReply)
		is.NoErr(c.d.Service().Get(new(directoryrpc.GetArgs), get))
		is.True(get.Kind != "")
	})
}

// TestPanicInCall guards against a call of a host that ends the process of a control
// host, and with it those of all others that it is repeated at.
func TestPanicInCall(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		c.withLock(func() { c.panics = true })
		reply := new(directoryrpc.PutReply)
		is.NoErr(c.d.Service().Put(&directoryrpc.PutArgs{Version: 5, Document: []byte("x")}, reply))
		is.Equal(reply.Kind, errkind.OutcomeUnknown)
		c.withLock(func() { c.panics = false })
		reply = new(directoryrpc.PutReply)
		is.NoErr(c.d.Service().Put(&directoryrpc.PutArgs{Version: 5, Document: []byte("x")}, reply))
		is.Equal(reply.Kind, errkind.OK)
	})
}

// TestManyLostPrimaries guards against hundreds of groups that take no statements at
// the same time because their primaries look lost, and against lost primaries that
// are never replaced because others are replaced first.
func TestManyLostPrimaries(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		const groups = 200
		for i := range groups {
			for r, role := range []statement.Role{statement.Primary, statement.Replica} {
				id := fmt.Sprint("m", i, "-", r)
				c.withLock(func() { c.status[id] = statement.ServerStatus{Role: role, Term: 1, Received: pos(1, 100)} })
				is.NoErr(c.d.Service().Announce(&directoryrpc.AnnounceArgs{Server: directoryrpc.Server{
					ID: id, Group: fmt.Sprint("m", i), Address: id + ":1", Slots: 3, Role: role, Born: 1, Sequence: 1,
				}}, new(directoryrpc.AnnounceReply)))
			}
		}
		time.Sleep(time.Second)
		for i := range groups { // the servers leave, so no report of a host is needed
			id := fmt.Sprint("m", i, "-0")
			c.withLock(func() { c.down[id] = true })
			go func() {
				_ = c.d.Service().Announce(&directoryrpc.AnnounceArgs{Gone: true, Server: directoryrpc.Server{ID: id, Born: 1}}, new(directoryrpc.AnnounceReply))
			}()
		}
		most, replaced := 0, 0
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			switching := 0
			replaced = 0
			for name, g := range c.d.State().Groups {
				if g.Switching {
					switching++
				}
				if g.Primary == name+"-1" {
					replaced++
				}
			}
			most = max(most, switching)
		}
		is.True(most <= 32)
		is.Equal(replaced, groups)
	})
}
