package relay_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// TestRelayedSession guards against a session state, a prepared statement or a
// transaction that is lost on the way through a connector, and against more than one
// message for a statement.
func TestRelayedSession(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2) // one connector with two connections
	connectors, sender := in.roles()
	is.Equal(len(connectors), 1)
	c := in.open(sender)
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	c.Execute(context.Background(), statement.Request{Kind: statement.Set, Name: "zone", Value: "utc"})
	c.Execute(context.Background(), statement.Request{Kind: statement.Prepare, Name: "p", Value: "STORE $1"})
	for range 2 {
		is.Equal(kindOf(c.Execute(context.Background(), statement.Request{Kind: statement.Execute, ID: "x", Name: "p", Value: "k"})), errkind.OK)
	}
	is.Equal(in.backend.count("execute STORE $1 k map[zone:utc]"), 2)
	is.Equal(kindOf(c.do(statement.Begin, "begin")), errkind.OK)
	is.Equal(kindOf(c.do(statement.Read, "r1")), errkind.OK)
	other := in.open(in.hosts[0])
	is.Equal(kindOf(other.do(statement.Write, "other")), errkind.OK) // on the other connection
	is.Equal(kindOf(c.do(statement.Commit, "commit")), errkind.OK)
	is.Equal(in.backend.count("begin begin"), 1)
	sent := metrics.GetOrRegisterCounter("relay.statements_sent", sender.registry).Count()
	is.Equal(sent, int64(6)) // w1, twice EXECUTE, BEGIN, r1, COMMIT
	is.True(in.backend.connections(connectors[0].id) <= 2)
	is.Equal(in.backend.connections(sender.id), 0)
}

// TestConnectorDies guards against a write that is run twice, or reported as not run,
// because its connector died, and against statements that go on failing afterwards.
func TestConnectorDies(t *testing.T) {
	is := is.New(t)
	in := install(t, 6, 4)
	connectors, sender := in.roles()
	is.Equal(len(connectors), 2)
	c := in.open(sender)
	is.Equal(kindOf(c.do(statement.Write, "warm")), errkind.OK)
	release := in.backend.hold()
	answer := make(chan statement.Answer, 1)
	go func() { answer <- c.do(statement.Write, "w1") }()
	eventually(is, func() bool { return in.backend.count("w1") == 1 })
	connectors[0].service.Close()
	is.Equal(kindOf(<-answer), errkind.OutcomeUnknown)
	release()
	begun := time.Now()
	is.Equal(kindOf(c.do(statement.Write, "w2")), errkind.OK)
	is.True(time.Since(begun) < time.Second)
	is.Equal(in.backend.count("w1"), 1)
	is.Equal(in.backend.count(connectors[1].id+"/ write w2"), 1)
}

// TestConnectorFreezes guards against a silent connector that is used for longer than
// its silence takes to be seen, and against a write that is run twice because its
// answer was lost.
func TestConnectorFreezes(t *testing.T) {
	is := is.New(t)
	in := install(t, 6, 4)
	connectors, sender := in.roles()
	c := in.open(sender)
	is.Equal(kindOf(c.do(statement.Write, "warm")), errkind.OK)
	sender.links.freeze()
	frozen := time.Now()
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OutcomeUnknown) // run, and the answer is lost
	failures := metrics.GetOrRegisterCounter("relay.connector_failures", sender.registry)
	eventually(is, func() bool { return failures.Count() == 1 })
	is.True(time.Since(frozen) < 2*time.Second)
	begun := time.Now()
	is.Equal(kindOf(c.do(statement.Write, "w2")), errkind.OK)
	is.True(time.Since(begun) < 500*time.Millisecond)
	is.Equal(in.backend.count("write w1"), 1)
	is.Equal(in.backend.count(connectors[1].id+"/ write w2"), 1)
}

// TestSenderDies guards against connections of transactions that stay open at the
// connector after their host is gone.
func TestSenderDies(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	connectors, sender := in.roles()
	c := in.open(sender)
	c.do(statement.Begin, "begin")
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	is.Equal(in.backend.connections(connectors[0].id), 1)
	sender.client.Close()
	eventually(is, func() bool { return in.backend.connections(connectors[0].id) == 0 })
	is.Equal(in.backend.count("commit"), 0)
	is.Equal(kindOf(c.do(statement.Commit, "commit")), errkind.TransactionLost)
}

// TestClosedConnection guards against a transaction that continues at the connector
// although its session, or the lease behind it, has ended.
func TestClosedConnection(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	connectors, sender := in.roles()
	c := in.open(sender)
	c.do(statement.Begin, "begin")
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	next := in.state
	next.Version, next.Groups = 2, map[string]directoryrpc.Group{"g": {Name: "g", Primary: "other", Generation: 2}}
	sender.g.SetState(next, in.cfg) // the server is no longer the primary
	eventually(is, func() bool { return in.backend.connections(connectors[0].id) == 0 })
	is.Equal(kindOf(c.do(statement.Commit, "commit")), errkind.TransactionLost)
	is.Equal(in.backend.count("commit"), 0)
}

