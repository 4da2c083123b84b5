package owner_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// TestCommitAcknowledgedOnlyUnderValidLease guards against acknowledging a
// write that a failover may lose. In each case a write is replicated after
// 400 ms, and an event occurs 100 ms after the write was sent. With the
// mechanism disabled, the write must be acknowledged, which shows that the case
// tests the mechanism.
func TestCommitAcknowledgedOnlyUnderValidLease(t *testing.T) {
	lease, majority := owner.Disabled{LeaseAtAnswer: true}, owner.Disabled{Majority: true}
	for _, tc := range []struct {
		name     string
		event    func(r *harness)
		disabled owner.Disabled // mechanism that the case tests; zero if it is not a single one
		want     errkind.Kind
	}{
		{"undisturbed", func(*harness) {}, owner.Disabled{}, errkind.OK},
		{"lease renewed", func(r *harness) { r.grantLease(time.Hour, true, 1) }, owner.Disabled{}, errkind.OK},
		{"no majority", func(r *harness) { r.server.set(func(f *fakeServer) { f.replicationStalled = true }) }, majority, errkind.OutcomeUnknown},
		{"lease expires", func(r *harness) { r.grantLease(200*time.Millisecond, true, 1) }, lease, errkind.OutcomeUnknown},
		{"expired, renewed later", func(r *harness) {
			r.grantLease(100*time.Millisecond, true, 1)
			time.Sleep(200 * time.Millisecond)
			r.grantLease(time.Hour, true, 1)
		}, owner.Disabled{}, errkind.OK},
		{"expired, primary of a later term", func(r *harness) {
			r.grantLease(100*time.Millisecond, true, 1)
			time.Sleep(200 * time.Millisecond)
			r.grantLease(time.Hour, true, 2)
		}, lease, errkind.OutcomeUnknown},
		{"primary role revoked", func(r *harness) { r.revoke(0, 1) }, lease, errkind.OutcomeUnknown},
		{"lease revoked", func(r *harness) { r.revoke(1, 0) }, owner.Disabled{}, errkind.OutcomeUnknown},
		{"no longer primary, finishes in time", func(r *harness) { r.grantLease(time.Hour, false, 2) }, owner.Disabled{}, errkind.OK},
		{"no longer primary, time passes", func(r *harness) { r.grantLease(200*time.Millisecond, true, 1); r.grantLease(time.Hour, false, 2) }, lease, errkind.OutcomeUnknown},
		{"no longer primary, revoked", func(r *harness) { r.grantLease(time.Hour, false, 2); r.revoke(0, 1) }, lease, errkind.OutcomeUnknown},
		{"primary of a later term", func(r *harness) { r.grantLease(200*time.Millisecond, true, 1); r.grantLease(time.Hour, true, 2) }, lease, errkind.OutcomeUnknown},
		{"server fenced", func(r *harness) { r.server.set(func(f *fakeServer) { f.status.Term = 2 }) }, lease, errkind.OutcomeUnknown},
		{"lease not listed, finishes in time", func(r *harness) { r.withdrawLeases() }, owner.Disabled{}, errkind.OK},
		{"lease not listed, time passes", func(r *harness) { r.grantLease(200*time.Millisecond, true, 1); r.withdrawLeases() }, owner.Disabled{}, errkind.OutcomeUnknown},
		{"lease not listed, revoked", func(r *harness) { r.withdrawLeases(); r.revoke(1, 0) }, owner.Disabled{}, errkind.OutcomeUnknown},
		{"revocation waits for the commit", func(r *harness) { time.Sleep(150 * time.Millisecond); r.revoke(0, 1) }, owner.Disabled{}, errkind.OK},
	} {
		for i, disabled := range slices.Compact([]owner.Disabled{{}, tc.disabled}) {
			t.Run(tc.name+[]string{"", ", mechanism off"}[i], func(t *testing.T) {
				runTest(t, owner.Options{Disabled: disabled}, func(t *testing.T, r *harness) {
					is := is.New(t)
					r.server.set(func(f *fakeServer) { f.replicationLag = 400 * time.Millisecond })
					a := r.writeArgs(1, "INSERT a")
					a.Budget = time.Second
					done := r.execAsync(a)
					time.Sleep(100 * time.Millisecond)
					tc.event(r)
					got := <-done
					want := tc.want
					if disabled != (owner.Disabled{}) {
						want = errkind.OK
					}
					is.Equal(got.Kind, want)
					is.Equal(got.Position != logpos.Position{}, want == errkind.OK)
					is.Equal(r.server.runCount("INSERT a"), 1)
				})
			})
		}
	}
}

// TestMajorityCountsGroupMembers guards against a wrong majority: of the wrong
// size, with servers that are not members, or of a group whose members are not
// known.
func TestMajorityCountsGroupMembers(t *testing.T) {
	for _, tc := range []struct {
		members  string // the primary is s1
		replicas string // that have received the write
		want     bool
	}{
		{"s1", "", true},
		{"s1 s2", "", false},
		{"s1 s2", "s2", true},
		{"s1 s2 s3", "", false},
		{"s1 s2 s3", "s3", true},
		{"s1 s2 s3", "s9", false},
		{"s1 s2 s3 s4", "s2", false},
		{"s1 s2 s3 s4", "s2 s2", false},
		{"s1 s2 s3 s4", "s2 s4", true},
		{"s1 s2 s3 s4 s5", "s2", false},
		{"s1 s2 s3 s4 s5", "s2 s5", true},
		{"", "s2 s3", false},
		{"s2 s3", "s2 s3", false},
	} {
		t.Run(tc.members+" have "+tc.replicas, func(t *testing.T) {
			runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				r.state.Groups = map[string]controlrpc.Group{"orders": {Name: "orders", Term: 1, Members: strings.Fields(tc.members)}}
				r.SetState(r.state, r.cfg)
				r.server.set(func(f *fakeServer) { f.replicas = strings.Fields(tc.replicas) })
				a := r.writeArgs(1, "INSERT a")
				a.Budget = 50 * time.Millisecond
				is.Equal(r.exec(a).Kind == errkind.OK, tc.want)
			})
		})
	}
}

