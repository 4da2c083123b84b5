package directory_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// world is a group of three servers behind a directory that always leads.
type world struct {
	d *directory.Directory

	mu       sync.Mutex
	index    uint64
	lease    bool // the read lease of the leader is valid
	status   map[string]statement.ServerStatus
	down     map[string]bool
	promoted []directory.Promotion
	demoted  []string
	refuse   map[string]bool // promotions of these servers are answered with 409
	syncs    int             // sync_replicas

	ctx    context.Context // ends with the test
	cancel context.CancelFunc
	hosts  sync.WaitGroup
}

// join starts a host.
func (w *world) join(id string) *host {
	h := &host{world: w, id: id}
	w.hosts.Go(func() { h.loop(w.ctx) })
	return h
}

// play runs a test on synthetic time with a directory that has adopted s1.
func play(t *testing.T, test func(is *is.I, w *world, h *host)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{lease: true, status: make(map[string]statement.ServerStatus), down: make(map[string]bool), refuse: make(map[string]bool)}
		for _, id := range []string{"s1", "s2", "s3"} {
			w.status[id] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 100)}
		}
		w.status["s1"] = statement.ServerStatus{Role: statement.Primary, Term: 1, Received: pos(1, 100)}
		w.d = directory.New(directory.Options{
			Host: "c1",
			Members: directory.Members{
				Status: w.ask,
				Demote: func(_ context.Context, s directoryrpc.Server, _ uint64) error {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.demoted = append(w.demoted, s.ID)
					return nil
				},
			},
			Promote:      w.promote,
			SyncReplicas: func(directoryrpc.State, string) int { return w.syncs },
			Control:      func() []string { return nil },
		})
		w.d.Start(control.Log{
			Propose: w.propose, IsLeader: func() bool { return true }, LeaseValid: w.leaseValid,
			ReadBarrier: func(context.Context) error { return nil }, Leader: func() (string, bool) { return "c1", true },
			TransferLeadership: func(context.Context) error { return nil },
		})
		defer func() { _ = w.d.Stop(context.Background()) }()
		w.d.OnLeader(true, 7)
		time.Sleep(10 * time.Millisecond)
		for i, id := range []string{"s1", "s2", "s3"} {
			w.announce(id, i == 0, false, 1)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer w.hosts.Wait()
		defer cancel()
		w.ctx, w.cancel = ctx, cancel
		h := w.join("h1")
		time.Sleep(3 * time.Second) // the leases of an earlier leader have run out
		test(is.New(t), w, h)
	})
}

func pos(term, lsn uint64) logpos.Position { return logpos.Position{Term: term, LSN: lsn} }

func (w *world) leaseValid() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease
}

func (w *world) propose(_ context.Context, entry []byte) ([]byte, error) {
	w.mu.Lock()
	w.index++
	index := w.index
	w.mu.Unlock()
	time.Sleep(5 * time.Millisecond) // the disk
	return w.d.Apply(index, entry), nil
}

func (w *world) announce(id string, primary, draining bool, sequence uint64) {
	role := statement.Replica
	if primary {
		role = statement.Primary
	}
	_ = w.d.Service().Announce(&directoryrpc.AnnounceArgs{Server: directoryrpc.Server{
		ID: id, Group: "g", Address: id + ":1", Slots: 3, Role: role, Draining: draining, Born: 1, Sequence: sequence,
	}}, new(directoryrpc.AnnounceReply))
}

func (w *world) ask(ctx context.Context, s directoryrpc.Server) (statement.ServerStatus, error) {
	time.Sleep(10 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[s.ID] {
		return statement.ServerStatus{}, errkind.New(errkind.ConnectFailed, "refused")
	}
	return w.status[s.ID], ctx.Err()
}

func (w *world) promote(_ context.Context, p directory.Promotion) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refuse[p.Server] {
		return errkind.New(errkind.Conflict, "not running")
	}
	w.promoted = append(w.promoted, p)
	if st := w.status[p.Server]; st.Role == statement.Replica {
		w.hosts.Go(func() {
			time.Sleep(300 * time.Millisecond)
			w.change(func() {
				w.status[p.Server] = statement.ServerStatus{Role: statement.Primary, Term: st.Term + 1, Received: st.Received}
			})
			w.announce(p.Server, true, false, 50)
		})
	}
	return nil
}

// asked returns the promotions that were asked for.
func (w *world) asked() []directory.Promotion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.promoted)
}

func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) group() directoryrpc.Group { return w.d.State().Groups["g"] }

// host is an entry host that keeps its lease.
type host struct {
	world *world
	id    string

	mu      sync.Mutex
	version uint64
	frozen  bool // sends nothing
	report  directoryrpc.Report
	renewed time.Time // start of the last request that was answered
}

// loop renews the lease and confirms each state after 20 ms.
func (h *host) loop(ctx context.Context) {
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
			report.Generation = h.world.group().Generation
		}
		reply := new(directoryrpc.SyncReply)
		sent := time.Now()
		_ = h.world.d.Service().Sync(&directoryrpc.SyncArgs{
			Host: directoryrpc.Host{ID: h.id, Incarnation: "1"}, Version: version, Reports: []directoryrpc.Report{report}, Wait: 200 * time.Millisecond,
		}, reply)
		time.Sleep(20 * time.Millisecond)
		h.mu.Lock()
		if reply.Kind == errkind.OK {
			h.renewed = sent
		}
		if reply.Changed {
			h.version = reply.State.Version
		}
		h.mu.Unlock()
	}
}

// see sets what the host reports.
func (h *host) see(r directoryrpc.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report = r
}
