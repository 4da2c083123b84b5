package health_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/health"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/arbutusring/arbutusring/pkg/policy"
	"github.com/matryer/is"
)

const configText = `
[[database_group]]
name = "orders"
members = 3
labels = { tier = "orders" }
[[proxy_pool]]
name = "west"
hosts = "region=munster"
[[traffic_rank]]
name = "urgent"
default = true
`

// state returns a group of three servers, of which h1 owns s1 and h2 the others.
func state() controlrpc.State {
	st := controlrpc.State{
		ConfigVersion: 4, ConfigText: configText,
		Groups: map[string]controlrpc.Group{"orders": {
			Name: "orders", Phase: controlrpc.PhaseSteady, Primary: "s1", Members: []string{"s1", "s2", "s3"},
		}},
		Servers:  map[string]controlrpc.Server{},
		Leases:   map[string]controlrpc.Lease{"s1": {Host: "h1"}, "s2": {Host: "h2"}, "s3": {Host: "h2"}},
		Hosts:    map[string]controlrpc.Host{},
		Draining: map[string]bool{},
	}
	for _, id := range st.Groups["orders"].Members {
		st.Servers[id] = controlrpc.Server{ID: id, Group: "orders"}
	}
	for _, id := range []string{"h1", "h2"} {
		st.Hosts[id] = controlrpc.Host{ID: id, Address: id, Region: "munster"}
	}
	return st
}

// heartbeats returns a recent heartbeat of both hosts.
func heartbeats() map[string]controlrpc.HostReport {
	r := controlrpc.HostReport{Age: 100 * time.Millisecond, ConfigVersion: 4, Live: true}
	return map[string]controlrpc.HostReport{"h1": r, "h2": r}
}

// statuses returns the reports of the owner on host, with the given success count.
func statuses(host string, successes uint64) []ownerrpc.ServerStatus {
	ids := map[string][]string{"h1": {"s1"}, "h2": {"s2", "s3"}}
	var all []ownerrpc.ServerStatus
	for _, id := range ids[host] {
		all = append(all, ownerrpc.ServerStatus{
			Server: id, Group: "orders", Primary: id == "s1", Reachable: true, LastAnswerAge: 50 * time.Millisecond,
			Applied: logpos.Position{Term: 1, LSN: 5000}, Successes: successes, Epoch: 1,
			Load: ownerrpc.Load{Queued: map[string]int{"urgent": 2}},
		})
	}
	return all
}

func sample(at time.Time, successes uint64) health.Sample {
	s := health.Sample{At: at, Servers: map[string]health.Observation{}}
	for _, host := range []string{"h1", "h2"} {
		for _, st := range statuses(host, successes) {
			s.Servers[st.Server] = health.Observation{Host: host, Status: st}
		}
	}
	return s
}

func inputs(t *testing.T) *health.Inputs {
	cfg, err := policy.Parse("F", configText)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	return &health.Inputs{
		Config: cfg, State: state(), Heartbeats: heartbeats(), Before: sample(now, 100), After: sample(now.Add(time.Second), 110),
	}
}

// modifyObserved returns a change of Inputs that applies set to the observations of
// the given servers in the second sample.
func modifyObserved(set func(o *health.Observation), ids ...string) func(in *health.Inputs) {
	return func(in *health.Inputs) {
		for _, id := range ids {
			o := in.After.Servers[id]
			set(&o)
			in.After.Servers[id] = o
		}
	}
}

// unreported returns a change of Inputs that removes the given servers from the
// second sample.
func unreported(ids ...string) func(in *health.Inputs) {
	return func(in *health.Inputs) {
		for _, id := range ids {
			delete(in.After.Servers, id)
		}
	}
}

// noHeartbeat returns a change of Inputs that makes the heartbeats of the given
// hosts too old.
func noHeartbeat(ids ...string) func(in *health.Inputs) {
	return func(in *health.Inputs) {
		for _, id := range ids {
			in.Heartbeats[id] = controlrpc.HostReport{Age: 5 * time.Second, ConfigVersion: 4}
		}
	}
}

