package faulttest_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

var changes = flag.Int("faulttest.changes", 500, "configuration changes before the restart of control")

// inForceLimit is the documented limit for the time until a change is in force
// at every entry.
const inForceLimit = 11 * time.Second

// configClient applies configuration changes as operators do, and watches the
// versions in force at the entries.
type configClient struct {
	t              *testing.T
	ctx            context.Context
	in             *faulttest.Installation
	newestVersion  uint64 // of the accepted changes
	newestText     string
	slowestInForce time.Duration // longest time until a change was in force at every entry
	samples        int           // written by sampleVersions
	stop           chan struct{}
	done           sync.WaitGroup
}

func newConfigClient(ctx context.Context, t *testing.T, in *faulttest.Installation) *configClient {
	c := &configClient{t: t, ctx: ctx, in: in, newestVersion: 1, stop: make(chan struct{})}
	c.done.Go(c.sampleVersions)
	return c
}

// sampleVersions polls the configuration version of every entry until close,
// and fails the test if a version decreases.
func (c *configClient) sampleVersions() {
	var last [3]uint64
	for {
		for i := range last {
			d := c.in.Entry(i).Dump()
			if d.ConfigVersion < last[i] {
				c.t.Errorf("entry %d went from version %d to %d", i, last[i], d.ConfigVersion)
			}
			last[i] = d.ConfigVersion
			c.samples++
		}
		select {
		case <-c.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (c *configClient) close() {
	close(c.stop)
	c.done.Wait()
	c.t.Logf("version %d; slowest change was in force everywhere after %s; %d samples of versions", c.newestVersion, c.slowestInForce, c.samples)
}

// applyArgs returns a change based on version base, with a configuration text
// that is unique to id.
func applyArgs(id string, base uint64) *controlrpc.ApplyArgs {
	return &controlrpc.ApplyArgs{ChangeID: id, BaseVersion: base, Operator: "operator of " + id, Text: faulttest.DefaultPolicy + "\n# " + id + "\n"}
}

// applyUntilAnswered sends a change to an address and resends it until there
// is an answer, as operators do.
func (c *configClient) applyUntilAnswered(address string, a *controlrpc.ApplyArgs) *controlrpc.ApplyReply {
	c.t.Helper()
	var err error
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var reply *controlrpc.ApplyReply
		if reply, err = (operator.Client{Address: address}).Apply(c.ctx, a); err == nil {
			return reply
		}
	}
	c.t.Fatalf("change %s was not answered: %v", a.ChangeID, err)
	return nil
}

// mustApplyAndWait applies a change to the newest version and waits until it
// is in force at every entry.
func (c *configClient) mustApplyAndWait(address, id string) {
	c.t.Helper()
	c.mustApply(address, id)
	c.waitInForce()
}

// mustApply applies a change to the newest version and fails the test unless
// it is accepted.
func (c *configClient) mustApply(address, id string) {
	c.t.Helper()
	a := applyArgs(id, c.newestVersion)
	reply := c.applyUntilAnswered(address, a)
	if reply.Kind != errkind.OK || reply.Version != c.newestVersion+1 {
		c.t.Fatalf("change %s on version %d: %+v", id, c.newestVersion, reply)
	}
	c.newestVersion, c.newestText = reply.Version, a.Text
}

// waitInForce waits until the newest version is in force at every entry.
func (c *configClient) waitInForce() {
	c.t.Helper()
	began := time.Now()
	for {
		lowest := c.newestVersion
		for i := range 3 {
			lowest = min(lowest, c.in.Entry(i).Dump().ConfigVersion)
		}
		if lowest >= c.newestVersion {
			c.slowestInForce = max(c.slowestInForce, time.Since(began))
			return
		}
		if time.Since(began) > inForceLimit {
			c.t.Fatalf("version %d is not in force after %s: an entry has %d", c.newestVersion, inForceLimit, lowest)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// checkState fails the test unless the replicated state holds the newest
// accepted configuration and all entries put it into force.
func (c *configClient) checkState(what string) {
	c.t.Helper()
	is := is.New(c.t)
	c.waitThreeVoters(what)
	reply, err := c.in.State(c.ctx)
	is.NoErr(err)
	if reply.State.ConfigVersion != c.newestVersion || reply.State.ConfigText != c.newestText {
		c.t.Fatalf("%s: version %d with text %q, want %d", what, reply.State.ConfigVersion, reply.State.ConfigText[max(0, len(reply.State.ConfigText)-30):], c.newestVersion)
	}
	c.waitInForce()
}

// waitThreeVoters waits until control has a leader and three voters that have
// caught up, and returns the number of the leader.
func (c *configClient) waitThreeVoters(what string) int {
	c.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		leader, ok := c.in.Leader()
		if !ok {
			continue
		}
		all := c.in.ControlStatuses()
		st, voters := all[leader], 0
		for _, m := range st.Members {
			if !m.Learner && (m.ID == st.ID || m.Match >= st.Commit) {
				voters++
			}
		}
		if voters == 3 && len(all) == 3 && len(st.Joining) == 0 {
			return leader
		}
	}
	c.t.Fatalf("%s: control has no three voters that caught up after 20 s: %+v", what, c.in.ControlStatuses())
	return 0
}

// expectReply resends a change and fails the test unless it gets the first
// reply again.
func (c *configClient) expectReply(what, address string, a *controlrpc.ApplyArgs, want *controlrpc.ApplyReply) {
	c.t.Helper()
	got := c.applyUntilAnswered(address, a)
	if got.Kind != want.Kind || got.Version != want.Version || got.WonBy != want.WonBy || got.WonChange != want.WonChange {
		c.t.Errorf("%s: resend of %s got %+v, the first answer was %+v", what, a.ChangeID, got, want)
	}
}

// TestConfigurationConflicts guards against accepting two changes with the
// same base version, and against a resend that gets another answer than the
// first request. Two operators apply changes at the same time; both changes
// are resent after later changes, a restart of the leader and a lost disk.
func TestConfigurationConflicts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, in := startInstallation(t, "")
	c := newConfigClient(ctx, t, in)
	defer c.close()
	addresses := []string{in.EntryOperator(0), in.ControlOperator(1), in.EntryOperator(2), in.ControlOperator(0)}
	var winner, loser *controlrpc.ApplyArgs
	var winnerReply, loserReply *controlrpc.ApplyReply
	for round := range 10 {
		pair := []*controlrpc.ApplyArgs{applyArgs(fmt.Sprintf("a%d", round), c.newestVersion), applyArgs(fmt.Sprintf("b%d", round), c.newestVersion)}
		replies := make([]*controlrpc.ApplyReply, 2)
		errors := make([]error, 2)
		var calls sync.WaitGroup
		for i := range pair {
			calls.Go(func() {
				replies[i], errors[i] = operator.Client{Address: addresses[(round+i)%len(addresses)]}.Apply(ctx, pair[i])
			})
		}
		calls.Wait()
		is.NoErr(errors[0])
		is.NoErr(errors[1])
		winnerIndex := 0
		if replies[0].Kind != errkind.OK {
			winnerIndex = 1
		}
		winner, winnerReply, loser, loserReply = pair[winnerIndex], replies[winnerIndex], pair[1-winnerIndex], replies[1-winnerIndex]
		is.Equal(winnerReply.Kind, errkind.OK) // exactly one wins
		is.Equal(winnerReply.Version, c.newestVersion+1)
		is.Equal(loserReply.Kind, errkind.Conflict)
		is.Equal(loserReply.WonChange, winner.ChangeID) // the conflict names the change
		is.Equal(loserReply.WonBy, winner.Operator)     // and the operator that won
		is.Equal(loserReply.Version, winnerReply.Version)
		c.newestVersion, c.newestText = winnerReply.Version, winner.Text
		c.waitInForce()
	}
	checkResends := func(what string) {
		t.Helper()
		for i := range 2 {
			c.expectReply(what, addresses[i], winner, winnerReply)
			c.expectReply(what, addresses[i+1], loser, loserReply)
		}
		c.checkState(what)
	}
	lostAnswer := applyArgs("lost-answer", c.newestVersion)
	shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
	_, _ = operator.Client{Address: addresses[0]}.Apply(shortCtx, lostAnswer) // the answer is lost, or the request never arrives
	cancel()
	first := c.applyUntilAnswered(addresses[2], lostAnswer)
	is.Equal(first.Kind, errkind.OK)
	is.Equal(first.Version, c.newestVersion+1)
	c.newestVersion, c.newestText = first.Version, lostAnswer.Text
	checkResends("after a lost answer")
	c.mustApplyAndWait(addresses[1], "another")
	checkResends("after another change")
	leader := c.waitThreeVoters("before the restart of the leader")
	is.NoErr(in.KillControl(leader, false))
	is.NoErr(in.StartControl(leader))
	checkResends("after a restart of the leader")
	is.NoErr(in.KillControl(0, true))
	is.NoErr(in.StartControl(0))
	checkResends("after the loss of a disk")
	c.expectReply("after the loss of a disk", in.ControlOperator(0), lostAnswer, first)
}

// TestConfigurationSurvivesRestarts guards against an old configuration that
// returns from a snapshot or log. All control processes restart after hundreds
// of changes, each followed by a conflicting one with a stale base version,
// and with a snapshot taken in between.
func TestConfigurationSurvivesRestarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, in := startInstallation(t, "")
	c := newConfigClient(ctx, t, in)
	defer c.close()
	for i := range *changes {
		id := fmt.Sprintf("change-%d", i)
		c.mustApply(in.ControlOperator(i%3), id)
		stale := c.applyUntilAnswered(in.EntryOperator(i%3), applyArgs("stale-"+id, c.newestVersion-1))
		if stale.Kind != errkind.Conflict || stale.WonChange != id {
			t.Fatalf("stale change after %s: %+v", id, stale)
		}
		if i%50 == 0 {
			c.waitInForce()
		}
	}
	c.waitInForce()
	leader := c.waitThreeVoters("after the changes")
	st := in.ControlStatuses()[leader]
	is.True(st.SnapshotIndex > 0 && st.SnapshotIndex < st.Last) // there is a snapshot and a log after it
	for i := range 3 {
		is.NoErr(in.KillControl(i, false))
	}
	for i := range 3 {
		is.NoErr(in.StartControl(i))
	}
	c.checkState("after the restart of all control processes")
	c.mustApplyAndWait(in.EntryOperator(1), "after the restart")
	c.checkState("after a change that follows the restart")
}

// TestReturningControlRevertsNothing guards against a control host that, after
// its isolation, reverts changes that were accepted meanwhile, and against the
// loss of accepted changes when two hosts lose their disks one after the other.
func TestReturningControlRevertsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, in := startInstallation(t, "")
	c := newConfigClient(ctx, t, in)
	defer c.close()
	for _, isolateLeader := range []bool{false, true} {
		leader := c.waitThreeVoters("before the isolation")
		isolated := leader
		if !isolateLeader {
			isolated = (leader + 1) % 3
		}
		for i := range 3 {
			for _, other := range []string{faulttest.ControlID(i), faulttest.EntryID(i)} {
				in.Network.Cut(faulttest.ControlID(isolated), other)
				in.Network.Cut(other, faulttest.ControlID(isolated))
			}
		}
		for i := range 100 {
			c.mustApply(in.ControlOperator((isolated+1+i%2)%3), fmt.Sprintf("isolated-%t-%d", isolateLeader, i))
		}
		c.waitInForce()
		in.Network.Heal()
		c.checkState("after the return of an isolated host")
		c.mustApplyAndWait(in.ControlOperator(isolated), fmt.Sprintf("returned-%t", isolateLeader))
	}
	for i := range 2 {
		is.NoErr(in.KillControl(i, true))
		c.mustApplyAndWait(in.EntryOperator(0), fmt.Sprintf("disk-%d-lost", i))
		is.NoErr(in.StartControl(i))
		c.waitThreeVoters("after the loss of a disk") // the next disk is lost as soon as there are three voters again
	}
	c.checkState("after the loss of two disks")
	c.mustApplyAndWait(in.EntryOperator(2), "both disks replaced")
}
