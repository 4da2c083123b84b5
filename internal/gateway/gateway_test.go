package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestReadsOfSession guards against a read that misses a commit of its session,
// and against reads that go to the primary although a replica has everything.
func TestReadsOfSession(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c := open(t, g, "notes")
		defer c.Close()
		is.Equal(kind(c.write("a")), errkind.OK)
		w.change(func() { w.server("s2").lag, w.server("s3").lag = 1, 1 })
		is.True(strings.HasPrefix(c.read("a").Receipt, "s1/")) // the replicas lag
		w.change(func() { w.server("s2").lag, w.server("s3").lag = 0, 0 })
		time.Sleep(time.Second)
		is.Equal(kind(c.write("b")), errkind.OK)
		is.True(strings.HasPrefix(c.read("b").Receipt, "s2/")) // the near replica
	})
}

// TestBoundedReads guards against a read that misses a commit older than the
// accepted age, also when nothing was heard of the primary for a while.
func TestBoundedReads(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		writer, reader := open(t, g, "notes"), open(t, g, "bounded")
		defer writer.Close()
		defer reader.Close()
		is.Equal(kind(writer.write("a")), errkind.OK)
		w.change(func() { w.server("s2").lag, w.server("s3").lag = 1, 1 })
		is.True(strings.HasPrefix(reader.read("a").Receipt, "s1/"))
		time.Sleep(2 * time.Second) // no sample is young enough any more
		is.True(strings.HasPrefix(reader.read("a").Receipt, "s1/"))
		w.change(func() { w.server("s2").lag = 0 })
		time.Sleep(time.Second)
		is.True(strings.HasPrefix(reader.read("a").Receipt, "s2/"))
	})
}

// TestNoLease guards against the use of a primary by a host that may have
// missed its successor.
func TestNoLease(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(kind(c.read("a")), errkind.OK)
		time.Sleep(time.Hour)
		before := len(w.ran)
		is.Equal(kind(c.read("a")), errkind.ConfigStale)
		is.Equal(kind(c.write("a")), errkind.ConfigStale)
		is.Equal(len(w.ran), before)
		is.True(!g.Ready())
		_, err := g.Open(t.Context(), "nothing")
		is.Equal(errkind.Of(err), errkind.ConfigStale) // a host that is not sure denies no database
		g.Renew(clock.Now().Add(time.Second), 1)
		is.Equal(kind(c.read("a")), errkind.OK)
		_, err = g.Open(t.Context(), "nothing")
		is.Equal(errkind.Of(err), errkind.UnknownGroup)
	})
}

// TestLeaseEndsDuringWrite guards against an acknowledgement that is given
// after the lease has run out.
func TestLeaseEndsDuringWrite(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		time.Sleep(time.Hour - 5*time.Millisecond)
		is.Equal(kind(c.write("a")), errkind.OutcomeUnknown)
		is.Equal(w.count("STORE a"), 1)
	})
}

// TestLostAnswers guards against a write that runs twice or is denied although
// it ran, and against a read that fails although another server has the answer.
func TestLostAnswers(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c := open(t, g, "notes")
		defer c.Close()
		is.Equal(kind(c.write("warm")), errkind.OK)
		w.change(func() { w.server("s1").lose = 1 })
		is.Equal(kind(c.write("a")), errkind.OutcomeUnknown)
		is.Equal(w.count("STORE a"), 1)
		w.change(func() { w.server("s2").lose = 1 })
		is.Equal(kind(c.read("a")), errkind.OK)
	})
}

// TestRefusedByServer guards against a statement that is given up although the
// server only had no room for it.
func TestRefusedByServer(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		w.change(func() { w.server("s1").busy = 3 })
		is.Equal(kind(c.write("a")), errkind.OK)
		is.Equal(w.count("STORE a"), 1)
	})
}

