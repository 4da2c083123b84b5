package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

type gatewayConfig = database.Config

// configure puts a changed copy of the configuration into force and renews the lease.
type configure func(change func(c *gatewayConfig))

// customerKeys returns customers from pairs of name and key.
func customerKeys(pairs ...string) map[string]database.Customer {
	customers := make(map[string]database.Customer)
	for i := 0; i < len(pairs); i += 2 {
		c := customers[pairs[i]]
		c.Name, c.Keys = pairs[i], append(c.Keys, database.DigestOf(pairs[i+1]))
		customers[pairs[i]] = c
	}
	return customers
}

// runWithCustomers runs a test with a lease of 2.2 s and the customers acme, with the key
// k1, and bolt, with the key k2.
func runWithCustomers(t *testing.T, test func(is *is.I, group *fakeGroup, g *gateway.Gateway, cfg configure)) {
	synctest.Test(t, func(t *testing.T) {
		group := newFakeGroup()
		g := gateway.New(gateway.Options{
			Connect: group.connect, Admit: group.admit,
			Place: gateway.Place{DataCentre: "d2", Regions: map[string]string{"d1": "r1", "d2": "r2", "d3": "r3"}},
		})
		defer g.Close()
		version := uint64(0)
		cfg := func(change func(c *gatewayConfig)) {
			version++
			c := config()
			c.Version, c.Customers = version, customerKeys("acme", "k1", "bolt", "k2")
			db := c.Databases["bounded"]
			db.MaxStaleness = time.Minute // so that reads go to replicas, which need no lease for others
			c.Databases["bounded"] = db
			change(c)
			g.SetState(group.state(version, 1, "s1", false), c)
			g.RenewLease(clock.Now().Add(2200*time.Millisecond), 1)
		}
		cfg(func(*gatewayConfig) {})
		test(is.New(t), group, g, cfg)
	})
}

func openWithKey(t *testing.T, g *gateway.Gateway, name, key string) *caller {
	t.Helper()
	s, err := g.Open(context.Background(), name, key)
	if err != nil {
		t.Fatal(err)
	}
	return &caller{Session: s}
}

// statements are one of each kind. EXECUTE runs a statement prepared as "p".
var statements = []statement.Request{
	{Kind: statement.Set, Name: "a", Value: "1"},
	{Kind: statement.Prepare, Name: "q", Value: "x"},
	{Kind: statement.Deallocate, Name: "q"},
	{Kind: statement.Begin, Text: "BEGIN"},
	{Kind: statement.Commit, Text: "COMMIT"},
	{Kind: statement.Rollback},
	{Kind: statement.Read, Text: "FETCH late"},
	{Kind: statement.Write, Text: "STORE late x"},
	{Kind: statement.Execute, Name: "p", Value: "late"},
}

func withoutKeys(c *gatewayConfig) { c.Customers = customerKeys("bolt", "k2") }

// TestWithdrawnKey guards against a statement that runs, or changes the session, under a
// key that was withdrawn or whose state the host can't know, on an idle session and in an
// open transaction, which must not keep its connection.
func TestWithdrawnKey(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(c *gatewayConfig)
		silent time.Duration // of control, afterwards
		want   errkind.Kind
	}{
		{"withdrawn", withoutKeys, 500 * time.Millisecond, errkind.Denied},
		{"no customers are left", func(c *gatewayConfig) { c.Customers = nil }, 500 * time.Millisecond, errkind.Denied},
		{"given to another customer", func(c *gatewayConfig) { c.Customers = customerKeys("bolt", "k1") }, 500 * time.Millisecond, errkind.Denied},
		{"cut off", func(*gatewayConfig) {}, 2300 * time.Millisecond, errkind.ConfigStale},
		{"withdrawn, then cut off", withoutKeys, 2300 * time.Millisecond, errkind.ConfigStale}, // it may have been added again
	} {
		for _, inTransaction := range []bool{false, true} {
			for _, name := range []string{"urgent", "bounded"} {
				for _, r := range statements {
					t.Run(tc.name, func(t *testing.T) {
						runWithCustomers(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, cfg configure) {
							c := openWithKey(t, g, name, "k1")
							defer c.Close()
							is.Equal(failureKind(c.Execute(context.Background(), statement.Request{Kind: statement.Prepare, Name: "p"})), errkind.OK)
							if inTransaction {
								is.Equal(failureKind(c.Execute(context.Background(), statement.Request{Kind: statement.Begin, Text: "BEGIN READ", ReadOnly: name == "bounded"})), errkind.OK)
							}
							is.Equal(failureKind(c.read("early")), errkind.OK)
							cfg(tc.change)
							time.Sleep(tc.silent)
							is.True(tc.name == "cut off" || group.openTransactions() == 0)
							r.ID = "q"
							is.Equal(failureKind(c.Execute(context.Background(), r)), tc.want) // r
							is.Equal(group.countExecuted("late")+group.countExecuted("COMMIT"), 0)
						})
					})
				}
			}
		}
	}
}

