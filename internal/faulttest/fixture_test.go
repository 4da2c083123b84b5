package faulttest_test

import (
	"context"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/arbutusring/arbutusring/internal/testlog"
	"github.com/matryer/is"
)

const (
	// failoverLimit is the documented limit for the duration of a failover.
	failoverLimit = 8 * time.Second
	// statementDeadline is the deadline in faulttest.DefaultPolicy.
	statementDeadline = 3 * time.Second
)

// startInstallation starts an installation that is closed at the end of the
// test.
func startInstallation(t *testing.T, policy string) (context.Context, *faulttest.Installation) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Second)
	t.Cleanup(cancel)
	in, err := faulttest.Start(ctx, faulttest.Options{
		Folder: t.TempDir(), Policy: policy, Logger: testlog.New(t).Logger("all"),
		Standin: standin.Options{ReplicationDelay: 5 * time.Millisecond, ServiceTime: time.Millisecond, LockTimeout: time.Second},
	})
	is.New(t).NoErr(err)
	t.Cleanup(in.Close)
	return ctx, in
}

// mixedKinds are the kinds of a mixed load: a writer, a reader, a session with
// transactions of 200 ms and one with request ids.
var mixedKinds = []faulttest.OpKind{faulttest.OpAppend, faulttest.OpRead, faulttest.OpTransaction, faulttest.OpIdempotent}

// startLoad starts one session of each kind at each entry.
func startLoad(ctx context.Context, t *testing.T, in *faulttest.Installation, name string, kinds ...faulttest.OpKind) *faulttest.Load {
	t.Helper()
	var sessions []faulttest.LoadSession
	for _, kind := range kinds {
		for i := range 3 {
			sessions = append(sessions, faulttest.LoadSession{DSN: in.CallerDSN(i), Kind: kind, Hold: 200 * time.Millisecond})
		}
	}
	l, err := faulttest.StartLoad(ctx, name, sessions)
	is.New(t).NoErr(err)
	return l
}

// sessionEntry returns the number of the entry to which the session of op is
// connected; startLoad assigns them.
func sessionEntry(op faulttest.Op) int { return op.Session % 3 }

// stopLoad stops the load, repairs the faults, checks the history against the
// final values, and returns the history.
func stopLoad(ctx context.Context, t *testing.T, in *faulttest.Installation, l *faulttest.Load, repair func() error) []faulttest.Op {
	t.Helper()
	ops := l.Stop()
	if err := repair(); err != nil {
		t.Fatal(err)
	}
	finalCtx, cancel := context.WithTimeout(ctx, 2*failoverLimit)
	defer cancel()
	final, err := l.Final(finalCtx, in.CallerDSN(0))
	is.New(t).NoErr(err)
	for n, f := range faulttest.Check(ops, final) {
		if n < 5 {
			t.Error(f)
		}
	}
	return ops
}

// expectNoOps fails the test if wrong reports true for any operation.
func expectNoOps(t *testing.T, what string, ops []faulttest.Op, wrong func(op faulttest.Op) bool) {
	t.Helper()
	n := 0
	for _, op := range ops {
		if wrong(op) {
			if n++; n <= 5 {
				t.Errorf("%s: session %d at entry %d, %s [%s, %s] %s: %s", what, op.Session, sessionEntry(op), op.Kind, op.Start, op.End, op.Outcome, op.Detail)
			}
		}
	}
	if n > 5 {
		t.Errorf("%s: %d operations in total", what, n)
	}
}

func outcomeCounts(ops []faulttest.Op) map[faulttest.Outcome]int {
	m := make(map[faulttest.Outcome]int)
	for _, op := range ops {
		m[op.Outcome]++
	}
	return m
}