// TestEvaluate guards against an answer that is better than the facts allow. Each
// row is a change to healthy inputs and the status and cause that must follow.
func TestEvaluate(t *testing.T) {
	unreachable := func(o *health.Observation) { o.Status.Reachable = false }
	stale := func(o *health.Observation) { o.Status.LastAnswerAge = 2 * time.Second }
	lagging := func(o *health.Observation) { o.Status.Applied.LSN = 3999 }
	fullQueue := func(o *health.Observation) { o.Status.Load.Full = []string{"urgent"} }
	noControl := func(in *health.Inputs) { in.Heartbeats = nil }
	healthy := func(*health.Inputs) {}
	choosingPrimary := func(in *health.Inputs) {
		g := in.State.Groups["orders"]
		g.Phase, g.Primary = controlrpc.PhaseFencing, ""
		in.State.Groups["orders"] = g
	}
	memberMissing := func(in *health.Inputs) {
		g := in.State.Groups["orders"]
		g.Members = g.Members[:2]
		in.State.Groups["orders"] = g
	}
	draining := func(ids ...string) func(in *health.Inputs) {
		return func(in *health.Inputs) {
			for _, id := range ids {
				in.State.Draining[id] = true
			}
		}
	}
	plannedStop := func(in *health.Inputs) {
		h := in.State.Hosts["h1"]
		h.Draining = true
		in.State.Hosts["h1"] = h
	}
	oldConfig := func(in *health.Inputs) {
		in.Heartbeats["h1"] = controlrpc.HostReport{Live: true, ConfigVersion: 3}
	}
	for _, row := range []struct {
		name   string
		object string
		change func(in *health.Inputs)
		status health.Status
		cause  string
	}{
		{"healthy", "orders", healthy, health.Up, ""},
		{"owner of the primary not answering", "orders", unreported("s1"), health.Unknown, "no fresh report about the primary s1"},
		{"owner of a replica not answering", "orders", unreported("s2"), health.Degraded, "members [s2]"},
		{"owner of both replicas not answering", "orders", unreported("s2", "s3"), health.Unknown, "no fresh report about members [s2 s3]"},
		{"all owners not answering", "orders", unreported("s1", "s2", "s3"), health.Unknown, "primary s1"},
		{"primary unreachable", "orders", modifyObserved(unreachable, "s1"), health.Down, "primary s1 does not answer"},
		{"no majority", "orders", modifyObserved(unreachable, "s2", "s3"), health.Down, "no majority"},
		{"replica unreachable", "orders", modifyObserved(unreachable, "s3"), health.Degraded, "members [s3]"},
		{"stale fact of the primary", "orders", modifyObserved(stale, "s1"), health.Unknown, "no fresh report about the primary s1"},
		{"stale facts of replicas", "orders", modifyObserved(stale, "s2", "s3"), health.Unknown, "no fresh report about members [s2 s3]"},
		{"lagging replica", "orders", modifyObserved(lagging, "s2"), health.Degraded, "[s2] lag by more than 1000"},
		{"full queue", "orders", modifyObserved(fullQueue, "s1"), health.Degraded, "ranks [urgent]"},
		{"control not answering", "orders", noControl, health.Unknown, "control did not answer"},
		{"choosing a primary", "orders", choosingPrimary, health.Down, "no primary"},
		{"member not announced", "orders", memberMissing, health.Down, "2 of 3 declared members"},
		{"healthy", "urgent", healthy, health.Up, ""},
		{"all owners not answering", "urgent", unreported("s1", "s2", "s3"), health.Unknown, "no owner reported"},
		{"an owner not answering", "urgent", unreported("s2"), health.Unknown, "1 of 3 backend servers"},
		{"full queue", "urgent", modifyObserved(fullQueue, "s1"), health.Degraded, "full at 1 of 3"},
		{"full queue and an owner not answering", "urgent", func(in *health.Inputs) { modifyObserved(fullQueue, "s1")(in); unreported("s2")(in) }, health.Degraded, "full at 1 of 2"},
		{"control not answering", "urgent", noControl, health.Unknown, "control did not answer"},
		{"stale fact", "urgent", modifyObserved(stale, "s2"), health.Unknown, "1 of 3 backend servers"},
		{"server unreachable", "urgent", modifyObserved(unreachable, "s2"), health.Degraded, "1 of 3 backend servers do not answer"},
		{"replaced server unreachable", "urgent", func(in *health.Inputs) { modifyObserved(unreachable, "s3")(in); memberMissing(in) }, health.Up, ""},
		{"all servers unreachable", "urgent", modifyObserved(unreachable, "s1", "s2", "s3"), health.Down, "no backend server answers"},
		{"servers unreachable or not reported", "urgent", func(in *health.Inputs) { modifyObserved(unreachable, "s1", "s2")(in); unreported("s3")(in) }, health.Unknown, "1 of 3 backend servers"},
		{"healthy", "west", healthy, health.Up, ""},
		{"control not answering", "west", noControl, health.Unknown, "control did not answer"},
		{"host not answering", "west", noHeartbeat("h1"), health.Degraded, "1 of 2 hosts"},
		{"all hosts not answering", "west", noHeartbeat("h1", "h2"), health.Unknown, "no heartbeat of 2 of 2"},
		{"host draining", "west", draining("h1"), health.Degraded, "1 of 2 hosts"},
		{"all hosts draining", "west", draining("h1", "h2"), health.Down, "draining"},
		{"no such host", "west", func(in *health.Inputs) { in.State.Hosts = nil }, health.Unknown, "no host matches"},
		{"healthy", "h1", healthy, health.Up, ""},
		{"control not answering", "h1", noControl, health.Unknown, "control did not answer"},
		{"host not answering", "h1", noHeartbeat("h1"), health.Unknown, "no heartbeat for 5s"},
		{"host never seen", "h1", func(in *health.Inputs) { delete(in.Heartbeats, "h1") }, health.Unknown, "no heartbeat"},
		{"drained by an operator", "h1", draining("h1"), health.Degraded, "draining"},
		{"planned stop", "h1", plannedStop, health.Degraded, "draining"},
		{"old configuration", "h1", oldConfig, health.Degraded, "configuration 3 is in force there, 4 is accepted"},
	} {
		t.Run(row.object+"/"+row.name, func(t *testing.T) {
			in := inputs(t)
			row.change(in)
			answers, err := health.Evaluate(health.Question{Selector: "name=" + row.object}, *in)
			if err != nil || len(answers) != 1 {
				t.Fatalf("answers %v, error %v", answers, err)
			}
			if a := answers[0]; a.Status != row.status || !strings.Contains(a.Cause, row.cause) || (row.cause == "") != (a.Cause == "") {
				t.Errorf("%s: %q, want %s: %q", a.Status, a.Cause, row.status, row.cause)
			}
		})
	}
}