// TestSwitch guards against statements at a primary that is being changed, and
// against an end of the wait before the successor is named.
func TestSwitch(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(kind(c.write("a")), errkind.OK)
		g.SetState(w.state(2, 2, "s1", true), config())
		g.Release()
		before := w.count("s1: ")
		done := make(chan statement.Answer)
		go func() { done <- c.write("b") }()
		time.Sleep(300 * time.Millisecond)
		w.change(func() {
			w.server("s1").role, w.server("s2").role, w.server("s2").term = statement.Replica, statement.Primary, 2
		})
		g.SetState(w.state(3, 3, "s2", false), config())
		a := <-done
		is.Equal(kind(a), errkind.OK)
		is.True(strings.HasPrefix(a.Receipt, "s2/"))
		is.Equal(w.count("s1: "), before)
	})
}

// TestReleaseWaits guards against a release that cuts off a statement in
// progress, and against an answer of the old primary after the release.
func TestReleaseWaits(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c, slow := open(t, g, "urgent"), open(t, g, "urgent")
		defer c.Close()
		defer slow.Close()
		is.Equal(kind(c.read("warm")), errkind.OK)
		w.change(func() { w.server("s1").work = 500 * time.Millisecond })
		done := make(chan statement.Answer, 2)
		go func() { done <- c.write("a") }()
		time.Sleep(100 * time.Millisecond)
		g.SetState(w.state(2, 2, "s1", true), config())
		g.Release()
		is.Equal(kind(<-done), errkind.OK) // it had the time to end

		g.SetState(w.state(3, 3, "s1", false), config())
		w.change(func() { w.server("s1").work = 790 * time.Millisecond; w.server("s1").silent = true })
		go func() { done <- slow.write("b") }()
		time.Sleep(790 * time.Millisecond)
		g.SetState(w.state(4, 4, "s1", true), config())
		g.Release()
		is.Equal(kind(<-done), errkind.OutcomeUnknown) // it was sent
	})
}

// TestTransactions guards against statements of two transactions on one
// connection, against a success of a COMMIT that no server confirmed, and
// against a transaction that is open for ever.
func TestTransactions(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c, d := open(t, g, "urgent"), open(t, g, "urgent")
		defer c.Close()
		defer d.Close()
		is.Equal(c.do(statement.Begin, "BEGIN").State, statement.Open)
		is.Equal(kind(c.write("a")), errkind.OK)
		is.Equal(d.do(statement.Begin, "BEGIN").State, statement.Open)
		is.Equal(kind(d.write("b")), errkind.OK)
		a := c.do(statement.Commit, "COMMIT")
		is.Equal(a.State, statement.Idle)
		is.True(a.Receipt != "")
		is.Equal(w.server("s1").log, []string{"STORE a x"})
		is.Equal(d.do(statement.Rollback, "ROLLBACK").State, statement.Idle)
		is.Equal(kind(d.do(statement.Commit, "COMMIT")), errkind.BadRequest) // nothing is open

		is.Equal(c.do(statement.Begin, "BEGIN").State, statement.Open)
		is.Equal(kind(c.write("c")), errkind.OK)
		time.Sleep(4 * time.Second) // longer than TransactionIdle
		is.Equal(c.read("c").State, statement.Failed)
		is.Equal(kind(c.do(statement.Commit, "COMMIT")), errkind.TransactionLost)
		is.Equal(len(w.server("s1").log), 1)
	})
}

// TestLostCommit guards against "nothing is kept" for a COMMIT that was sent.
func TestLostCommit(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(c.do(statement.Begin, "BEGIN").State, statement.Open)
		is.Equal(kind(c.write("a")), errkind.OK)
		w.change(func() { w.server("s1").lose = 1 })
		a := c.do(statement.Commit, "COMMIT")
		is.Equal(kind(a), errkind.OutcomeUnknown)
		is.Equal(a.State, statement.Idle)
		is.Equal(c.do(statement.Begin, "BEGIN").State, statement.Open)
		w.change(func() { w.server("s1").lose = 1 })
		a = c.write("b")
		is.Equal(kind(a), errkind.TransactionLost) // no COMMIT was sent, so nothing is kept
		is.Equal(a.State, statement.Failed)
	})
}

