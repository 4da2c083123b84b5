package main_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/matryer/is"
)

// TestPausedOwnerLosesNoAcknowledgedWrite guards against an owner that is paused
// for longer than its lease and then acknowledges writes under the expired
// lease: every acknowledged write, through the paused and through the other
// entries, must be present exactly once.
func TestPausedOwnerLosesNoAcknowledgedWrite(t *testing.T) {
	disturbOwner(t, func(in *installation, owner string) {
		is := is.New(t)
		is.NoErr(in.procs[owner].Process.Signal(syscall.SIGSTOP))
		time.Sleep(4 * time.Second)
		is.NoErr(in.procs[owner].Process.Signal(syscall.SIGCONT))
	})
}

// TestKilledOwnerReportsNoWrongOutcome guards against a write that is answered as
// not run although it committed, when its owner is killed with commits in
// progress.
func TestKilledOwnerReportsNoWrongOutcome(t *testing.T) {
	disturbOwner(t, func(in *installation, owner string) {
		in.kill(owner)
		time.Sleep(4 * time.Second)
	})
}

// disturbOwner calls disturb with the owner of the primary while sessions write
// through all entries, and checks the history of operations.
func disturbOwner(t *testing.T, disturb func(in *installation, owner string)) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	is := is.New(t)
	in := newInstallation(t, 3, 3)
	in.waitUntil("first write", func(ctx context.Context) error {
		_, err := in.write(ctx, 1, "k", "v")
		return err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	primary := in.primary()
	reply, err := operator.Client{Address: in.operators[1]}.State(ctx)
	is.NoErr(err)
	owner := reply.State.Leases[primary].Host
	var sessions []faulttest.LoadSession
	for _, kind := range []faulttest.OpKind{faulttest.OpAppend, faulttest.OpIdempotent} {
		for _, c := range in.callers {
			sessions = append(sessions, faulttest.LoadSession{DSN: "postgres://caller@" + c + "/orders?sslmode=disable", Kind: kind})
		}
	}
	survivor := sessions[0].DSN
	if owner == "entry-0" {
		survivor = sessions[1].DSN
	}
	load, err := faulttest.StartLoad(ctx, "pause", sessions)
	is.NoErr(err)
	time.Sleep(time.Second)
	disturb(in, owner)
	time.Sleep(time.Second)
	ops := load.Stop()
	final, err := load.Final(ctx, survivor)
	is.NoErr(err)
	for _, f := range faulttest.Check(ops, final) {
		t.Error(f)
	}
	gap, _ := faulttest.LongestGap(ops)
	t.Logf("owner %s; %d operations, longest gap in writes %s", owner, len(ops), gap)
}
