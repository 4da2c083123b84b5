package gateway_test

import (
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// runWithLapse runs test with a lease that is about to end. lapse lets the lease end, and
// then applies a state and renews the lease, as the reply to the next request does.
func runWithLapse(t *testing.T, test func(is *is.I, group *fakeGroup, g *gateway.Gateway, lapse func(directoryrpc.State))) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		time.Sleep(time.Hour - 500*time.Millisecond)
		test(is, group, g, func(s directoryrpc.State) {
			time.Sleep(600 * time.Millisecond)
			g.SetState(s, config())
			g.RenewLease(clock.Now().Add(time.Hour), 1)
		})
	})
}

// TestTransactionOutlivesLease guards against a transaction that continues, and
// commits, at a primary that may have been superseded while the host had no lease.
func TestTransactionOutlivesLease(t *testing.T) {
	for _, tc := range []struct {
		name       string
		generation uint64
		primary    string
		switching  bool
		commit     errkind.Kind
		committed  int
	}{
		{"the primary is the same", 1, "s1", false, errkind.OK, 1},
		{"another primary", 4, "s2", false, errkind.TransactionLost, 0},
		{"another primary is being replaced", 5, "s2", true, errkind.TransactionLost, 0},
		{"a switchover has begun", 2, "s1", true, errkind.TransactionLost, 0},
		{"the primary was replaced and came back", 7, "s1", false, errkind.TransactionLost, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithLapse(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, lapse func(directoryrpc.State)) {
				c := open(t, g, "urgent")
				defer c.Close()
				c.do(statement.Begin, "BEGIN")
				is.Equal(failureKind(c.write("a")), errkind.OK)
				lapse(group.state(2, tc.generation, tc.primary, tc.switching))
				is.Equal(failureKind(c.do(statement.Commit, "COMMIT")), tc.commit)
				is.Equal(len(group.server("s1").log), tc.committed)
			})
		})
	}
}

// TestStatementOutlivesLease guards against an answer of a primary that may have been
// superseded while the host had no lease.
func TestStatementOutlivesLease(t *testing.T) {
	inTransaction := func(c *caller) {
		c.do(statement.Begin, "BEGIN")
		c.write("a")
	}
	for _, tc := range []struct {
		name    string
		prepare func(c *caller)
		run     func(c *caller) statement.Answer
		outcome errkind.Kind
		receipt string
	}{
		{"write", nil, func(c *caller) statement.Answer { return c.write("b") }, errkind.OutcomeUnknown, ""},
		{"read", nil, func(c *caller) statement.Answer { return c.read("b") }, errkind.OK, "s2/FETCH b"},
		{"read in a transaction", inTransaction, func(c *caller) statement.Answer { return c.read("b") }, errkind.TransactionLost, ""},
		{"commit", inTransaction, func(c *caller) statement.Answer { return c.do(statement.Commit, "COMMIT") }, errkind.OutcomeUnknown, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithLapse(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, lapse func(directoryrpc.State)) {
				c := open(t, g, "urgent")
				defer c.Close()
				if tc.prepare != nil {
					tc.prepare(c)
				}
				group.update(func() { group.server("s1").serviceTime = 700 * time.Millisecond })
				done := make(chan statement.Answer)
				go func() { done <- tc.run(c) }()
				lapse(group.state(2, 4, "s2", false))
				a := <-done
				is.Equal(failureKind(a), tc.outcome)
				is.Equal(a.Receipt, tc.receipt)
			})
		})
	}
}

// TestLeaseEndsDuringTransaction guards against a read of a transaction that is
// answered by the primary after the lease has ended.
func TestLeaseEndsDuringTransaction(t *testing.T) {
	runWithLapse(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, _ func(directoryrpc.State)) {
		c := open(t, g, "urgent")
		defer c.Close()
		c.do(statement.Begin, "BEGIN")
		is.Equal(failureKind(c.write("a")), errkind.OK)
		group.update(func() { group.server("s1").serviceTime = 700 * time.Millisecond })
		is.Equal(failureKind(c.read("b")), errkind.TransactionLost)
	})
}

// TestQueuedStatementOutlivesLease guards against a statement that waits in the queue of
// a primary and is sent to it after another primary was named.
func TestQueuedStatementOutlivesLease(t *testing.T) {
	runWithLapse(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, lapse func(directoryrpc.State)) {
		c := open(t, g, "urgent")
		defer c.Close()
		is.Equal(failureKind(c.read("warm")), errkind.OK)
		group.update(func() { group.server("s1").serviceTime = 700 * time.Millisecond })
		blocked := make(chan statement.Answer, 3)
		for range 3 { // as many as s1 has slots
			other := open(t, g, "urgent")
			defer other.Close()
			go func() { blocked <- other.write("other") }()
		}
		time.Sleep(time.Millisecond)
		done := make(chan statement.Answer)
		go func() { done <- c.write("a") }()
		time.Sleep(time.Millisecond)
		group.update(func() { group.server("s2").role, group.server("s2").term = statement.Primary, 2 })
		lapse(group.state(2, 4, "s2", false))
		a := <-done
		is.Equal(failureKind(a), errkind.OK)
		is.Equal(a.Receipt, "s2/STORE a x")
		is.Equal(group.countExecuted("s1: STORE a"), 0)
		for range 3 {
			is.Equal(failureKind(<-blocked), errkind.OutcomeUnknown)
		}
	})
}

// TestGroupWithoutServers guards against a transaction that outlives its primary because
// the host does not look at a group whose servers have all left for a moment.
func TestGroupWithoutServers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		states  func(group *fakeGroup) []directoryrpc.State
		release bool
	}{
		{"a switchover begins meanwhile", func(group *fakeGroup) []directoryrpc.State {
			return []directoryrpc.State{withoutServers(group.state(2, 2, "s1", true))}
		}, true},
		{"another primary is named meanwhile", func(group *fakeGroup) []directoryrpc.State {
			return []directoryrpc.State{withoutServers(group.state(2, 4, "s2", false)), group.state(3, 4, "s2", false)}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
				c := open(t, g, "urgent")
				defer c.Close()
				c.do(statement.Begin, "BEGIN")
				is.Equal(failureKind(c.write("a")), errkind.OK)
				for _, s := range tc.states(group) {
					g.SetState(s, config())
				}
				if tc.release {
					g.Release()
				}
				is.Equal(failureKind(c.do(statement.Commit, "COMMIT")), errkind.TransactionLost)
				is.Equal(len(group.server("s1").log), 0)
			})
		})
	}
}

// withoutServers returns a state without its servers.
func withoutServers(s directoryrpc.State) directoryrpc.State {
	s.Servers = nil
	return s
}