// TestOlderView guards against a statement that fails or runs twice because a connector
// does not consider itself one yet.
func TestOlderView(t *testing.T) {
	is := is.New(t)
	in := install(t, 6, 4)
	connectors, sender := in.roles()
	connectors[0].g.SetHosts(map[string]directoryrpc.Host{connectors[1].id: in.list[connectors[1].id]}, false)
	c := in.open(sender)
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	is.Equal(in.backend.count("w1"), 1)
	is.Equal(in.backend.count(connectors[1].id+"/ write w1"), 1)
	is.Equal(metrics.GetOrRegisterCounter("relay.refused.not_owner", sender.registry).Count(), int64(1))
}

// TestRestartedServer guards against a statement for a new process of a server that a
// connector sends to the old one.
func TestRestartedServer(t *testing.T) {
	is := is.New(t)
	in := install(t, 6, 4)
	connectors, sender := in.roles()
	next := in.state
	next.Version = 2
	restarted := in.state.Servers["s"]
	restarted.Born = 8
	next.Servers = map[string]directoryrpc.Server{"s": restarted}
	sender.g.SetState(next, in.cfg)
	connectors[1].g.SetState(next, in.cfg)
	c := in.open(sender)
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	is.Equal(in.backend.count(connectors[1].id+"/ write w1"), 1)
	is.Equal(in.backend.count("w1"), 1)
}

// TestDrainingConnector guards against new transactions at a connector that is about to
// stop, and against a stop that interrupts the open ones.
func TestDrainingConnector(t *testing.T) {
	is := is.New(t)
	in := install(t, 6, 4)
	connectors, sender := in.roles()
	c, single := in.open(sender), in.open(sender)
	c.do(statement.Begin, "begin")
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	connectors[0].g.Drain()
	is.Equal(kindOf(single.do(statement.Write, "s1")), errkind.OK)
	is.Equal(in.backend.count(connectors[0].id+"/ write s1"), 1) // still served
	single.do(statement.Begin, "begin2")
	is.Equal(kindOf(single.do(statement.Write, "w2")), errkind.OK)
	is.Equal(in.backend.count(connectors[1].id+"/ begin begin2"), 1) // no new transaction
	is.Equal(kindOf(c.do(statement.Commit, "commit")), errkind.OK)
	is.Equal(in.backend.count(connectors[0].id+"/ commit"), 1) // the open one ends there
}

// TestRoleEnds guards against a host that keeps connections although it is no longer a
// connector, so that the server has too few for the others.
func TestRoleEnds(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	connectors, sender := in.roles()
	c, tx := in.open(sender), in.open(sender)
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	tx.do(statement.Begin, "begin")
	is.Equal(kindOf(tx.do(statement.Write, "w2")), errkind.OK)
	is.Equal(kindOf(c.do(statement.Write, "w3")), errkind.OK)
	is.Equal(in.backend.connections(connectors[0].id), 2)
	list := map[string]directoryrpc.Host{}
	for id, h := range in.list {
		h.Draining = id == connectors[0].id
		list[id] = h
	}
	connectors[0].g.SetHosts(list, false)
	is.Equal(in.backend.connections(connectors[0].id), 1) // that of the transaction
	is.Equal(kindOf(tx.do(statement.Commit, "commit")), errkind.OK)
	eventually(is, func() bool { return in.backend.connections(connectors[0].id) == 0 })
}

// TestConnectionsStayWithinLimit guards against connectors that open more connections
// than their part when many statements and transactions arrive at the same time, and
// against statements that are lost or run twice then.
func TestConnectionsStayWithinLimit(t *testing.T) {
	for _, size := range []struct{ hosts, usable int }{{8, 6}, {68, 47}} {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			is := is.New(t)
			in := install(t, size.hosts, size.usable)
			var callers sync.WaitGroup
			for i := range 3 * size.hosts {
				c := in.open(in.hosts[i%len(in.hosts)])
				callers.Go(func() {
					for n := range 10 {
						if i%3 == 0 {
							c.do(statement.Begin, "begin")
						}
						is.Equal(kindOf(c.do(statement.Write, fmt.Sprintf("w%d-%d.", i, n))), errkind.OK)
						if i%3 == 0 {
							is.Equal(kindOf(c.do(statement.Commit, "commit")), errkind.OK)
						}
					}
				})
			}
			callers.Wait()
			is.True(in.backend.most <= size.usable)
			t.Logf("%d connections at most, %d opened for %d statements", in.backend.most, in.backend.customer[""], len(in.backend.executed))
			seen := make(map[string]int)
			for _, e := range in.backend.executed {
				if _, text, ok := strings.Cut(e, " write "); ok {
					seen[text]++
				}
			}
			is.Equal(len(seen), 30*size.hosts) // all acknowledged writes were run
			for _, n := range seen {
				is.Equal(n, 1)
			}
		})
	}
}

