package directory_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// testCluster is a group of three servers and a directory that is always the
// leader.
type testCluster struct {
	d *directory.Directory

	mu              sync.Mutex
	index           uint64
	leaseIsValid    bool   // read lease of the leader
	onLeaseCheck    func() // called at each check of the read lease; nil for none
	status          map[string]statement.ServerStatus
	down            map[string]bool
	promoted        []directory.Promotion
	demoted         []string
	refusePromotion map[string]bool // servers whose promotion fails with errkind.Conflict
	syncReplicas    int             // value of the setting sync_replicas
	declared        map[string]bool // groups of the configuration; nil if there is none
	panics          bool            // proposals of configurations panic
	silentTargets   bool            // a promoted server does not announce its role
	term            uint64          // of the latest promotion that took effect
	promotionDelay  time.Duration   // from the request until a promotion takes effect
	onPromoted      func(id string) // called with mu held when a promotion takes effect; nil for none
	onDemote        func(id string, term uint64)
	promoteAnswer   func(id string) error      // answer to a request to promote; nil: the request is accepted
	limits          map[string]allowance.Limit // of customers, with any configuration

	ctx     context.Context // ends with the test
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// startHost starts an entry host that runs until the end of the test.
func (c *testCluster) startHost(id string) *testHost {
	h := &testHost{cluster: c, id: id}
	c.workers.Go(func() { h.loop(c.ctx) })
	return h
}

// runWithCluster runs a test in a synctest bubble with a cluster whose primary is
// s1 and one entry host, once the leases of an earlier leader have expired.
func runWithCluster(t *testing.T, test func(is *is.I, c *testCluster, h *testHost)) {
	synctest.Test(t, func(t *testing.T) {
		c := &testCluster{leaseIsValid: true, term: 1, promotionDelay: 300 * time.Millisecond, status: make(map[string]statement.ServerStatus), down: make(map[string]bool), refusePromotion: make(map[string]bool)}
		for _, id := range []string{"s1", "s2", "s3"} {
			c.status[id] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 100)}
		}
		c.status["s1"] = statement.ServerStatus{Role: statement.Primary, Term: 1, Received: pos(1, 100)}
		c.d = directory.New(directory.Options{
			Host: "c1",
			Members: directory.Members{
				Status: c.serverStatus,
				Demote: func(_ context.Context, s directoryrpc.Server, term uint64) error {
					c.mu.Lock()
					defer c.mu.Unlock()
					c.demoted = append(c.demoted, s.ID)
					if c.onDemote != nil {
						c.onDemote(s.ID, term)
					}
					return nil
				},
			},
			Promote:      c.promote,
			SyncReplicas: func(directoryrpc.State, string) int { return c.syncReplicas },
			Declares: func(_ directoryrpc.State, group string) bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.declared == nil || c.declared[group]
			},
			Control: func() []string { return nil },
			Limits: func(s directoryrpc.State) map[string]allowance.Limit {
				if s.ConfigVersion == 0 {
					return nil
				}
				return c.limits
			},
		})
		c.d.Start(control.Log{
			Propose: c.propose, IsLeader: func() bool { return true }, LeaseValid: c.leaseValid,
			ReadBarrier: func(context.Context) error { return nil }, Leader: func() (string, bool) { return "c1", true },
			TransferLeadership: func(context.Context) error { return nil },
		})
		defer func() { _ = c.d.Stop(context.Background()) }()
		c.d.OnLeader(true, 7)
		time.Sleep(10 * time.Millisecond)
		for i, id := range []string{"s1", "s2", "s3"} {
			c.announce(id, i == 0, false, 1)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer c.workers.Wait()
		defer cancel()
		c.ctx, c.cancel = ctx, cancel
		h := c.startHost("h1")
		time.Sleep(3 * time.Second) // the leases of an earlier leader have expired
		test(is.New(t), c, h)
	})
}

func pos(term, lsn uint64) logpos.Position { return logpos.Position{Term: term, LSN: lsn} }

func (c *testCluster) leaseValid() bool {
	c.mu.Lock()
	valid, onCheck := c.leaseIsValid, c.onLeaseCheck
	c.mu.Unlock()
	if onCheck != nil {
		onCheck()
	}
	return valid
}

