package control_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

var (
	errNoAnswer = errors.New("no answer")
	errFenced   = errors.New("fenced at a greater term")
)

// controlView is the state as seen by one control host.
type controlView = control.View

// cluster simulates control hosts with one log, entry hosts and backend servers
// in one synctest bubble. All fields are guarded by mu.
type cluster struct {
	t         testing.TB
	mu        sync.Mutex
	controls  []*control.Control
	leader    int
	lag       map[string]bool // servers that receive no records, by id
	leaseLost bool            // the leader has lost its quorum, but still considers itself the leader
	term      uint64
	index     uint64             // of the last log entry
	servers   map[string]*server // by address
	hosts     map[string]*host   // by address
	// beforeCall is called before every call of a member or owner and before
	// every proposal; an error replaces the call.
	beforeCall func(step string) error
	// afterPropose is called after a proposal was applied; an error replaces its
	// answer.
	afterPropose func(step string) error
	running      sync.WaitGroup // entry hosts and traffic
	// stopTraffic is set by startTraffic.
	stopTraffic context.CancelFunc
}

// server is a backend server.
type server struct {
	id, address  string
	down         bool
	downSince    time.Time // when it went down
	term         uint64
	primary      bool
	received     logpos.Position
	promotedFrom logpos.Position // position that it had received before its last promotion
	follows      string
}

// host is an entry host. It acts on leases by the rules for owners in the
// documentation of package control.
type host struct {
	cl                 *cluster
	info               controlrpc.Host
	client             *controlrpc.Client
	paused             bool // the process is stopped and sends no heartbeats
	dropsCalls         bool // it does not answer calls of the owner service
	dropsHeartbeats    bool // its heartbeats are lost
	serversUnreachable bool // it cannot reach its backend servers
	dropsReplies       bool // replies to its heartbeats are lost
	reply              controlrpc.HeartbeatReply
	grantedUntil       time.Time
	revokedEpochs      map[string]uint64 // greatest revoked epoch by server
	revokedTerms       map[string]uint64 // greatest revoked term by server
	cancel             context.CancelFunc
}

func newCluster(t testing.TB, controls int, opts control.Options) *cluster {
	cl := &cluster{t: t, leader: -1, servers: make(map[string]*server), hosts: make(map[string]*host), lag: make(map[string]bool)}
	opts.Members = control.Members{
		Status: func(ctx context.Context, address string) (control.MemberStatus, error) {
			return cl.member(ctx, "status", address, func(*server) error { return nil })
		},
		Fence: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return cl.member(ctx, "fence", address, func(s *server) error {
				s.primary = s.primary && term <= s.term
				s.term = max(s.term, term)
				return nil
			})
		},
		Promote: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return cl.member(ctx, "promote", address, func(s *server) error {
				if term < s.term {
					return errFenced
				}
				if !s.primary {
					s.promotedFrom = s.received
					s.received = logpos.Position{Term: term, LSN: s.received.LSN + 1}
				}
				s.term, s.primary = term, true
				return nil
			})
		},
		Follow: func(ctx context.Context, address, primary string, term uint64) (control.MemberStatus, error) {
			return cl.member(ctx, "follow", address, func(s *server) error {
				if term < s.term {
					return errFenced
				}
				s.term, s.primary, s.follows = term, false, primary
				if !cl.lag[s.id] {
					s.received = cl.servers[primary].received
				}
				return nil
			})
		},
	}
	opts.Revoke = cl.revoke
	for i := range controls {
		c := control.New(opts)
		c.Start(cl.log(i))
		cl.controls = append(cl.controls, c)
	}
	return cl
}

// log returns the log of one control host.
func (cl *cluster) log(i int) control.Log {
	leads := func() (ok bool) {
		cl.withLock(func() { ok = cl.leader == i })
		return ok
	}
	return control.Log{
		Propose: func(ctx context.Context, entry []byte) ([]byte, error) {
			time.Sleep(2 * time.Millisecond)
			step := control.StepOf(entry)
			if cl.checkFault("propose "+step) != nil || ctx.Err() != nil || !leads() {
				return nil, errkind.New(errkind.NotLeader, "not the leader")
			}
			var index uint64
			cl.withLock(func() {
				cl.index++
				index = cl.index
			})
			var out []byte
			for j, c := range cl.controls {
				if r := c.Apply(index, entry); j == i {
					out = r
				}
			}
			var after func(string) error
			if cl.withLock(func() { after = cl.afterPropose }); after != nil && after(step) != nil {
				return nil, errkind.New(errkind.OutcomeUnknown, "the answer was lost")
			}
			return out, nil
		},
		IsLeader: leads,
		LeaseValid: func() (ok bool) {
			cl.withLock(func() { ok = cl.leader == i && !cl.leaseLost })
			return ok
		},
		ReadBarrier: func(ctx context.Context) error { return ctx.Err() },
		Leader: func() (string, bool) {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			return fmt.Sprint("control", cl.leader), cl.leader >= 0
		},
		TransferLeadership: func(context.Context) error {
			cl.setLeader((i + 1) % len(cl.controls))
			return nil
		},
	}
}