// TestSuspendedBeforeSend guards against a statement that is sent although the lease ran
// out after it was checked: the host was suspended while it prepared the connection.
func TestSuspendedBeforeSend(t *testing.T) {
	for _, renewed := range []bool{false, true} {
		for _, inTransaction := range []bool{false, true} {
			for _, name := range []string{"urgent", "bounded"} {
				for _, r := range statements[6:] {
					runWithCustomers(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, cfg configure) {
						c := openWithKey(t, g, name, "k1")
						defer c.Close()
						c.Execute(context.Background(), statement.Request{Kind: statement.Prepare, Name: "p", ReadOnly: name == "bounded"})
						if inTransaction {
							c.Execute(context.Background(), statement.Request{Kind: statement.Begin, Text: "BEGIN", ReadOnly: name == "bounded"})
						}
						is.Equal(failureKind(c.read("early")), errkind.OK)
						c.Execute(context.Background(), statement.Request{Kind: statement.Set, Name: "a", Value: "1"})
						time.Sleep(2 * time.Second)
						group.update(func() {
							group.adapting = func() {
								time.Sleep(300 * time.Millisecond)
								if renewed {
									cfg(withoutKeys)
								}
							}
						})
						r.ID = "q"
						a := c.Execute(context.Background(), r)
						is.True(a.Failure != nil)
						is.Equal(a.Failure.Kind.Info().Outcome, errkind.NotRun)
						is.True(!renewed || a.Failure.Kind == errkind.Denied)
						is.Equal(group.countExecuted("late"), 0)
					})
				}
			}
		}
	}
}

// TestSuspendedBeforeFirstUse is TestSuspendedBeforeSend for what precedes the statement
// on a connection: the session's values, and BEGIN.
func TestSuspendedBeforeFirstUse(t *testing.T) {
	runWithCustomers(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, cfg configure) {
		suspend := func() { time.Sleep(300 * time.Millisecond) }
		c := openWithKey(t, g, "urgent", "k1")
		defer c.Close()
		c.Execute(context.Background(), statement.Request{Kind: statement.Set, Name: "a", Value: "1"})
		time.Sleep(2 * time.Second)
		group.connecting = suspend
		is.Equal(failureKind(c.write("late")), errkind.ConfigStale)
		is.Equal(group.adapted, 0)
		cfg(func(*gatewayConfig) {})
		r := openWithKey(t, g, "bounded", "k1")
		defer r.Close()
		is.Equal(failureKind(r.read("early")), errkind.OK)
		r.Execute(context.Background(), statement.Request{Kind: statement.Begin, Text: "BEGIN", ReadOnly: true})
		r.Execute(context.Background(), statement.Request{Kind: statement.Set, Name: "a", Value: "2"})
		time.Sleep(2 * time.Second)
		group.adapting = suspend
		is.Equal(failureKind(r.read("late")), errkind.ConfigStale)
		is.Equal(group.begun, 0)
	})
}

// TestKeyReturns guards against a session, or a caller, that stays refused after its key
// was added again, and against a transaction that goes on.
func TestKeyReturns(t *testing.T) {
	runWithCustomers(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, cfg configure) {
		idle, busy := openWithKey(t, g, "urgent", "k1"), openWithKey(t, g, "urgent", "k1")
		defer idle.Close()
		defer busy.Close()
		busy.do(statement.Begin, "BEGIN")
		is.Equal(failureKind(busy.write("a")), errkind.OK)
		cfg(withoutKeys)
		time.Sleep(200 * time.Millisecond)
		_, err := g.Open(context.Background(), "urgent", "k1")
		is.Equal(errkind.Of(err), errkind.Denied)
		cfg(func(*gatewayConfig) {})
		is.Equal(failureKind(idle.write("b")), errkind.OK)
		is.Equal(failureKind(busy.do(statement.Commit, "COMMIT")), errkind.TransactionLost)
		is.Equal(len(group.server("s1").log), 1)
		openWithKey(t, g, "urgent", "k1").Close()
	})
}

