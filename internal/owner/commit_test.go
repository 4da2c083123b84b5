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

// TestCommitIsAcknowledgedOnlyByRightOwner guards against acknowledging a
// write that a failover may lose. In each case a write is replicated after
// 400 ms and something happens after 100 ms. With the mechanism off, the same
// case must be acknowledged, which shows that the case tests the mechanism.
func TestCommitIsAcknowledgedOnlyByRightOwner(t *testing.T) {
	lease, majority := owner.Disabled{LeaseAtAnswer: true}, owner.Disabled{Majority: true}
	for _, tc := range []struct {
		name string
		act  func(r *harness)
		off  owner.Disabled // zero if no single mechanism stands for the case
		want errkind.Kind
	}{
		{"undisturbed", func(*harness) {}, owner.Disabled{}, errkind.OK},
		{"lease renewed", func(r *harness) { r.lease(time.Hour, true, 1) }, owner.Disabled{}, errkind.OK},
		{"no majority", func(r *harness) { r.server.set(func(f *fakeServer) { f.stalled = true }) }, majority, errkind.OutcomeUnknown},
		{"lease expires", func(r *harness) { r.lease(200*time.Millisecond, true, 1) }, lease, errkind.OutcomeUnknown},
		{"expired, renewed later", func(r *harness) {
			r.lease(100*time.Millisecond, true, 1)
			time.Sleep(200 * time.Millisecond)
			r.lease(time.Hour, true, 1)
		}, owner.Disabled{}, errkind.OK},
		{"primary role revoked", func(r *harness) { r.revoke(0, 1) }, lease, errkind.OutcomeUnknown},
		{"lease revoked", func(r *harness) { r.revoke(1, 0) }, owner.Disabled{}, errkind.OutcomeUnknown},
		{"no longer primary, finishes in time", func(r *harness) { r.lease(time.Hour, false, 2) }, owner.Disabled{}, errkind.OK},
		{"no longer primary, time passes", func(r *harness) { r.lease(200*time.Millisecond, true, 1); r.lease(time.Hour, false, 2) }, lease, errkind.OutcomeUnknown},
		{"no longer primary, revoked", func(r *harness) { r.lease(time.Hour, false, 2); r.revoke(0, 1) }, lease, errkind.OutcomeUnknown},
		{"primary of a later term", func(r *harness) { r.lease(200*time.Millisecond, true, 1); r.lease(time.Hour, true, 2) }, lease, errkind.OutcomeUnknown},
		{"server fenced", func(r *harness) { r.server.set(func(f *fakeServer) { f.status.Term = 2 }) }, lease, errkind.OutcomeUnknown},
		{"lease not listed, finishes in time", func(r *harness) { r.unlist() }, owner.Disabled{}, errkind.OK},
		{"lease not listed, time passes", func(r *harness) { r.lease(200*time.Millisecond, true, 1); r.unlist() }, owner.Disabled{}, errkind.OutcomeUnknown},
		{"lease not listed, revoked", func(r *harness) { r.unlist(); r.revoke(1, 0) }, owner.Disabled{}, errkind.OutcomeUnknown},
		{"revocation waits for the commit", func(r *harness) { time.Sleep(150 * time.Millisecond); r.revoke(0, 1) }, owner.Disabled{}, errkind.OK},
	} {
		for i, off := range slices.Compact([]owner.Disabled{{}, tc.off}) {
			t.Run(tc.name+[]string{"", ", mechanism off"}[i], func(t *testing.T) {
				run(t, owner.Options{Disabled: off}, func(t *testing.T, r *harness) {
					is := is.New(t)
					r.server.set(func(f *fakeServer) { f.lag = 400 * time.Millisecond })
					a := r.args(1, "INSERT a")
					a.Budget = time.Second
					done := r.start(a)
					time.Sleep(100 * time.Millisecond)
					tc.act(r)
					got := <-done
					want := tc.want
					if off != (owner.Disabled{}) {
						want = errkind.OK
					}
					is.Equal(got.Kind, want)
					is.Equal(got.Position != logpos.Position{}, want == errkind.OK)
					is.Equal(r.server.times("INSERT a"), 1)
				})
			})
		}
	}
}

// TestMajorityCountsMembers guards against a wrong majority: of the wrong
// size, of servers outside of the group, or of a group that is not known.
func TestMajorityCountsMembers(t *testing.T) {
	for _, tc := range []struct {
		members  string // the primary is s1
		replicas string // that have the write
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
			run(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				r.state.Groups = map[string]controlrpc.Group{"orders": {Name: "orders", Term: 1, Members: strings.Fields(tc.members)}}
				r.SetState(r.state, r.cfg)
				r.server.set(func(f *fakeServer) { f.replicas = strings.Fields(tc.replicas) })
				a := r.args(1, "INSERT a")
				a.Budget = 50 * time.Millisecond
				is.Equal(r.exec(a).Kind == errkind.OK, tc.want)
			})
		})
	}
}

