package gateway_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// TestReleaseReportsAcknowledgedWrites guards against the confirmation of a switchover
// without the position of a write that was acknowledged: the directory could then
// promote a server that lacks it.
func TestReleaseReportsAcknowledgedWrites(t *testing.T) {
	is := is.New(t)
	for range 40 {
		group := newFakeGroup()
		group.server("s1").serviceTime = 0
		g := gateway.New(gateway.Options{Connect: group.connect})
		g.SetState(group.state(1, 1, "s1", false), config())
		g.RenewLease(clock.Now().Add(time.Hour), 1)
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		var acknowledged logpos.Position
		var writers sync.WaitGroup
		for range 16 {
			c := open(t, g, "notes")
			writers.Go(func() {
				defer c.Close()
				for {
					a := c.Execute(ctx, statement.Request{Kind: statement.Write, ID: "q", Text: "STORE a x"})
					if failureKind(a) != errkind.OK {
						return
					}
					mu.Lock()
					acknowledged = acknowledged.Max(a.Position)
					mu.Unlock()
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		g.SetState(group.state(2, 2, "s1", true), config())
		g.Release()
		reported := g.SwitchingReports()[0].Position
		cancel()
		writers.Wait()
		g.Close()
		is.True(reported.AtLeast(acknowledged)) // the confirmation covers every acknowledged write
	}
}
