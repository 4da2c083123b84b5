package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestSessionLimits guards against sessions whose values and prepared statements take
// memory without limit, and against texts that are kept after the last session that used
// them has ended.
func TestSessionLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := newFakeGroup()
		memory := limit.NewBudget(limit.BudgetOptions{MemoryMB: 16}) // 4 MiB, half of it for values
		g := gateway.New(gateway.Options{Connect: group.connect, Memory: memory, SessionLimits: limit.StateLimits{MaxNames: 4, MaxBytes: 1 << 20}})
		defer g.Close()
		g.SetState(group.state(1, 1, "s1", false), config())
		g.RenewLease(clock.Now().Add(time.Hour), 1)
		set := func(c *caller, kind statement.Kind, name, value string) errkind.Kind {
			return failureKind(c.Execute(context.Background(), statement.Request{Kind: kind, ID: "q", Name: name, Value: value}))
		}
		c := open(t, g, "notes")
		for i := range 4 {
			is.Equal(set(c, statement.Set, fmt.Sprint(i), "v"), errkind.OK)
		}
		is.Equal(set(c, statement.Prepare, "p", "text"), errkind.Overloaded) // names
		is.Equal(set(c, statement.Set, "0", "w"), errkind.OK)                // replaces a value
		is.Equal(set(c, statement.Set, "0", strings.Repeat("x", 1<<20)), errkind.Overloaded)
		is.Equal(failureKind(c.read("a")), errkind.OK) // the session goes on
		c.Close()
		is.Equal(memory.Used(), int64(len("text"))) // the unused text of the refused statement

		// Sessions with the same text share it; other texts stay only within their bound.
		same := strings.Repeat("s", 900<<10)
		first, second := open(t, g, "notes"), open(t, g, "notes")
		is.Equal(set(first, statement.Prepare, "p", same), errkind.OK)
		is.Equal(set(second, statement.Prepare, "p", same), errkind.OK)
		is.True(memory.Used() < 1<<20)
		is.Equal(set(first, statement.Prepare, "p", strings.Repeat("t", 900<<10)), errkind.OK)
		is.Equal(set(first, statement.Prepare, "q", "other"), errkind.OK)
		third := open(t, g, "notes")
		is.Equal(set(third, statement.Prepare, "p", strings.Repeat("u", 900<<10)), errkind.Overloaded) // the share of values
		first.Close()
		second.Close()
		is.True(memory.Used() <= 1<<20) // unused texts
		is.Equal(set(third, statement.Prepare, "p", same), errkind.OK)
		third.Close()
		is.True(memory.Used() <= 1<<20)
	})
}
