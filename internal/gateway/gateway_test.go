package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// TestSessionReads guards against a read that misses a commit of its own session,
// and against reads at the primary although a replica has caught up.
func TestSessionReads(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "notes")
		defer c.Close()
		is.Equal(failureKind(c.write("a")), errkind.OK)
		group.update(func() { group.server("s2").unapplied, group.server("s3").unapplied = 1, 1 })
		is.True(strings.HasPrefix(c.read("a").Receipt, "s1/")) // the replicas lag
		group.update(func() { group.server("s2").unapplied, group.server("s3").unapplied = 0, 0 })
		time.Sleep(time.Second)
		is.Equal(failureKind(c.write("b")), errkind.OK)
		is.True(strings.HasPrefix(c.read("b").Receipt, "s2/")) // the nearest replica
	})
}

// TestBoundedReads guards against a read that misses a commit older than the
// maximum staleness, also when the primary has not answered for a while.
func TestBoundedReads(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		writer, reader := open(t, g, "notes"), open(t, g, "bounded")
		defer writer.Close()
		defer reader.Close()
		is.Equal(failureKind(writer.write("a")), errkind.OK)
		group.update(func() { group.server("s2").unapplied, group.server("s3").unapplied = 1, 1 })
		is.True(strings.HasPrefix(reader.read("a").Receipt, "s1/"))
		time.Sleep(2 * time.Second) // no sample is recent enough
		is.True(strings.HasPrefix(reader.read("a").Receipt, "s1/"))
		group.update(func() { group.server("s2").unapplied = 0 })
		time.Sleep(time.Second)
		is.True(strings.HasPrefix(reader.read("a").Receipt, "s2/"))
	})
}

// TestExpiredLease guards against the use of a primary by a host without a lease,
// which may not know that the primary was replaced.
func TestExpiredLease(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(failureKind(c.read("a")), errkind.OK)
		time.Sleep(time.Hour)
		before := len(group.executed)
		is.Equal(failureKind(c.read("a")), errkind.ConfigStale)
		is.Equal(failureKind(c.write("a")), errkind.ConfigStale)
		is.Equal(len(group.executed), before)
		is.True(!g.Ready())
		_, err := g.Open(t.Context(), "nothing", "")
		is.Equal(errkind.Of(err), errkind.ConfigStale) // without a lease, the database may exist
		g.RenewLease(clock.Now().Add(time.Second), 1)
		is.Equal(failureKind(c.read("a")), errkind.OK)
		_, err = g.Open(t.Context(), "nothing", "")
		is.Equal(errkind.Of(err), errkind.UnknownGroup)
	})
}

// TestLeaseExpiresDuringWrite guards against a write that is acknowledged after
// the lease has expired.
func TestLeaseExpiresDuringWrite(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		time.Sleep(time.Hour - 5*time.Millisecond)
		is.Equal(failureKind(c.write("a")), errkind.OutcomeUnknown)
		is.Equal(group.countExecuted("STORE a"), 1)
	})
}

// TestLostAnswers guards against a write that runs twice or is reported as not run
// although it ran, and against a read that fails although another server can
// answer it.
func TestLostAnswers(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "notes")
		defer c.Close()
		is.Equal(failureKind(c.write("warm")), errkind.OK)
		group.update(func() { group.server("s1").lostAnswers = 1 })
		is.Equal(failureKind(c.write("a")), errkind.OutcomeUnknown)
		is.Equal(group.countExecuted("STORE a"), 1)
		group.update(func() { group.server("s2").lostAnswers = 1 })
		is.Equal(failureKind(c.read("a")), errkind.OK)
	})
}

// TestBusyServer guards against a statement that is not retried after the server
// refused it as overloaded.
func TestBusyServer(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		group.update(func() { group.server("s1").busyRefusals = 3 })
		is.Equal(failureKind(c.write("a")), errkind.OK)
		is.Equal(group.countExecuted("STORE a"), 1)
	})
}