// TestRates guards against wrong rates when counters restart, change the owner or
// are missing in a sample.
func TestRates(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(in *health.Inputs)
		want   float64 // cycles per second; 10 for each server
	}{
		{"continued", func(*health.Inputs) {}, 30},
		{"restarted", modifyObserved(func(o *health.Observation) { o.Status.Successes = 4 }, "s1"), 24},
		{"new owner", modifyObserved(func(o *health.Observation) { o.Host = "h3"; o.Status.Successes = 9000 }, "s1"), 20},
		{"missing in the first sample", func(in *health.Inputs) { delete(in.Before.Servers, "s1") }, 20},
		{"missing in the second sample", unreported("s1"), 20},
		{"no time between", func(in *health.Inputs) { in.After.At = in.Before.At }, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			in := inputs(t)
			row.change(in)
			answers, err := health.Evaluate(health.Question{Kind: health.KindGroup}, *in)
			if err != nil || answers[0].Facts.CyclesPerSec != row.want || answers[0].Facts.SuccessRate != 1 {
				t.Errorf("facts %+v, error %v, want %v cycles per second", answers[0].Facts, err, row.want)
			}
		})
	}
}

// collector returns a Collector with fakes of control and the owners that answer
// immediately.
func collector() *health.Collector {
	return &health.Collector{
		Get: func(context.Context, *controlrpc.GetArgs) (*controlrpc.GetReply, error) {
			return &controlrpc.GetReply{State: state(), Heartbeats: heartbeats()}, nil
		},
		Status: func(_ context.Context, address string, _ *ownerrpc.StatusArgs) (*ownerrpc.StatusReply, error) {
			return &ownerrpc.StatusReply{Host: address, Servers: statuses(address, 1)}, nil
		},
		Local: state,
	}
}

