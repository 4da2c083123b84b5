package consensus_test

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestReplicate guards against a cluster that elects no leader after the
// bootstrap, loses a proposal or applies it on one host only.
func TestReplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		defer c.stopAll()
		_, n := c.leader("")
		is.Equal(c.propose(n, "one"), "1")
		is.Equal(c.propose(n, "two"), "2")
		for _, id := range c.ids() {
			c.waitFor("apply at "+id, func() bool { return len(c.states[id].list()) == 2 })
			is.Equal(c.states[id].list(), []string{"one", "two"})
		}
	})
}

// TestIsolatedLeader guards against a leader that answers reads or accepts
// writes after it was isolated, and against a failover that takes too long.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		defer c.stopAll()
		old, n := c.leader("")
		c.propose(n, "one")
		is.True(c.isReportedLeader(old))
		start := time.Now()
		c.setIsolated(old, true)
		lost := make(chan error, 1)
		go func() {
			_, err := n.Propose(context.Background(), []byte("lost"))
			lost <- err
		}()
		id, next := c.leader(old)
		is.True(!n.LeaseValid())
		is.True(c.isReportedLeader(id))
		c.waitFor("the old leader steps down", func() bool { return !c.isReportedLeader(old) })
		is.True(time.Since(start) < 2*time.Second)
		c.propose(next, "two")
		is.Equal(errkind.Of(<-lost), errkind.OutcomeUnknown)
		_, err := n.Propose(context.Background(), []byte("refused"))
		is.Equal(errkind.Of(err), errkind.NotLeader)
		is.Equal(errkind.Of(n.ReadBarrier(context.Background())), errkind.NotLeader)
		c.setIsolated(old, false)
		c.waitFor("old leader catches up", func() bool { return len(c.states[old].list()) == 2 })
		is.Equal(c.states[old].list(), []string{"one", "two"})
	})
}

// TestRestart guards against losing acknowledged commands when all hosts
// restart, with and without snapshots.
func TestRestart(t *testing.T) {
	for _, snapshotEvery := range []int{0, 7} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, "a", "b", "c")
			c.snapshotEvery = snapshotEvery
			c.startAll()
			var want []string
			for round := range 3 {
				_, n := c.leader("")
				for i := range 10 {
					want = append(want, strconv.Itoa(round*10+i))
					c.propose(n, want[len(want)-1])
				}
				c.stopAll()
				c.startAll()
			}
			id, _ := c.leader("")
			is.Equal(c.states[id].list(), want)
			c.stopAll()
		})
	}
}

// TestLostDisk guards against a host that lost its disk and still votes or
// counts under its old incarnation while bootstrap is still set, and against
// such a host being unable to rejoin from a snapshot.
func TestLostDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		c := newCluster(t, "a", "b", "c")
		c.snapshotEvery = 5
		c.startAll()
		defer c.stopAll()
		_, n := c.leader("")
		for i := range 20 {
			c.propose(n, strconv.Itoa(i))
		}
		old := c.nodes["a"].Self()
		c.stop("a") // the coordinator of the bootstrap
		is.NoErr(os.RemoveAll(filepath.Join(c.dir, "a")))
		fresh := c.start("a", false)
		is.True(fresh.Self().Incarnation != old.Incarnation)
		_, n = c.leader("a")
		c.waitFor("the leader lists the host as joining", func() bool { return len(n.Status().Joining) == 1 })
		is.True(!fresh.Status().Initialised)
		is.Equal(n.Status().Joining[0], fresh.Self())

		is.NoErr(n.ChangeMembers(ctx, consensus.Change{Kind: consensus.AddLearner, Member: fresh.Self()}))
		c.waitFor("the learner catches up", func() bool { return len(c.states["a"].list()) == 20 })
		promote := consensus.Change{Kind: consensus.Promote, Member: fresh.Self()}
		is.Equal(errkind.Of(n.ChangeMembers(ctx, promote)), errkind.Conflict) // the old voter is still a member
		is.NoErr(n.ChangeMembers(ctx, consensus.Change{Kind: consensus.Remove, Member: old}))
		is.NoErr(n.ChangeMembers(ctx, promote))
		is.Equal(len(n.Members()), 3)
		other := "b"
		if c.nodes[other] == n {
			other = "c"
		}
		c.setIsolated(other, true) // a second host is lost right after the repair
		c.propose(n, "after")
		c.setIsolated(other, false)
		is.NoErr(n.ChangeMembers(ctx, consensus.Change{Kind: consensus.Remove, Member: c.nodes[other].Self()}))
		c.waitFor("the removed host learns of its removal", func() bool { return len(c.nodes[other].Members()) == 2 })
	})
}