// TestSessionValues guards against values or prepared statements of another
// session on a shared connection.
func TestSessionValues(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c, d := open(t, g, "urgent"), open(t, g, "urgent")
		defer c.Close()
		defer d.Close()
		set := func(s *caller, name, value string) {
			is.Equal(kind(s.Execute(t.Context(), statement.Request{Kind: statement.Set, Name: name, Value: value})), errkind.OK)
		}
		set(c, "tz", "dublin")
		is.Equal(kind(c.read("a")), errkind.OK)
		is.Equal(kind(d.read("b")), errkind.OK)
		set(d, "lang", "fr")
		is.Equal(kind(d.read("c")), errkind.OK)
		is.Equal(kind(c.read("d")), errkind.OK)
		is.Equal(w.ran, []string{"s1: FETCH a map[tz:dublin]", "s1: FETCH b map[]", "s1: FETCH c map[lang:fr]", "s1: FETCH d map[tz:dublin]"})

		prepare := func(s *caller, shape string) {
			is.Equal(kind(s.Execute(t.Context(), statement.Request{Kind: statement.Prepare, Name: "p", Value: shape, ReadOnly: true})), errkind.OK)
		}
		run := func(s *caller, args string) errkind.Kind {
			return kind(s.Execute(t.Context(), statement.Request{Kind: statement.Execute, ID: "x", Name: "p", Value: args}))
		}
		prepare(c, "one")
		prepare(d, "two")
		is.Equal(run(c, "k1"), errkind.OK)
		is.Equal(run(d, "k2"), errkind.OK)
		is.Equal(kind(d.Execute(t.Context(), statement.Request{Kind: statement.Deallocate, Name: "p"})), errkind.OK)
		is.Equal(run(d, "k3"), errkind.BadRequest)
	})
}

// TestCrowdWithoutSample guards against a crowd of reads at the primary when a
// host has just started: one of them makes the sample that the others need.
func TestCrowdWithoutSample(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		done := make(chan statement.Answer, 60)
		for range cap(done) {
			c := open(t, g, "bounded")
			defer c.Close()
			go func() { done <- c.read("a") }()
		}
		for range cap(done) {
			is.Equal(kind(<-done), errkind.OK)
		}
		is.True(w.count("s1: ") < 20)
	})
}

// TestLostAnswerOfBusyServer guards against a server that loses all connections
// of a host because one answer did not come: each new one takes a slot.
func TestLostAnswerOfBusyServer(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		callers := make([]*caller, 3)
		done := make(chan statement.Answer, 3)
		round := func() {
			for _, c := range callers {
				go func() { done <- c.read("a") }()
			}
			for range callers {
				is.Equal(kind(<-done), errkind.OK)
			}
		}
		for i := range callers {
			callers[i] = open(t, g, "urgent")
			defer callers[i].Close()
		}
		round()
		before := w.dials
		w.change(func() { w.server("s1").lose = 1 })
		is.Equal(kind(callers[0].read("a")), errkind.OK)
		round()
		is.Equal(w.dials, before+1)
	})
}

// TestDeparture guards against new work at a server that leaves service.
func TestDeparture(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c := open(t, g, "bounded")
		defer c.Close()
		is.Equal(kind(c.read("a")), errkind.OK)
		s := w.state(2, 1, "s1", false)
		leaving := s.Servers["s2"]
		leaving.Draining = true
		s.Servers["s2"] = leaving
		g.SetState(s, config())
		before := w.count("s2: ")
		for range 20 {
			is.Equal(kind(c.read("a")), errkind.OK)
		}
		is.Equal(w.count("s2: "), before)
	})
}

// TestSilentPrimary guards against a report that comes only when the timeout of
// a statement has passed.
func TestSilentPrimary(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(kind(c.read("a")), errkind.OK)
		w.change(func() { w.server("s1").silent = true })
		go c.write("a")
		select {
		case <-g.Alarm():
		case <-time.After(750 * time.Millisecond):
			t.Error("no alarm")
		}
		r := g.Reports()
		is.Equal(len(r), 1)
		is.True(r[0].Failing > 0)
		time.Sleep(time.Second)
	})
}
