package gateway_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// configApplyTime is how long an accepted configuration may take to be in force.
const configApplyTime = 4 * time.Second

// withRanks returns a configuration that also has a database for each rank, named
// after it.
func withRanks(ranks ...int) *database.Config {
	cfg := config()
	for _, rank := range ranks {
		db := cfg.Databases["urgent"]
		db.Name, db.Rank = fmt.Sprint("rank ", rank), rank
		cfg.Databases[db.Name] = db
	}
	return cfg
}

// TestLargeRanks guards against a host that hangs after an accepted configuration with
// a large rank number, or with many of them.
func TestLargeRanks(t *testing.T) {
	many := make([]int, 10_000)
	for i := range many {
		many[i] = 3 + 7*i
	}
	for _, tc := range []struct {
		name  string
		ranks []int
	}{
		{"one large number", []int{65535}},
		{"many numbers", many},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			group := newFakeGroup()
			g := gateway.New(gateway.Options{Connect: group.connect})
			defer g.Close()
			g.SetState(group.state(1, 1, "s1", false), config())
			g.RenewLease(clock.Now().Add(time.Hour), 1)
			begun := time.Now()
			for version := range uint64(3) {
				g.SetState(group.state(2+version, 1, "s1", false), withRanks(tc.ranks...))
			}
			is.True(time.Since(begun) < configApplyTime)
			c := open(t, g, fmt.Sprint("rank ", tc.ranks[len(tc.ranks)-1]))
			defer c.Close()
			is.Equal(failureKind(c.write("a")), errkind.OK)
		})
	}
}

// TestOrderOfLargeRanks guards against an order of waiting statements that depends on
// the size of the rank numbers and not only on their order.
func TestOrderOfLargeRanks(t *testing.T) {
	is := is.New(t)
	small := executionOrder(t, 0, 1, 2, 3)
	is.Equal(len(small), 12)
	is.Equal(executionOrder(t, 0, 9, 70_000, 1<<40), small)
	is.Equal(executionOrder(t, 5, 6, 7, 1<<62), small)
}

// executionOrder returns the order in which a server runs three statements of each of
// the given ranks, as indexes of ranks. The least urgent ones arrive first.
func executionOrder(t *testing.T, ranks ...int) (order []int) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		cfg := withRanks(ranks...)
		for _, name := range []string{"urgent", "bounded", "notes"} {
			delete(cfg.Databases, name)
		}
		g.SetState(group.state(2, 1, "s1", false), cfg)
		g.RenewLease(clock.Now().Add(time.Hour), 9) // with nine hosts, one statement at a time
		group.update(func() { group.server("s1").serviceTime = 20 * time.Millisecond })
		var done sync.WaitGroup
		for _, rank := range slices.Backward(slices.Repeat(ranks, 3)) {
			c := open(t, g, fmt.Sprint("rank ", rank))
			done.Go(func() {
				defer c.Close()
				is.Equal(failureKind(c.write(fmt.Sprint(slices.Index(ranks, rank)))), errkind.OK)
			})
			synctest.Wait()
		}
		done.Wait()
		for _, executed := range group.executed {
			var index int
			_, err := fmt.Sscanf(executed, "s1: STORE %d x", &index)
			is.NoErr(err)
			order = append(order, index)
		}
	})
	return order
}

// TestSlotComesWithConnection guards against a statement that opens another connection
// because it got the slot of the one before it, but not yet its connection: it took longer,
// which changed the order of ranks and cost service in overload.
func TestSlotComesWithConnection(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		g.RenewLease(clock.Now().Add(time.Hour), 9) // with nine hosts, one statement at a time
		group.update(func() { group.server("s1").serviceTime = time.Millisecond })
		for range 40 {
			var done sync.WaitGroup
			for i := range 10 {
				c := open(t, g, "urgent")
				done.Go(func() {
					defer c.Close()
					is.Equal(failureKind(c.write(fmt.Sprint(i))), errkind.OK)
				})
			}
			done.Wait()
		}
		group.update(func() { is.Equal(group.server("s1").openConns, 1) })
	})
}
