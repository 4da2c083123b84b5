package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

const policyText = `
[[database_group]]
name = "orders"
members = 3
[[traffic_rank]]
name = "urgent"
order = 0
[[traffic_rank]]
name = "normal"
order = 1
floor = 0.2
default = true
[[traffic_rank]]
name = "bulk"
order = 2
floor = 0.1
`

// harness is an Owner of one fake server, unless the options connect to another, with a lease for one hour unless the
// test changes it.
type harness struct {
	*owner.Owner
	service    *owner.Service
	server     *fakeServer
	state      controlrpc.State
	cfg        *policy.Config
	epoch      uint64
	lastNumber atomic.Uint64
}

func newHarness(t testing.TB, opts owner.Options) *harness {
	r := &harness{server: newFakeServer(), epoch: 1}
	if opts.Connect == nil {
		opts.Connect = r.server.connect
	}
	r.Owner = owner.New(opts)
	r.service = r.Owner.Service()
	var err error
	if r.cfg, err = policy.Parse("policy.toml", policyText); err != nil {
		t.Fatal(err)
	}
	r.state = controlrpc.State{
		Groups:  map[string]controlrpc.Group{"orders": {Name: "orders", Term: 1, Members: []string{"s1", "s2", "s3"}}},
		Servers: map[string]controlrpc.Server{"s1": {ID: "s1", Group: "orders", Address: "a", Slots: 3, Connections: 10}},
	}
	r.SetState(r.state, r.cfg)
	r.grantLease(time.Hour, true, 1)
	return r
}

// runTest runs a test with a running owner in a synctest bubble and then stops
// the owner.
func runTest(t *testing.T, opts owner.Options, test func(t *testing.T, r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, opts)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { r.Run(ctx); close(ended) }()
		defer func() {
			cancel()
			<-ended
			synctest.Wait()
			time.Sleep(time.Minute) // lets the timers of the fake server fire
		}()
		time.Sleep(300 * time.Millisecond)
		test(t, r)
	})
}

func (r *harness) grantLease(ttl time.Duration, primary bool, term uint64) {
	r.SetLeases(time.Now(), &controlrpc.HeartbeatReply{TTL: ttl, Leases: []controlrpc.HeldLease{
		{Server: "s1", Epoch: r.epoch, Group: "orders", Term: term, Primary: primary},
	}})
	time.Sleep(time.Nanosecond) // the next heartbeat must have a later send time
}

// withdrawLeases applies a heartbeat reply without leases.
func (r *harness) withdrawLeases() {
	r.SetLeases(time.Now(), &controlrpc.HeartbeatReply{TTL: time.Hour})
}

// The following helpers ignore errors because the service methods never return
// one.

func (r *harness) revoke(epoch, term uint64) {
	_ = r.service.Revoke(&ownerrpc.RevokeArgs{Server: "s1", Epoch: epoch, Term: term}, new(ownerrpc.RevokeReply))
}

func (r *harness) pollStatus() {
	_ = r.service.Status(&ownerrpc.StatusArgs{Entry: "e1"}, new(ownerrpc.StatusReply))
}

func (r *harness) releaseSession(session uint64) {
	_ = r.service.Release(&ownerrpc.ReleaseArgs{Entry: "e1", Session: session, Server: "s1"}, new(ownerrpc.ReleaseReply))
}

func (r *harness) position() (reply ownerrpc.PositionReply) {
	_ = r.service.Position(&ownerrpc.PositionArgs{Group: "orders", Term: 1}, &reply)
	return reply
}

func (r *harness) cancel(a *ownerrpc.ExecArgs) bool {
	var reply ownerrpc.CancelReply
	_ = r.service.Cancel(&ownerrpc.CancelArgs{ID: a.ID, Server: a.Server}, &reply)
	return reply.Confirmed
}

func (r *harness) outcome(a *ownerrpc.ExecArgs) (reply ownerrpc.OutcomeReply) {
	_ = r.service.Outcome(&ownerrpc.OutcomeArgs{ID: a.ID, Server: a.Server}, &reply)
	return reply
}

func query(sql string) []byte { return message('Q', sql+"\x00") }

// writeArgs returns the arguments of a write outside of a transaction.
func (r *harness) writeArgs(session uint64, sql string) *ownerrpc.ExecArgs {
	return &ownerrpc.ExecArgs{
		ID:    ownerrpc.RequestID{Entry: "e1", Session: session, Number: r.lastNumber.Add(1)},
		Group: "orders", Server: "s1", Term: 1, Budget: 5 * time.Second, Write: true, Messages: query(sql),
	}
}

// readArgs returns the arguments of a repeatable read outside of a transaction.
func (r *harness) readArgs(session uint64, sql string) *ownerrpc.ExecArgs {
	a := r.writeArgs(session, sql)
	a.Write, a.Repeatable = false, true
	return a
}

func (r *harness) exec(a *ownerrpc.ExecArgs) ownerrpc.ExecReply {
	var reply ownerrpc.ExecReply
	_ = r.service.Exec(a, &reply)
	return reply
}

// execAsync executes a cycle in the background.
func (r *harness) execAsync(a *ownerrpc.ExecArgs) <-chan ownerrpc.ExecReply {
	done := make(chan ownerrpc.ExecReply, 1)
	go func() { done <- r.exec(a) }()
	return done
}