// TestTransferLeadership guards against a transfer that takes an election
// timeout, and against a read lease that stays valid after it.
func TestTransferLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		defer c.stopAll()
		_, n := c.leader("")
		c.propose(n, "one")
		start := time.Now()
		is.NoErr(n.TransferLeadership(context.Background()))
		is.True(time.Since(start) < 100*time.Millisecond)
		is.True(!n.LeaseValid())
		l, ok := n.Leader()
		is.True(ok && l.Incarnation != n.Self().Incarnation)
	})
}

// TestSingleHost guards against a cluster of one host that can't elect itself or
// commit.
func TestSingleHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a")
		c.startAll()
		defer c.stopAll()
		_, n := c.leader("")
		start := time.Now()
		is.Equal(c.propose(n, "one"), "1")
		is.True(time.Since(start) < time.Millisecond) // no other host to wait for
		is.True(n.LeaseValid())
		is.Equal(errkind.Of(n.TransferLeadership(context.Background())), errkind.Conflict)
	})
}

// TestOutcomes guards against wrong outcomes while hosts are isolated and
// restarted: a command that succeeded must be applied exactly once, one that
// was refused never.
func TestOutcomes(t *testing.T) {
	seed := rand.Uint64()
	if s, err := strconv.ParseUint(os.Getenv("CONSENSUS_SEED"), 10, 64); err == nil {
		seed = s
	}
	t.Logf("CONSENSUS_SEED=%d", seed)
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 0))
		c := newCluster(t, "a", "b", "c")
		c.snapshotEvery = 40
		c.startAll()
		outcome := make(map[string]errkind.Kind)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 30 {
			for _, id := range c.ids() {
				n := c.nodes[id]
				for range 5 {
					command, limit := strconv.FormatUint(r.Uint64(), 36), time.Duration(r.IntN(1000))*time.Millisecond
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), limit)
						defer cancel()
						_, err := n.Propose(ctx, []byte(command))
						mu.Lock()
						defer mu.Unlock()
						outcome[command] = errkind.Of(err)
					})
				}
			}
			id := c.bootstrap[r.IntN(3)].ID
			switch r.IntN(4) {
			case 0:
				c.setIsolated(id, true)
			case 1, 2:
				c.stop(id)
				c.start(id, false)
				fallthrough
			default:
				for _, id := range c.ids() {
					c.setIsolated(id, false)
				}
			}
			time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
		}
		for _, id := range c.ids() {
			c.setIsolated(id, false)
		}
		wg.Wait()
		_, n := c.leader("")
		c.propose(n, "last")
		c.waitFor("all hosts apply the same", func() bool {
			return slices.Equal(c.states["a"].list(), c.states["b"].list()) && slices.Equal(c.states["a"].list(), c.states["c"].list())
		})
		count, kinds := make(map[string]int), make(map[errkind.Kind]int)
		for _, command := range c.states["a"].list() {
			count[command]++
		}
		for command, kind := range outcome {
			kinds[kind]++
			applied := count[command]
			if applied > 1 || kind == errkind.OK && applied == 0 || kind.Info().Outcome == errkind.NotRun && applied > 0 {
				t.Errorf("outcome %q: applied %d times", kind, applied)
			}
		}
		t.Logf("outcomes: %v", kinds)
		c.stopAll()
	})
}

// TestStoppedNode guards against calls that hang after Stop.
func TestStoppedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a")
		c.startAll()
		_, n := c.leader("")
		c.stopAll()
		_, err := n.Propose(context.Background(), []byte("x"))
		is.Equal(errkind.Of(err), errkind.NotLeader)
		is.Equal(errkind.Of(n.ReadBarrier(context.Background())), errkind.NotLeader)
		is.Equal(n.Status().Role, consensus.Follower)
	})
}

// TestFailedFiles guards against a node that continues after a file operation
// failed: what it would acknowledge may not be durable.
func TestFailedFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a")
		c.snapshotEvery = 5
		c.startAll()
		_, n := c.leader("")
		is.NoErr(os.RemoveAll(filepath.Join(c.dir, "a"))) // the next snapshot can't be written
		for i := range 10 {
			_, _ = n.Propose(context.Background(), []byte(strconv.Itoa(i)))
		}
		<-n.Done()
		is.True(n.Err() != nil)
		is.True(!n.IsLeader() && !n.LeaseValid())
		is.True(n.Status().Failed != "")
		is.True(n.Stop(context.Background()) != nil)
	})
}