// TestNoConnectors guards against peer connections and relayed statements where a
// server has enough connections, and against a host that connects by itself before it
// knows the connectors.
func TestNoConnectors(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 20)
	c := in.open(in.hosts[1])
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	is.Equal(in.backend.count(in.hosts[1].id+"/ write w1"), 1)
	is.Equal(in.hosts[1].client.Streams(), 0)
	in.list["old"] = directoryrpc.Host{ID: "old"} // of an earlier release
	in.cfg.Groups["g"] = database.Group{Name: "g", MaxConnections: 4}
	in.apply(in.hosts[1])
	is.Equal(kindOf(c.do(statement.Write, "w2")), errkind.OK)
	is.Equal(in.backend.count(in.hosts[1].id+"/ write w2"), 1)
	in.hosts[1].g.SetHosts(nil, true)
	is.Equal(kindOf(c.do(statement.Write, "w3")), errkind.NoMember)
	is.Equal(in.backend.count("w3"), 0)
}

// TestConnectorsBecomeKnown guards against statements that are refused while the list of
// hosts is on its way, as after a loss of all hosts: they wait for it, and a host connects
// by itself if the server has a connection for each host.
func TestConnectorsBecomeKnown(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	_, sender := in.roles()
	c := in.open(sender)
	sender.g.SetHosts(nil, true)
	answered := make(chan errkind.Kind, 1)
	go func() { answered <- kindOf(c.do(statement.Write, "w1")) }()
	time.Sleep(100 * time.Millisecond)
	is.Equal(in.backend.count("w1"), 0)
	in.apply(sender)
	is.Equal(<-answered, errkind.OK)

	in.cfg.Customers = map[string]database.Customer{"c": {Name: "c"}} // connectors apply with any number of connections
	in.cfg.Databases["db"] = database.Database{
		Name: "db", Group: "g", Consistency: database.Primary, StatementTimeout: 1200 * time.Millisecond, LatencyTarget: time.Second, Public: true,
	}
	in.cfg.Groups["g"] = database.Group{Name: "g", MaxConnections: 22}
	in.apply(sender)
	sender.g.SetHosts(nil, true)
	is.Equal(kindOf(c.do(statement.Write, "w2")), errkind.OK)
	is.Equal(in.backend.count(sender.id+"/ write w2"), 1)
}

// TestOverload guards against a connector that queues what can't start in time: the
// refusal must reach the sender before its deadline, so that a write is not unknown.
func TestOverload(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	_, sender := in.roles()
	defer in.backend.hold()()
	var callers sync.WaitGroup
	var mu sync.Mutex
	kinds := make(map[errkind.Kind]int)
	for i := range 12 {
		c := in.open(sender)
		callers.Go(func() {
			k := kindOf(c.do(statement.Write, fmt.Sprintf("w%d.", i)))
			mu.Lock()
			defer mu.Unlock()
			kinds[k]++
		})
	}
	callers.Wait()
	sent := 0
	for i := range 12 {
		sent += in.backend.count(fmt.Sprintf("write w%d.", i))
	}
	is.Equal(kinds[errkind.OutcomeUnknown], sent)
	is.True(sent <= 2)
	is.Equal(kinds[errkind.OK], 0)
	for k, n := range kinds {
		is.True(n == 0 || k == errkind.OutcomeUnknown || k.Info().Outcome == errkind.NotRun)
	}
}

// TestLargeStatements guards against sizes within the limits that are refused, and
// against an answer over the limit that ends the stream.
func TestLargeStatements(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	_, sender := in.roles()
	c := in.open(sender)
	is.Equal(kindOf(c.do(statement.Write, strings.Repeat("x", 1<<20))), errkind.OK)
	in.backend.rows = []string{strings.Repeat("y", 4<<20-1<<10)}
	a := c.do(statement.Read, "r1")
	is.Equal(kindOf(a), errkind.OK)
	is.Equal(a.Rows, in.backend.rows)
	in.backend.rows = []string{strings.Repeat("z", 4<<20+1)}
	is.Equal(kindOf(c.do(statement.Read, "r2")), errkind.AnswerTooLarge)
	in.backend.rows = nil
	is.Equal(kindOf(c.do(statement.Read, "r3")), errkind.OK)
	is.Equal(metrics.GetOrRegisterCounter("relay.connector_failures", sender.registry).Count(), int64(0))
}

// TestBusyConnector guards against a statement that waits for a connector whose
// connections are held by transactions while another one has some free.
func TestBusyConnector(t *testing.T) {
	is := is.New(t)
	in := install(t, 6, 4)
	connectors, sender := in.roles()
	for i := range 2 {
		tx := in.open(sender)
		tx.do(statement.Begin, "begin")
		is.Equal(kindOf(tx.do(statement.Write, fmt.Sprint("t", i))), errkind.OK)
	}
	is.Equal(in.backend.connections(connectors[0].id), 2)
	c := in.open(sender)
	begun := time.Now()
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	is.True(time.Since(begun) < 500*time.Millisecond)
	is.Equal(in.backend.count(connectors[1].id+"/ write w1"), 1)
}
