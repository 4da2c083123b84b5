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

// inForceLimit is the stated time until a change is in force everywhere.
const inForceLimit = 11 * time.Second

// operators apply changes and watch the versions in force at the entries.
type operators struct {
	t       *testing.T
	ctx     context.Context
	in      *faulttest.Installation
	version uint64 // newest accepted
	text    string
	slowest time.Duration // until in force
	samples int           // written by the sampler
	stop    chan struct{}
	done    sync.WaitGroup
}

func newOperators(ctx context.Context, t *testing.T, in *faulttest.Installation) *operators {
	o := &operators{t: t, ctx: ctx, in: in, version: 1, stop: make(chan struct{})}
	o.done.Go(o.sample)
	return o
}

// sample reads the versions from the state dumps until close.
func (o *operators) sample() {
	var last [3]uint64
	for {
		for i := range last {
			d := o.in.Entry(i).Dump()
			if d.ConfigVersion < last[i] {
				o.t.Errorf("entry %d went from version %d to %d", i, last[i], d.ConfigVersion)
			}
			last[i] = d.ConfigVersion
			o.samples++
		}
		select {
		case <-o.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (o *operators) close() {
	close(o.stop)
	o.done.Wait()
	o.t.Logf("version %d; slowest change was in force everywhere after %s; %d samples of versions", o.version, o.slowest, o.samples)
}

func args(id string, base uint64) *controlrpc.ApplyArgs {
	return &controlrpc.ApplyArgs{ChangeID: id, BaseVersion: base, Operator: "operator of " + id, Text: faulttest.DefaultPolicy + "\n# " + id + "\n"}
}

// send applies at an address until it is answered, as operators do.
func (o *operators) send(address string, a *controlrpc.ApplyArgs) *controlrpc.ApplyReply {
	o.t.Helper()
	var err error
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var reply *controlrpc.ApplyReply
		if reply, err = (operator.Client{Address: address}).Apply(o.ctx, a); err == nil {
			return reply
		}
	}
	o.t.Fatalf("change %s was not answered: %v", a.ChangeID, err)
	return nil
}

// accept applies a change on the newest version and waits until it is in
// force at every entry.
func (o *operators) accept(address, id string) {
	o.t.Helper()
	o.acceptOnly(address, id)
	o.waitInForce()
}

func (o *operators) acceptOnly(address, id string) {
	o.t.Helper()
	a := args(id, o.version)
	reply := o.send(address, a)
	if reply.Kind != errkind.OK || reply.Version != o.version+1 {
		o.t.Fatalf("change %s on version %d: %+v", id, o.version, reply)
	}
	o.version, o.text = reply.Version, a.Text
}

func (o *operators) waitInForce() {
	o.t.Helper()
	began := time.Now()
	for {
		low := o.version
		for i := range 3 {
			low = min(low, o.in.Entry(i).Dump().ConfigVersion)
		}
		if low >= o.version {
			o.slowest = max(o.slowest, time.Since(began))
			return
		}
		if time.Since(began) > inForceLimit {
			o.t.Fatalf("version %d is not in force after %s: an entry has %d", o.version, inForceLimit, low)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// check verifies that the newest accepted configuration is the state.
func (o *operators) check(what string) {
	o.t.Helper()
	is := is.New(o.t)
	o.settle(what)
	reply, err := o.in.State(o.ctx)
	is.NoErr(err)
	if reply.State.ConfigVersion != o.version || reply.State.ConfigText != o.text {
		o.t.Fatalf("%s: version %d with text %q, want %d", what, reply.State.ConfigVersion, reply.State.ConfigText[max(0, len(reply.State.ConfigText)-30):], o.version)
	}
	o.waitInForce()
}

// settle waits until control has a leader and three voters that have caught up.
func (o *operators) settle(what string) int {
	o.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		leader, ok := o.in.Leader()
		if !ok {
			continue
		}
		all := o.in.ControlStatuses()
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
	o.t.Fatalf("%s: control has not three voters after 20 s: %+v", what, o.in.ControlStatuses())
	return 0
}

// expect fails unless a resend gets the first answer.
func (o *operators) expect(what, address string, a *controlrpc.ApplyArgs, want *controlrpc.ApplyReply) {
	o.t.Helper()
	got := o.send(address, a)
	if got.Kind != want.Kind || got.Version != want.Version || got.WonBy != want.WonBy || got.WonChange != want.WonChange {
		o.t.Errorf("%s: resend of %s got %+v, the first answer was %+v", what, a.ChangeID, got, want)
	}
}

// TestConfigurationConflicts guards against two accepted changes with equal
// base versions, and against a resend that gets another answer than the first.
func TestConfigurationConflicts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, in := start(t, "")
	o := newOperators(ctx, t, in)
	defer o.close()
	addresses := []string{in.EntryOperator(0), in.ControlOperator(1), in.EntryOperator(2), in.ControlOperator(0)}
	var winner, loser *controlrpc.ApplyArgs
	var won, lost *controlrpc.ApplyReply
	for round := range 10 {
		pair := []*controlrpc.ApplyArgs{args(fmt.Sprintf("a%d", round), o.version), args(fmt.Sprintf("b%d", round), o.version)}
		replies := make([]*controlrpc.ApplyReply, 2)
		errors := make([]error, 2)
		var both sync.WaitGroup
		for i := range pair {
			both.Go(func() {
				replies[i], errors[i] = operator.Client{Address: addresses[(round+i)%len(addresses)]}.Apply(ctx, pair[i])
			})
		}
		both.Wait()
		is.NoErr(errors[0])
		is.NoErr(errors[1])
		first := 0
		if replies[0].Kind != errkind.OK {
			first = 1
		}
		winner, won, loser, lost = pair[first], replies[first], pair[1-first], replies[1-first]
		is.Equal(won.Kind, errkind.OK) // exactly one wins
		is.Equal(won.Version, o.version+1)
		is.Equal(lost.Kind, errkind.Conflict)
		is.Equal(lost.WonChange, winner.ChangeID) // the conflict names the change
		is.Equal(lost.WonBy, winner.Operator)     // and the operator that won
		is.Equal(lost.Version, won.Version)
		o.version, o.text = won.Version, winner.Text
		o.waitInForce()
	}
	resend := func(what string) {
		t.Helper()
		for i := range 2 {
			o.expect(what, addresses[i], winner, won)
			o.expect(what, addresses[i+1], loser, lost)
		}
		o.check(what)
	}
	lostAnswer := args("lost-answer", o.version)
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	_, _ = operator.Client{Address: addresses[0]}.Apply(short, lostAnswer) // its answer is lost, or it never arrives
	cancel()
	first := o.send(addresses[2], lostAnswer)
	is.Equal(first.Kind, errkind.OK)
	is.Equal(first.Version, o.version+1)
	o.version, o.text = first.Version, lostAnswer.Text
	resend("after a lost answer")
	o.accept(addresses[1], "another")
	resend("after another change")
	leader := o.settle("before the restart of the leader")
	is.NoErr(in.KillControl(leader, false))
	is.NoErr(in.StartControl(leader))
	resend("after a restart of the leader")
	is.NoErr(in.KillControl(0, true))
	is.NoErr(in.StartControl(0))
	resend("after the loss of a disk")
	o.expect("after the loss of a disk", in.ControlOperator(0), lostAnswer, first)
}

// TestConfigurationSurvivesRestarts guards against a configuration that an
// old snapshot or log brings back: after hundreds of changes, with a snapshot
// in between and a stale change after each, all control processes restart.
func TestConfigurationSurvivesRestarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, in := start(t, "")
	o := newOperators(ctx, t, in)
	defer o.close()
	for i := range *changes {
		id := fmt.Sprintf("change-%d", i)
		o.acceptOnly(in.ControlOperator(i%3), id)
		stale := o.send(in.EntryOperator(i%3), args("stale-"+id, o.version-1))
		if stale.Kind != errkind.Conflict || stale.WonChange != id {
			t.Fatalf("stale change after %s: %+v", id, stale)
		}
		if i%50 == 0 {
			o.waitInForce()
		}
	}
	o.waitInForce()
	leader := o.settle("after the changes")
	st := in.ControlStatuses()[leader]
	is.True(st.SnapshotIndex > 0 && st.SnapshotIndex < st.Last) // a snapshot and a log after it
	for i := range 3 {
		is.NoErr(in.KillControl(i, false))
	}
	for i := range 3 {
		is.NoErr(in.StartControl(i))
	}
	o.check("after the restart of all control processes")
	o.accept(in.EntryOperator(1), "after the restart")
	o.check("after a change that follows the restart")
}

// TestReturningControlRevertsNothing guards against a control host that
// brings back what it knows from before its isolation, and against the loss of
// accepted changes when two hosts lose their disks one after the other.
func TestReturningControlRevertsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, in := start(t, "")
	o := newOperators(ctx, t, in)
	defer o.close()
	for _, leads := range []bool{false, true} {
		leader := o.settle("before the isolation")
		isolated := leader
		if !leads {
			isolated = (leader + 1) % 3
		}
		for i := range 3 {
			for _, other := range []string{faulttest.ControlID(i), faulttest.EntryID(i)} {
				in.Network.Cut(faulttest.ControlID(isolated), other)
				in.Network.Cut(other, faulttest.ControlID(isolated))
			}
		}
		for i := range 100 {
			o.acceptOnly(in.ControlOperator((isolated+1+i%2)%3), fmt.Sprintf("isolated-%t-%d", leads, i))
		}
		o.waitInForce()
		in.Network.Heal()
		o.check("after the return of an isolated host")
		o.accept(in.ControlOperator(isolated), fmt.Sprintf("returned-%t", leads))
	}
	for i := range 2 {
		is.NoErr(in.KillControl(i, true))
		o.accept(in.EntryOperator(0), fmt.Sprintf("disk-%d-lost", i))
		is.NoErr(in.StartControl(i))
		o.settle("after the loss of a disk") // the next loss follows at once
	}
	o.check("after the loss of two disks")
	o.accept(in.EntryOperator(2), "both disks replaced")
}