// TestPrimarySwitch guards against statements sent to a primary that is being
// replaced, and against waiting statements that fail before the directory
// announces the new primary.
func TestPrimarySwitch(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(failureKind(c.write("a")), errkind.OK)
		g.SetState(group.state(2, 2, "s1", true), config())
		g.Release()
		before := group.countExecuted("s1: ")
		done := make(chan statement.Answer)
		go func() { done <- c.write("b") }()
		time.Sleep(300 * time.Millisecond)
		group.update(func() {
			group.server("s1").role, group.server("s2").role, group.server("s2").term = statement.Replica, statement.Primary, 2
		})
		g.SetState(group.state(3, 3, "s2", false), config())
		a := <-done
		is.Equal(failureKind(a), errkind.OK)
		is.True(strings.HasPrefix(a.Receipt, "s2/"))
		is.Equal(group.countExecuted("s1: "), before)
	})
}

// TestReleaseWaitsForStatements guards against a release that aborts a statement
// that could still end in time, and against an answer of the old primary that is
// returned after the release.
func TestReleaseWaitsForStatements(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c, slow := open(t, g, "urgent"), open(t, g, "urgent")
		defer c.Close()
		defer slow.Close()
		is.Equal(failureKind(c.read("warm")), errkind.OK)
		group.update(func() { group.server("s1").serviceTime = 500 * time.Millisecond })
		done := make(chan statement.Answer, 2)
		go func() { done <- c.write("a") }()
		time.Sleep(100 * time.Millisecond)
		g.SetState(group.state(2, 2, "s1", true), config())
		g.Release()
		is.Equal(failureKind(<-done), errkind.OK) // it ended within the grace period

		g.SetState(group.state(3, 3, "s1", false), config())
		group.update(func() {
			group.server("s1").serviceTime = 790 * time.Millisecond
			group.server("s1").unresponsive = true
		})
		go func() { done <- slow.write("b") }()
		time.Sleep(790 * time.Millisecond)
		g.SetState(group.state(4, 4, "s1", true), config())
		g.Release()
		is.Equal(failureKind(<-done), errkind.OutcomeUnknown) // it was sent but not answered
	})
}

// TestTransactions guards against statements of two transactions on one
// connection, against a successful COMMIT that no server confirmed, and against a
// transaction that stays open forever.
func TestTransactions(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c, d := open(t, g, "urgent"), open(t, g, "urgent")
		defer c.Close()
		defer d.Close()
		is.Equal(c.do(statement.Begin, "BEGIN").State, statement.Open)
		is.Equal(failureKind(c.write("a")), errkind.OK)
		is.Equal(d.do(statement.Begin, "BEGIN").State, statement.Open)
		is.Equal(failureKind(d.write("b")), errkind.OK)
		a := c.do(statement.Commit, "COMMIT")
		is.Equal(a.State, statement.Idle)
		is.True(a.Receipt != "")
		is.Equal(group.server("s1").log, []string{"STORE a x"})
		is.Equal(d.do(statement.Rollback, "ROLLBACK").State, statement.Idle)
		is.Equal(failureKind(d.do(statement.Commit, "COMMIT")), errkind.BadRequest) // no transaction is open

		is.Equal(c.do(statement.Begin, "BEGIN").State, statement.Open)
		is.Equal(failureKind(c.write("c")), errkind.OK)
		time.Sleep(4 * time.Second) // longer than TransactionIdle
		is.Equal(c.read("c").State, statement.Failed)
		is.Equal(failureKind(c.do(statement.Commit, "COMMIT")), errkind.TransactionLost)
		is.Equal(len(group.server("s1").log), 1)
	})
}