// setLeader makes control host i the leader.
func (cl *cluster) setLeader(i int) {
	cl.mu.Lock()
	old := cl.leader
	cl.leader = i
	cl.term++
	term := cl.term
	cl.mu.Unlock()
	if old >= 0 {
		cl.controls[old].OnLeader(false, term)
	}
	cl.controls[i].OnLeader(true, term)
}

// checkFault returns the error that the test has set for a step, if any.
func (cl *cluster) checkFault(step string) error {
	var before func(string) error
	if cl.withLock(func() { before = cl.beforeCall }); before != nil {
		return before(step)
	}
	return nil
}

func (cl *cluster) member(ctx context.Context, step, address string, act func(*server) error) (control.MemberStatus, error) {
	time.Sleep(time.Millisecond)
	err := cl.checkFault(step + " " + address)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	s := cl.servers[address]
	if err != nil || s.down {
		cl.mu.Unlock()
		<-ctx.Done()
		cl.mu.Lock()
		return control.MemberStatus{}, errNoAnswer
	}
	if err := act(s); err != nil {
		return control.MemberStatus{}, err
	}
	return control.MemberStatus{ServerID: s.id, Term: s.term, Primary: s.primary, Received: s.received, Applied: s.received}, nil
}

func (cl *cluster) revoke(ctx context.Context, address string, args *ownerrpc.RevokeArgs) (*ownerrpc.RevokeReply, error) {
	time.Sleep(time.Millisecond)
	err := cl.checkFault("revoke " + address)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	h := cl.hosts[address]
	if err != nil || h.paused || h.dropsCalls {
		cl.mu.Unlock()
		<-ctx.Done()
		cl.mu.Lock()
		return nil, errNoAnswer
	}
	h.revokedEpochs[args.Server] = max(h.revokedEpochs[args.Server], args.Epoch)
	h.revokedTerms[args.Server] = max(h.revokedTerms[args.Server], args.Term)
	return &ownerrpc.RevokeReply{Confirmed: true}, nil
}

// rpc calls the service of a control host in the way net/rpc does.
func (cl *cluster) rpc(_ context.Context, address, method string, args, reply any) error {
	var i int
	if _, err := fmt.Sscanf(address, "control%d", &i); err != nil {
		return err
	}
	_, name, _ := strings.Cut(method, ".")
	call := reflect.ValueOf(cl.controls[i].Service()).MethodByName(name)
	out := call.Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})
	err, _ := out[0].Interface().(error)
	return err
}

func (cl *cluster) client() *controlrpc.Client {
	c := &controlrpc.Client{Call: cl.rpc}
	for i := range cl.controls {
		c.Addresses = append(c.Addresses, fmt.Sprint("control", i))
	}
	return c
}

// addServer starts and announces a server that has received the given position.
func (cl *cluster) addServer(id, group, centre string, received logpos.Position) {
	s := &server{id: id, address: "at-" + id, received: received}
	cl.withLock(func() { cl.servers[s.address] = s })
	reply, err := cl.client().Announce(cl.t.Context(), &controlrpc.AnnounceArgs{Server: controlrpc.Server{
		ID: id, Group: group, Address: s.address, DataCentre: centre, Slots: 3, Connections: 25,
	}})
	cl.expectOK("announce", reply.Answer, err)
}

// expectOK reports a test error if a request failed.
func (cl *cluster) expectOK(what string, answer controlrpc.Answer, err error) {
	cl.t.Helper()
	if err != nil || answer.Kind != errkind.OK {
		cl.t.Errorf("%s: %v %v", what, err, answer)
	}
}

// apply replaces the configuration by one with a single group of that many
// members.
func (cl *cluster) apply(members int) {
	reply, err := cl.client().Apply(cl.t.Context(), &controlrpc.ApplyArgs{
		ChangeID: fmt.Sprint(time.Now().UnixNano()), Operator: "op", BaseVersion: cl.view().ConfigVersion, Text: config(members),
	})
	cl.expectOK("apply", reply.Answer, err)
}

