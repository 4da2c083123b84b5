package faulttest_test

import (
	"context"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/matryer/is"
)

const (
	// failoverLimit is the stated limit of a change of the primary.
	failoverLimit = 8 * time.Second
	// statementDeadline is that of faulttest.DefaultPolicy.
	statementDeadline = 3 * time.Second
)

// start starts an installation that ends with the test.
func start(t *testing.T, policy string) (context.Context, *faulttest.Installation) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Second)
	t.Cleanup(cancel)
	in, err := faulttest.Start(ctx, faulttest.Options{
		Folder: t.TempDir(), Policy: policy,
		Standin: standin.Options{ReplicationDelay: 5 * time.Millisecond, ServiceTime: time.Millisecond, LockTimeout: time.Second},
	})
	is.New(t).NoErr(err)
	t.Cleanup(in.Close)
	return ctx, in
}

// mixed is a writer, a reader, a session with transactions of 200 ms and one
// with request ids.
var mixed = []faulttest.OpKind{faulttest.OpAppend, faulttest.OpRead, faulttest.OpTransaction, faulttest.OpIdempotent}

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

// sessionEntry returns the entry of a session of startLoad.
func sessionEntry(op faulttest.Op) int { return op.Session % 3 }

// stopLoad stops the load, repairs, and checks the history with what is there.
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

// reportOps fails the test for operations that are wrong.
func reportOps(t *testing.T, what string, ops []faulttest.Op, wrong func(op faulttest.Op) bool) {
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

func counts(ops []faulttest.Op) map[faulttest.Outcome]int {
	m := make(map[faulttest.Outcome]int)
	for _, op := range ops {
		m[op.Outcome]++
	}
	return m
}