// TestLostCommit guards against reporting a transaction as rolled back although
// its COMMIT was sent.
func TestLostCommit(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(c.do(statement.Begin, "BEGIN").State, statement.Open)
		is.Equal(failureKind(c.write("a")), errkind.OK)
		group.update(func() { group.server("s1").lostAnswers = 1 })
		a := c.do(statement.Commit, "COMMIT")
		is.Equal(failureKind(a), errkind.OutcomeUnknown)
		is.Equal(a.State, statement.Idle)
		is.Equal(c.do(statement.Begin, "BEGIN").State, statement.Open)
		group.update(func() { group.server("s1").lostAnswers = 1 })
		a = c.write("b")
		is.Equal(failureKind(a), errkind.TransactionLost) // no COMMIT was sent, so the transaction has no effect
		is.Equal(a.State, statement.Failed)
	})
}

// TestSessionState guards against settings or prepared statements of another
// session on a shared connection.
func TestSessionState(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c, d := open(t, g, "urgent"), open(t, g, "urgent")
		defer c.Close()
		defer d.Close()
		set := func(s *caller, name, value string) {
			is.Equal(failureKind(s.Execute(t.Context(), statement.Request{Kind: statement.Set, Name: name, Value: value})), errkind.OK)
		}
		set(c, "tz", "dublin")
		is.Equal(failureKind(c.read("a")), errkind.OK)
		is.Equal(failureKind(d.read("b")), errkind.OK)
		set(d, "lang", "fr")
		is.Equal(failureKind(d.read("c")), errkind.OK)
		is.Equal(failureKind(c.read("d")), errkind.OK)
		is.Equal(group.executed, []string{"s1: FETCH a map[tz:dublin]", "s1: FETCH b map[]", "s1: FETCH c map[lang:fr]", "s1: FETCH d map[tz:dublin]"})

		prepare := func(s *caller, text string) {
			is.Equal(failureKind(s.Execute(t.Context(), statement.Request{Kind: statement.Prepare, Name: "p", Value: text, ReadOnly: true})), errkind.OK)
		}
		run := func(s *caller, args string) errkind.Kind {
			return failureKind(s.Execute(t.Context(), statement.Request{Kind: statement.Execute, ID: "x", Name: "p", Value: args}))
		}
		prepare(c, "one")
		prepare(d, "two")
		is.Equal(run(c, "k1"), errkind.OK)
		is.Equal(run(d, "k2"), errkind.OK)
		is.Equal(failureKind(d.Execute(t.Context(), statement.Request{Kind: statement.Deallocate, Name: "p"})), errkind.OK)
		is.Equal(run(d, "k3"), errkind.BadRequest)
	})
}

// TestConcurrentReadsWithoutSample guards against all reads going to the primary
// when a host has just started: one of them provides the sample that the others
// need.
func TestConcurrentReadsWithoutSample(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		done := make(chan statement.Answer, 60)
		for range cap(done) {
			c := open(t, g, "bounded")
			defer c.Close()
			go func() { done <- c.read("a") }()
		}
		for range cap(done) {
			is.Equal(failureKind(<-done), errkind.OK)
		}
		is.True(group.countExecuted("s1: ") < 20)
	})
}

// TestLostAnswerKeepsConnections guards against closing all connections to a busy
// server because one answer was lost: each new connection occupies a slot.
func TestLostAnswerKeepsConnections(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		callers := make([]*caller, 3)
		done := make(chan statement.Answer, 3)
		round := func() {
			for _, c := range callers {
				go func() { done <- c.read("a") }()
			}
			for range callers {
				is.Equal(failureKind(<-done), errkind.OK)
			}
		}
		for i := range callers {
			callers[i] = open(t, g, "urgent")
			defer callers[i].Close()
		}
		round()
		before := group.openedConns
		group.update(func() { group.server("s1").lostAnswers = 1 })
		is.Equal(failureKind(callers[0].read("a")), errkind.OK)
		round()
		is.Equal(group.openedConns, before+1)
	})
}

// TestDrainingServer guards against new work at a server that is draining.
func TestDrainingServer(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "bounded")
		defer c.Close()
		is.Equal(failureKind(c.read("a")), errkind.OK)
		s := group.state(2, 1, "s1", false)
		draining := s.Servers["s2"]
		draining.Draining = true
		s.Servers["s2"] = draining
		g.SetState(s, config())
		before := group.countExecuted("s2: ")
		for range 20 {
			is.Equal(failureKind(c.read("a")), errkind.OK)
		}
		is.Equal(group.countExecuted("s2: "), before)
	})
}