// TestNewKey guards against a host that refuses a key which was added a moment ago, or
// that lets a caller with an unknown key wait for long.
func TestNewKey(t *testing.T) {
	for _, tc := range []struct {
		name   string
		silent time.Duration // since the last answer of control
		added  time.Duration // when the key arrives; 0 if it does not
		took   time.Duration
		want   errkind.Kind
	}{
		{"unknown, control answered", 500 * time.Millisecond, 0, 0, errkind.Denied},
		{"unknown, control is silent", 1100 * time.Millisecond, 0, time.Second, errkind.Denied},
		{"unknown, no lease", 2300 * time.Millisecond, 0, time.Second, errkind.ConfigStale},
		{"new, control is silent", 1100 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond, errkind.OK},
		{"new, no lease", 2300 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond, errkind.OK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithCustomers(t, func(is *is.I, _ *fakeGroup, g *gateway.Gateway, cfg configure) {
				time.Sleep(tc.silent)
				begun := time.Now()
				if tc.added > 0 {
					time.AfterFunc(tc.added, func() {
						cfg(func(c *gatewayConfig) { c.Customers = customerKeys("new", "k9") })
					})
				}
				s, err := g.Open(context.Background(), "urgent", "k9")
				is.Equal(errkind.Of(err), tc.want)
				is.Equal(time.Since(begun), tc.took)
				if err == nil {
					is.Equal(s.Customer(), "new")
					s.Close()
				}
			})
		})
	}
}

// TestPublicDatabase guards against a key that a public database asks for, and against a
// session without a key that goes on once the database is no longer public.
func TestPublicDatabase(t *testing.T) {
	runWithCustomers(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, cfg configure) {
		cfg(func(c *gatewayConfig) {
			db := c.Databases["urgent"]
			db.Public = true
			c.Databases["urgent"] = db
		})
		c := openWithKey(t, g, "urgent", "")
		defer c.Close()
		is.Equal(failureKind(c.write("a")), errkind.OK)
		is.Equal(group.byCustomer, []string{": STORE a x"})
		_, err := g.Open(context.Background(), "notes", "")
		is.Equal(errkind.Of(err), errkind.Denied)
		_, err = g.Open(context.Background(), "nothing", "")
		is.Equal(errkind.Of(err), errkind.UnknownGroup)
		cfg(func(*gatewayConfig) {})
		is.Equal(failureKind(c.write("b")), errkind.Denied)
	})
}

// TestProbeWithCustomers guards against the connection of a probe that stays open although
// it serves no customer.
func TestProbeWithCustomers(t *testing.T) {
	runWithCustomers(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, _ configure) {
		c := openWithKey(t, g, "urgent", "k1")
		defer c.Close()
		is.Equal(failureKind(c.write("a")), errkind.OK)
		group.update(func() { group.server("s1").unresponsive = true })
		time.AfterFunc(700*time.Millisecond, func() { group.update(func() { group.server("s1").unresponsive = false }) })
		is.True(failureKind(c.write("b")) != errkind.OK)
		time.Sleep(time.Second)
		for _, m := range g.Dump().Members {
			is.Equal(m.Connections[""], 0)
		}
	})
}

// TestAdmission guards against an operation that is counted twice because it was sent
// again, counted although nothing was sent, or sent under an admission that has ended.
func TestAdmission(t *testing.T) {
	runWithCustomers(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, cfg configure) {
		c := openWithKey(t, g, "urgent", "k1")
		defer c.Close()
		counts := func() [2]int { return [2]int{group.admitted, group.refunded} }
		group.update(func() { group.server("s1").busyRefusals = 2 })
		is.Equal(failureKind(c.write("a")), errkind.OK)
		is.Equal(counts(), [2]int{1, 0}) // sent three times
		c.do(statement.Begin, "BEGIN")
		is.Equal(failureKind(c.write("b")), errkind.OK)
		is.Equal(failureKind(c.write("c")), errkind.OK)
		is.Equal(failureKind(c.do(statement.Commit, "COMMIT")), errkind.OK)
		is.Equal(counts(), [2]int{2, 0}) // one transaction
		group.invalid = 1
		is.Equal(failureKind(c.write("d")), errkind.OK)
		is.Equal(counts(), [2]int{4, 1}) // the first admission had ended
		group.refuse = true
		is.Equal(failureKind(c.write("late")), errkind.OverAllowance)
		c.do(statement.Begin, "BEGIN")
		is.Equal(failureKind(c.write("late")), errkind.OverAllowance)
		is.Equal(failureKind(c.do(statement.Rollback, "")), errkind.OK)
		is.Equal(group.countExecuted("late"), 0)
		group.refuse = false
		group.server("s1").down = true
		is.Equal(failureKind(openWithKey(t, g, "urgent", "k2").write("late")), errkind.ConnectFailed)
		is.Equal(group.admitted-group.refunded, 3) // bolt had no connection, so nothing was sent
	})
}

// admit implements gateway.Options.Admit.
func (group *fakeGroup) admit(context.Context, string) (gateway.Admission, error) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.refuse {
		return gateway.Admission{}, errkind.New(errkind.OverAllowance, "again in 1 s")
	}
	group.admitted++
	valid := func() bool {
		group.mu.Lock()
		defer group.mu.Unlock()
		if group.invalid > 0 {
			group.invalid--
			return false
		}
		return true
	}
	return gateway.Admission{Valid: valid, Return: func() { group.update(func() { group.refunded++ }) }}, nil
}