func (c *testCluster) propose(_ context.Context, entry []byte) ([]byte, error) {
	c.mu.Lock()
	c.index++
	index, panics := c.index, c.panics
	c.mu.Unlock()
	if panics {
		panic("test")
	}
	time.Sleep(5 * time.Millisecond) // disk latency
	return c.d.Apply(index, entry), nil
}

func (c *testCluster) announce(id string, primary, draining bool, sequence uint64) {
	c.announceIn("g", id, primary, draining, sequence)
}

// announceIn announces a server of a group.
func (c *testCluster) announceIn(group, id string, primary, draining bool, sequence uint64) {
	role := statement.Replica
	if primary {
		role = statement.Primary
	}
	_ = c.d.Service().Announce(&directoryrpc.AnnounceArgs{Server: directoryrpc.Server{
		ID: id, Group: group, Address: id + ":1", Slots: 3, Role: role, Draining: draining, Born: 1, Sequence: sequence,
	}}, new(directoryrpc.AnnounceReply))
}

func (c *testCluster) serverStatus(ctx context.Context, s directoryrpc.Server) (statement.ServerStatus, error) {
	time.Sleep(10 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[s.ID] {
		return statement.ServerStatus{}, errkind.New(errkind.ConnectFailed, "refused")
	}
	return c.status[s.ID], ctx.Err()
}

func (c *testCluster) promote(_ context.Context, p directory.Promotion) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusePromotion[p.Server] {
		return errkind.New(errkind.Conflict, "not running")
	}
	var answer error
	if c.promoteAnswer != nil {
		if answer = c.promoteAnswer(p.Server); errkind.Of(answer) == errkind.Conflict {
			return answer
		}
	}
	c.promoted = append(c.promoted, p)
	if st := c.status[p.Server]; st.Role == statement.Primary && st.Term == c.term {
		return answer // it is the present primary
	}
	delay, silent := c.promotionDelay, c.silentTargets
	c.workers.Go(func() {
		time.Sleep(delay)
		effective := false
		c.withLock(func() { effective = c.takeEffect(p.Server) })
		if effective && !silent {
			c.announceIn(p.Group, p.Server, true, false, 50)
		}
	})
	return answer
}

// takeEffect makes a server the primary of the next term, unless it is down or already the
// present primary. The caller holds mu.
func (c *testCluster) takeEffect(id string) bool {
	st := c.status[id]
	if c.down[id] || st.Role == statement.Primary && st.Term == c.term {
		return false
	}
	c.term++
	c.status[id] = statement.ServerStatus{Role: statement.Primary, Term: c.term, Received: pos(c.term, st.Received.LSN)}
	if c.onPromoted != nil {
		c.onPromoted(id)
	}
	return true
}

// promotions returns the promotions that were requested.
func (c *testCluster) promotions() []directory.Promotion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.promoted)
}

// withLock runs f while it holds the lock of the cluster.
func (c *testCluster) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *testCluster) group() directoryrpc.Group { return c.d.State().Groups["g"] }

// testHost is an entry host that keeps renewing its lease.
type testHost struct {
	cluster *testCluster
	id      string

	mu          sync.Mutex
	version     uint64
	group       directoryrpc.Group // of version
	frozen      bool               // sends no requests
	report      directoryrpc.Report
	lastRenewal time.Time // start of the last request that was answered
}

// loop renews the lease and confirms each new state after 20 ms.
func (h *testHost) loop(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		frozen, version, report := h.frozen, h.version, h.report
		h.mu.Unlock()
		if frozen {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		report.Group = "g"
		if report.Generation == 0 {
			report.Generation = h.cluster.group().Generation
		}
		reply := new(directoryrpc.SyncReply)
		sent := time.Now()
		_ = h.cluster.d.Service().Sync(&directoryrpc.SyncArgs{
			Host: directoryrpc.Host{ID: h.id, Incarnation: "1"}, Version: version, Reports: []directoryrpc.Report{report}, Wait: 200 * time.Millisecond,
		}, reply)
		time.Sleep(20 * time.Millisecond)
		h.mu.Lock()
		if reply.Kind == errkind.OK {
			h.lastRenewal = sent
		}
		if reply.Changed {
			h.version, h.group = reply.State.Version, reply.State.Groups["g"]
		}
		h.mu.Unlock()
	}
}

// setReport sets what the host reports about the primary.
func (h *testHost) setReport(r directoryrpc.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report = r
}