// TestServerChangesGroup guards against statements of one group on connections that
// were opened for another one, when a server appears in another group without a
// restart.
func TestServerChangesGroup(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "bounded")
		defer c.Close()
		for range 6 {
			is.Equal(failureKind(c.read("a")), errkind.OK)
		}
		s := group.state(2, 1, "s1", false)
		moved := s.Servers["s2"]
		moved.Group = "other"
		s.Servers["s2"] = moved
		g.SetState(s, config())
		for _, m := range g.Dump().Members {
			if m.Server == "s2" {
				is.Equal(m.Open, 0) // no connection of the former group is left
				is.Equal(m.Group, "other")
			}
		}
	})
}

// TestReportsOfManyFailingPrimaries guards against requests that grow with the number
// of primaries that fail, as after a power loss, and against a change of a primary
// that waits because the report on its group is left out.
func TestReportsOfManyFailingPrimaries(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		s, cfg := group.state(2, 1, "s1", false), config()
		for i := range 300 {
			name := fmt.Sprint("group", i)
			id := "server of " + name
			s.Servers[id] = directoryrpc.Server{ID: id, Group: name, Address: id, DataCentre: "d1", Slots: 3}
			s.Groups[name] = directoryrpc.Group{Name: name, Primary: id, Generation: 2, Switching: i == 299}
			cfg.Databases[name] = database.Database{Name: name, Group: name, Consistency: database.Primary, StatementTimeout: 800 * time.Millisecond}
			group.servers[id] = &fakeServer{id: id, down: true, connLimit: 10, slots: make(chan struct{}, 1)}
		}
		g.SetState(s, cfg)
		for i := range 299 {
			c := open(t, g, fmt.Sprint("group", i))
			go c.write("a")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		reports := g.NeededReports([]string{"group298"})
		is.Equal(len(reports), 66)                                                                             // 64 that fail, one that is asked for and one that is switching
		is.True(slices.ContainsFunc(reports, func(r directoryrpc.Report) bool { return r.Group == "group0" })) // fails for longest
		is.True(slices.ContainsFunc(reports, func(r directoryrpc.Report) bool { return r.Group == "group298" }))
		is.True(slices.ContainsFunc(reports, func(r directoryrpc.Report) bool { return r.Group == "group299" }))
		time.Sleep(time.Second)
	})
}

// TestNeededReports guards against requests to control that grow with the number of
// groups, and against a group that control needs and that is left out.
func TestNeededReports(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(failureKind(c.write("a")), errkind.OK)
		is.Equal(len(g.NeededReports(nil)), 0)
		asked := g.NeededReports([]string{"g"})
		is.Equal(len(asked), 1)
		is.True(asked[0].LastAnswerAge > 0)
		is.Equal(len(g.Reports()), 1)
		g.SetState(group.state(2, 2, "s1", true), config())
		for _, switching := range [][]directoryrpc.Report{g.NeededReports(nil), g.SwitchingReports()} {
			is.Equal(len(switching), 1)
			is.Equal(switching[0].Position, logpos.Position{Term: 1, LSN: 1})
		}
	})
}

// TestUnresponsivePrimary guards against reporting an unresponsive primary only
// after the statement timeout has passed.
func TestUnresponsivePrimary(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(failureKind(c.read("a")), errkind.OK)
		group.update(func() { group.server("s1").unresponsive = true })
		go c.write("a")
		select {
		case <-g.PrimaryFailing():
		case <-time.After(750 * time.Millisecond):
			t.Error("the unresponsive primary was not signalled")
		}
		r := g.Reports()
		is.Equal(len(r), 1)
		is.True(r[0].FailingFor > 0)
		time.Sleep(time.Second)
	})
}
