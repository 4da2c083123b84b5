package limit_test

import (
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/matryer/is"
)

// conn is a connection that records why it was closed.
type conn struct {
	name   string
	member limit.Member
}

// guarded is a guard whose aborted connections are removed at once.
type guarded struct {
	*limit.Guard[*conn]
	budget  *limit.Budget
	aborted []string
}

var address = netip.MustParseAddr("127.0.0.1")

func newGuard(l limit.Limits) *guarded {
	g := &guarded{budget: limit.NewBudget(limit.BudgetOptions{MemoryMB: 4})}
	g.Guard = limit.NewGuard(limit.GuardOptions[*conn]{
		Limits: l, Budget: g.budget,
		Member: func(c *conn) *limit.Member { return &c.member },
		Abort: func(c *conn, r limit.Reason) {
			g.aborted = append(g.aborted, c.name+" "+r.String())
			g.Remove(c, address)
		},
	})
	return g
}

func (g *guarded) open(name string) (*conn, limit.Reason) {
	c := &conn{name: name}
	r, _ := g.Add(c, address)
	c.member.Open()
	return c, r
}

// TestConnectionLimits guards against connections without a session, or sessions without
// a statement, that lock out new callers, and against new ones that end sessions in use.
func TestConnectionLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGuard(limit.Limits{MaxConnections: 4})
		g.StartChecks()
		defer g.Close()
		session := func(name string) *conn {
			time.Sleep(time.Millisecond) // sessions have an order
			c, r := g.open(name)
			is.Equal(r, limit.None)
			g.Start(c)
			return c
		}
		g.Use(session("a"))
		b := session("b")
		_, _ = g.open("c")
		_, _ = g.open("d")
		_ = session("e")
		is.Equal(g.aborted, []string{"c unused"}) // the oldest without a session
		_ = session("f")
		is.Equal(g.aborted[1:], []string{"d unused"})
		_, r := g.open("g")
		is.Equal(r, limit.TooManyConnections) // the sessions are young
		time.Sleep(3 * time.Second)
		_ = session("h")
		is.Equal(g.aborted[2:], []string{"f unused"}) // the newest that is old enough
		_ = session("i")
		is.Equal(g.aborted[3:], []string{"e unused"})
		g.Use(b)
		time.Sleep(3 * time.Second)
		_, _ = g.open("j")
		is.Equal(g.aborted[4:], []string{"i unused"})
		is.Equal(g.Len(), 4)
	})
	is := is.New(t)
	per := newGuard(limit.Limits{MaxPerAddress: 1})
	x, _ := per.open("x")
	_, r := per.open("y")
	is.Equal(r, limit.TooManyPerAddress)
	per.Remove(x, address)
	_, r = per.open("y")
	is.Equal(r, limit.None)
}

// TestReclaim guards against a crowd with incomplete messages that leaves no memory for
// whole ones.
func TestReclaim(t *testing.T) {
	is := is.New(t)
	g := newGuard(limit.Limits{})
	for _, name := range []string{"old", "new", "small"} {
		c, _ := g.open(name)
		g.Start(c)
		is.True(g.Take(c, map[bool]int64{true: 400 << 10, false: 20 << 10}[name != "small"]))
		c.member.Incomplete(true)
		time.Sleep(time.Millisecond)
	}
	c, _ := g.open("whole")
	g.Start(c)
	is.True(g.Take(c, 300<<10))
	is.Equal(g.aborted, []string{"new evicted"})
	is.True(!g.Take(c, 2<<20)) // nobody holds that much
	g.Remove(c, address)
	is.Equal(g.budget.Used(), int64(420<<10))
}

// TestTimeLimits guards against callers that stop half-way in the start-up, in a message
// or in an answer, and against the end of idle sessions.
func TestTimeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGuard(limit.Limits{StartupTimeout: 10 * time.Second, MessageTimeout: 20 * time.Second, WriteTimeout: 30 * time.Second})
		g.StartChecks()
		defer g.Close()
		_, _ = g.open("start")
		var sessions []*conn
		for _, name := range []string{"idle", "message", "answer", "progress"} {
			c, _ := g.open(name)
			g.Start(c)
			sessions = append(sessions, c)
		}
		sessions[1].member.Incomplete(true)
		sessions[2].member.AddUnsent(100)
		sessions[3].member.AddUnsent(100)
		for range 9 {
			time.Sleep(10 * time.Second)
			sessions[3].member.AddUnsent(-1)
		}
		synctest.Wait()
		is.Equal(slices.Clone(g.aborted), []string{"start startup_timeout", "message message_timeout", "answer write_timeout"})
	})
}