// TestRefusedCycleIsNotSent guards against running a refused cycle, and against
// refusing one for the wrong reason.
func TestRefusedCycleIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(r *harness, a *ownerrpc.ExecArgs)
		want    errkind.Kind
	}{
		{"older term", func(r *harness, _ *ownerrpc.ExecArgs) { r.grantLease(time.Hour, true, 2) }, errkind.StaleTerm},
		{"replica", func(r *harness, _ *ownerrpc.ExecArgs) { r.grantLease(time.Hour, false, 1) }, errkind.NoPrimary},
		{"fenced", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.server.set(func(f *fakeServer) { f.status.Term = 2 })
			time.Sleep(200 * time.Millisecond)
		}, errkind.StaleTerm},
		{"expired", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.grantLease(time.Millisecond, true, 1)
			time.Sleep(time.Millisecond)
		}, errkind.NotOwner},
		{"revoked, listed by an older reply", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.revoke(1, 0)
			r.grantLease(time.Hour, true, 1)
		}, errkind.NotOwner},
		{"role revoked, listed by an older reply", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.revoke(0, 1)
			r.grantLease(time.Hour, true, 1)
		}, errkind.NoPrimary},
		{"late reply to an old heartbeat", func(r *harness, _ *ownerrpc.ExecArgs) {
			sent := time.Now()
			time.Sleep(time.Millisecond)
			r.withdrawLeases()
			r.SetLeases(sent, &controlrpc.HeartbeatReply{TTL: time.Hour, Leases: []controlrpc.HeldLease{{Server: "s1", Epoch: 9, Term: 1, Primary: true}}})
		}, errkind.NotOwner},
		{"other server", func(_ *harness, a *ownerrpc.ExecArgs) { a.Server = "s9" }, errkind.NotOwner},
		{"position", func(_ *harness, a *ownerrpc.ExecArgs) { a.RequiredPosition = logpos.Position{Term: 1, LSN: 99} }, errkind.PositionNotReached},
		{"no time left", func(_ *harness, a *ownerrpc.ExecArgs) { a.Budget = -1 }, errkind.DeadlineExceeded},
		{"unreachable", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.server.set(func(f *fakeServer) { f.refuseConns = true; f.unresponsiveUpTo = f.connsOpened })
			time.Sleep(time.Second)
		}, errkind.ConnectFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				a := r.writeArgs(1, "INSERT a")
				tc.prepare(r, a)
				got := r.exec(a)
				is.Equal(got.Kind, tc.want)
				is.Equal(got.Kind.Info().Outcome, errkind.NotRun)
				is.Equal(r.server.runCount("INSERT a"), 0)
			})
		})
	}
}

// TestConnectionLostAfterCommit guards against answering not_run, or sending
// again, when the connection is lost between a commit and its answer.
func TestConnectionLostAfterCommit(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.server.set(func(f *fakeServer) { f.loseCommitAnswer = true })
		is.Equal(r.exec(r.writeArgs(1, "INSERT a")).Kind, errkind.OutcomeUnknown)
		r.begin(t, 2)
		commit := r.writeArgs(2, "COMMIT")
		commit.InTx = true
		is.Equal(r.exec(commit).Kind, errkind.OutcomeUnknown)
		is.Equal(r.server.runCount("INSERT a"), 1)
		is.Equal(r.server.runCount("COMMIT"), 1)
	})
}

// TestPositionWaitHoldsNoSlot guards against reads that wait for a position
// blocking other cycles, and against a read running before its required
// position is applied.
func TestPositionWaitHoldsNoSlot(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		var waiting []<-chan ownerrpc.ExecReply
		for i := range 10 {
			a := r.readArgs(uint64(i+10), "SELECT late")
			a.RequiredPosition = logpos.Position{Term: 1, LSN: 11}
			waiting = append(waiting, r.execAsync(a))
		}
		time.Sleep(time.Millisecond)
		start := time.Now()
		is.Equal(r.exec(r.readArgs(1, "SELECT 1")).Kind, errkind.OK)
		is.Equal(time.Since(start), time.Millisecond) // only the service time
		is.Equal(r.server.runCount("SELECT late"), 0)
		is.Equal(r.exec(r.writeArgs(1, "INSERT a")).Kind, errkind.OK)
		for _, w := range waiting {
			is.Equal((<-w).Kind, errkind.OK)
		}
	})
}

// TestConfirmedPositionIncludesAcknowledgedWrites guards against a confirmed
// position that is before an acknowledged write, and against answering with one
// without a valid lease.
func TestConfirmedPositionIncludesAcknowledgedWrites(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		is.Equal(r.position().Position, logpos.Position{Term: 1, LSN: 10})
		for range 5 {
			got := r.exec(r.writeArgs(1, "INSERT a"))
			is.True(r.position().Position.AtLeast(got.Position))
		}
		r.grantLease(time.Millisecond, true, 1)
		time.Sleep(time.Millisecond)
		is.Equal(r.position().Kind, errkind.NotOwner)
		r.grantLease(time.Hour, true, 2)
		is.Equal(r.position().Kind, errkind.StaleTerm)
	})
}