// addHost starts an entry host that sends heartbeats every 300 ms.
func (cl *cluster) addHost(id, incarnation, centre, region string) *host {
	ctx, cancel := context.WithCancel(cl.t.Context())
	h := &host{
		cl: cl, client: cl.client(), revokedEpochs: make(map[string]uint64), revokedTerms: make(map[string]uint64), cancel: cancel,
		info: controlrpc.Host{ID: id, Incarnation: incarnation, Address: "at-" + id, DataCentre: centre, Region: region},
	}
	cl.withLock(func() { cl.hosts[h.info.Address] = h })
	cl.running.Go(func() { h.run(ctx) })
	return h
}

func (h *host) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.heartbeat(ctx)
		time.Sleep(300 * time.Millisecond)
	}
}

// heartbeat sends one heartbeat and stores the reply. A reply that arrives while
// the host is paused takes effect only once it resumes.
func (h *host) heartbeat(ctx context.Context) {
	h.cl.mu.Lock()
	paused, sent := h.paused || h.dropsHeartbeats, time.Now()
	args := &controlrpc.HeartbeatArgs{Host: h.info}
	for id := range h.activeLeases() {
		if s := h.cl.servers["at-"+id]; h.serversUnreachable || s.down && time.Since(s.downSince) >= 500*time.Millisecond {
			args.Suspects = append(args.Suspects, id)
		}
	}
	h.cl.mu.Unlock()
	if paused {
		return
	}
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := h.client.Heartbeat(call, args)
	if err != nil || reply.Kind != errkind.OK {
		return
	}
	h.cl.mu.Lock()
	defer h.cl.mu.Unlock()
	if h.dropsReplies {
		return
	}
	h.reply, h.grantedUntil = *reply, sent.Add(reply.TTL)
}

// activeLeases returns the servers whose lease the host acts on now. The value
// reports whether it acts as the owner of the primary. The caller holds cl.mu.
func (h *host) activeLeases() map[string]bool {
	out := make(map[string]bool)
	if h.paused || !time.Now().Before(h.grantedUntil) {
		return out
	}
	for _, l := range h.reply.Leases {
		if l.Epoch > h.revokedEpochs[l.Server] {
			out[l.Server] = l.Primary && l.Term > h.revokedTerms[l.Server]
		}
	}
	return out
}

// view returns the state of the leader.
func (cl *cluster) view() *control.View {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.controls[max(cl.leader, 0)].Machine().View()
}

// primary returns the current primary of a group, empty if there is none.
func (cl *cluster) primary(group string) string { return cl.view().Groups[group].Primary }

// owners returns every host that acts for the server.
func (cl *cluster) owners(id string) []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []string
	for _, h := range cl.hosts {
		if _, ok := h.activeLeases()[id]; ok {
			out = append(out, h.info.ID+"/"+h.info.Incarnation)
		}
	}
	return out
}

// eventually fails the test if cond does not hold within limit.
func (cl *cluster) eventually(limit time.Duration, what string, cond func() bool) {
	cl.t.Helper()
	for end := time.Now().Add(limit); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			cl.t.Fatalf("not within %v: %s; groups %v, leases %v", limit, what, cl.view().Groups, cl.view().Leases)
		}
	}
}

// withLock calls f with cl.mu held.
func (cl *cluster) withLock(f func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	f()
}

// allFollow reports whether every server of a steady group that is up has been
// ordered to follow the primary.
func (cl *cluster) allFollow(group string) bool {
	v := cl.view()
	g := v.Groups[group]
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, id := range v.GroupServers(group) {
		s := cl.servers["at-"+id]
		if !s.down && (s.term != g.Term || (id != g.Primary && s.follows != "at-"+g.Primary)) {
			return false
		}
	}
	return g.Phase == controlrpc.PhaseSteady
}

// stop ends all goroutines, as synctest requires.
func (cl *cluster) stop() {
	cl.mu.Lock()
	hosts := maps.Clone(cl.hosts)
	cl.leader = -1
	cl.mu.Unlock()
	for _, h := range hosts {
		h.cancel()
	}
	if cl.stopTraffic != nil {
		cl.stopTraffic()
	}
	cl.running.Wait()
	for _, c := range cl.controls {
		c.OnLeader(false, 0)
		if err := c.Stop(context.Background()); err != nil {
			cl.t.Errorf("stopping: %v", err)
		}
	}
}

// config returns a configuration with one group.
func config(members int) string {
	return fmt.Sprintf("[[database_group]]\nname = \"orders\"\nmembers = %d\n", members)
}