// TestCollector guards against an answer that waits too long for a source that
// does not answer, or that treats it as healthy.
func TestCollector(t *testing.T) {
	slowOwner := func(slow string) func(c *health.Collector) {
		return func(c *health.Collector) {
			fast := c.Status
			c.Status = func(ctx context.Context, address string, args *ownerrpc.StatusArgs) (*ownerrpc.StatusReply, error) {
				if address == slow {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return fast(ctx, address, args)
			}
		}
	}
	for _, row := range []struct {
		name   string
		change func(c *health.Collector)
		status health.Status
		within time.Duration
	}{
		{"healthy", func(*health.Collector) {}, health.Up, 250 * time.Millisecond},
		{"slow owner of the primary", slowOwner("h1"), health.Unknown, 1050 * time.Millisecond},
		{"slow owner of the replicas", slowOwner("h2"), health.Unknown, 1050 * time.Millisecond},
		{"control not answering", func(c *health.Collector) {
			c.Get = func(ctx context.Context, _ *controlrpc.GetArgs) (*controlrpc.GetReply, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, health.Unknown, 650 * time.Millisecond},
		{"control has no leader", func(c *health.Collector) {
			c.Get = func(context.Context, *controlrpc.GetArgs) (*controlrpc.GetReply, error) {
				return &controlrpc.GetReply{Answer: controlrpc.Answer{Kind: errkind.NotLeader}}, nil
			}
		}, health.Unknown, 250 * time.Millisecond},
		{"owner without a lease reports too", func(c *health.Collector) {
			fast := c.Status
			c.Status = func(ctx context.Context, address string, args *ownerrpc.StatusArgs) (*ownerrpc.StatusReply, error) {
				reply, err := fast(ctx, address, args)
				if address == "h2" {
					time.Sleep(time.Millisecond)
					reply.Servers = append(reply.Servers, ownerrpc.ServerStatus{Server: "s1", Primary: true})
				}
				return reply, err
			}
		}, health.Up, 252 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := collector()
				row.change(c)
				began := time.Now()
				answers, err := c.Ask(t.Context(), health.Question{Kind: health.KindGroup, Selector: "tier=orders"})
				if err != nil || len(answers) != 1 {
					t.Fatalf("answers %v, error %v", answers, err)
				}
				if answers[0].Status != row.status || time.Since(began) > row.within {
					t.Errorf("%s (%s) after %v, want %s within %v", answers[0].Status, answers[0].Cause, time.Since(began), row.status, row.within)
				}
			})
		})
	}
}

// TestMalformedQuestions guards against answering a malformed question with an empty
// answer instead of an error.
func TestMalformedQuestions(t *testing.T) {
	is := is.New(t)
	for _, q := range []health.Question{{Kind: "database"}, {Selector: "=x"}} {
		_, err := collector().Ask(t.Context(), q)
		is.Equal(errkind.Of(err), errkind.BadRequest)
	}
}