// TestRefusedBeforeSending guards against running a cycle that was refused,
// and against refusing for the wrong reason.
func TestRefusedBeforeSending(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  func(r *harness, a *ownerrpc.ExecArgs)
		want errkind.Kind
	}{
		{"older term", func(r *harness, _ *ownerrpc.ExecArgs) { r.lease(time.Hour, true, 2) }, errkind.StaleTerm},
		{"replica", func(r *harness, _ *ownerrpc.ExecArgs) { r.lease(time.Hour, false, 1) }, errkind.NoPrimary},
		{"fenced", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.server.set(func(f *fakeServer) { f.status.Term = 2 })
			time.Sleep(200 * time.Millisecond)
		}, errkind.StaleTerm},
		{"expired", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.lease(time.Millisecond, true, 1)
			time.Sleep(time.Millisecond)
		}, errkind.NotOwner},
		{"revoked, listed by an older reply", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.revoke(1, 0)
			r.lease(time.Hour, true, 1)
		}, errkind.NotOwner},
		{"role revoked, listed by an older reply", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.revoke(0, 1)
			r.lease(time.Hour, true, 1)
		}, errkind.NoPrimary},
		{"late reply to an old heartbeat", func(r *harness, _ *ownerrpc.ExecArgs) {
			sent := time.Now()
			time.Sleep(time.Millisecond)
			r.unlist()
			r.SetLeases(sent, &controlrpc.HeartbeatReply{TTL: time.Hour, Leases: []controlrpc.HeldLease{{Server: "s1", Epoch: 9, Term: 1, Primary: true}}})
		}, errkind.NotOwner},
		{"other server", func(_ *harness, a *ownerrpc.ExecArgs) { a.Server = "s9" }, errkind.NotOwner},
		{"position", func(_ *harness, a *ownerrpc.ExecArgs) { a.Require = logpos.Position{Term: 1, LSN: 99} }, errkind.PositionNotReached},
		{"no time left", func(_ *harness, a *ownerrpc.ExecArgs) { a.Budget = -1 }, errkind.DeadlineExceeded},
		{"unreachable", func(r *harness, _ *ownerrpc.ExecArgs) {
			r.server.set(func(f *fakeServer) { f.down = true; f.silentOld = f.conns })
			time.Sleep(time.Second)
		}, errkind.ConnectFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				a := r.args(1, "INSERT a")
				tc.act(r, a)
				got := r.exec(a)
				is.Equal(got.Kind, tc.want)
				is.Equal(got.Kind.Info().Outcome, errkind.NotRun)
				is.Equal(r.server.times("INSERT a"), 0)
			})
		})
	}
}

// TestConnectionLostAfterCommit guards against answering not_run, or sending
// again, when the connection is lost between a commit and its answer.
func TestConnectionLostAfterCommit(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.server.set(func(f *fakeServer) { f.cutCommit = true })
		is.Equal(r.exec(r.args(1, "INSERT a")).Kind, errkind.OutcomeUnknown)
		r.begin(t, 2)
		commit := r.args(2, "COMMIT")
		commit.InTx = true
		is.Equal(r.exec(commit).Kind, errkind.OutcomeUnknown)
		is.Equal(r.server.times("INSERT a"), 1)
		is.Equal(r.server.times("COMMIT"), 1)
	})
}

// TestPositionWaitHoldsNoSlot guards against readers of a lagging server
// blocking others, and against a read before the position is applied.
func TestPositionWaitHoldsNoSlot(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		var waiting []<-chan ownerrpc.ExecReply
		for i := range 10 {
			a := r.read(uint64(i+10), "SELECT late")
			a.Require = logpos.Position{Term: 1, LSN: 11}
			waiting = append(waiting, r.start(a))
		}
		time.Sleep(time.Millisecond)
		start := time.Now()
		is.Equal(r.exec(r.read(1, "SELECT 1")).Kind, errkind.OK)
		is.Equal(time.Since(start), time.Millisecond) // the service time alone
		is.Equal(r.server.times("SELECT late"), 0)
		is.Equal(r.exec(r.args(1, "INSERT a")).Kind, errkind.OK)
		for _, w := range waiting {
			is.Equal((<-w).Kind, errkind.OK)
		}
	})
}

// TestPositionCoversAcknowledgedWrites guards against a confirmed position
// before an acknowledged write, and against one without a valid lease.
func TestPositionCoversAcknowledgedWrites(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		is.Equal(r.position().Position, logpos.Position{Term: 1, LSN: 10})
		for range 5 {
			got := r.exec(r.args(1, "INSERT a"))
			is.True(r.position().Position.Covers(got.Position))
		}
		r.lease(time.Millisecond, true, 1)
		time.Sleep(time.Millisecond)
		is.Equal(r.position().Kind, errkind.NotOwner)
		r.lease(time.Hour, true, 2)
		is.Equal(r.position().Kind, errkind.StaleTerm)
	})
}
