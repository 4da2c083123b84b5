package owner_test

import (
	"context"
	"testing"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// instantConn answers cycles immediately and without allocations, so that the
// benchmark measures the owner alone.
type instantConn struct {
	*fakeConn
	answer backend.Answer
}

func (c *instantConn) Relay(context.Context, []byte, int) (backend.Answer, error) {
	return c.answer, nil
}

func (c *instantConn) RelayCommit(context.Context, []byte, int) (backend.Answer, logpos.Position, error) {
	return c.answer, logpos.Position{Term: 1, LSN: 1}, nil
}

func BenchmarkExec(b *testing.B) {
	b.Run("read", func(b *testing.B) { benchmarkExec(b, false) })
	b.Run("write", func(b *testing.B) { benchmarkExec(b, true) })
}

func benchmarkExec(b *testing.B, write bool) {
	r := newHarness(b, owner.Options{Limits: owner.Limits{OutcomeRecords: 1 << 24}})
	fake := &fakeConn{server: r.server, number: 1, status: 'I', closed: make(chan struct{})}
	conn := &instantConn{fake, fake.answer("SELECT 1", "1", "")}
	r.server.newConn = func() owner.Conn { return conn }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	a := r.readArgs(1, "SELECT 1")
	a.Write, a.Repeatable = write, !write
	if got := r.exec(a); got.Kind != "" {
		b.Fatal(got.Kind, got.Detail)
	}
	b.ReportAllocs()
	for b.Loop() {
		a.ID.Number++
		if got := r.exec(a); got.Kind != "" {
			b.Fatal(got.Kind, got.Detail)
		}
	}
}
