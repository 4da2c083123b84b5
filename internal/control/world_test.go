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
	errSilent = errors.New("no answer")
	errFenced = errors.New("fenced at a greater term")
)

// controlView is the state at one control host.
type controlView = control.View

// world simulates control hosts with one log, entry hosts and backend servers
// in one synctest bubble. All fields are guarded by mu.
type world struct {
	t        testing.TB
	mu       sync.Mutex
	controls []*control.Control
	leader   int
	lag      map[string]bool // servers that receive nothing
	noLease  bool            // the leader has lost its quorum and does not know yet
	term     uint64
	index    uint64             // of the last log entry
	servers  map[string]*server // by address
	hosts    map[string]*host   // by address
	// before is called before every call of a member or owner and before every
	// proposal; an error replaces the call.
	before func(step string) error
	// after is called when a proposal was applied; an error replaces its answer.
	after   func(step string) error
	running sync.WaitGroup // entry hosts and traffic
	// endTraffic is set by startTraffic.
	endTraffic context.CancelFunc
}

// server is a backend server.
type server struct {
	id, address string
	down        bool
	lost        time.Time // since when it is down
	term        uint64
	primary     bool
	received    logpos.Position
	from        logpos.Position // received before its last promotion
	follows     string
}

// host is an entry host. It acts on a lease only by the rules of the design.
type host struct {
	w         *world
	info      controlrpc.Host
	client    *controlrpc.Client
	paused    bool // the process is stopped, and with it its heartbeats
	silent    bool // it does not answer calls of the owner service
	mute      bool // its heartbeats are lost
	blind     bool // it does not reach its backend servers
	deaf      bool // replies to its heartbeats are lost
	reply     controlrpc.HeartbeatReply
	until     time.Time
	epochs    map[string]uint64 // revoked up to, by server
	roles     map[string]uint64 // revoked up to, by server
	cancelled context.CancelFunc
}

func newWorld(t testing.TB, controls int, opts control.Options) *world {
	w := &world{t: t, leader: -1, servers: make(map[string]*server), hosts: make(map[string]*host), lag: make(map[string]bool)}
	opts.Members = control.Members{
		Status: func(ctx context.Context, address string) (control.MemberStatus, error) {
			return w.member(ctx, "status", address, func(*server) error { return nil })
		},
		Fence: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return w.member(ctx, "fence", address, func(s *server) error {
				s.primary = s.primary && term <= s.term
				s.term = max(s.term, term)
				return nil
			})
		},
		Promote: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return w.member(ctx, "promote", address, func(s *server) error {
				if term < s.term {
					return errFenced
				}
				if !s.primary {
					s.from = s.received
					s.received = logpos.Position{Term: term, LSN: s.received.LSN + 1}
				}
				s.term, s.primary = term, true
				return nil
			})
		},
		Follow: func(ctx context.Context, address, primary string, term uint64) (control.MemberStatus, error) {
			return w.member(ctx, "follow", address, func(s *server) error {
				if term < s.term {
					return errFenced
				}
				s.term, s.primary, s.follows = term, false, primary
				if !w.lag[s.id] {
					s.received = w.servers[primary].received
				}
				return nil
			})
		},
	}
	opts.Revoke = w.revoke
	for i := range controls {
		c := control.New(opts)
		c.Start(w.log(i))
		w.controls = append(w.controls, c)
	}
	return w
}

// log returns the log as one control host sees it.
func (w *world) log(i int) control.Log {
	leads := func() (ok bool) {
		w.locked(func() { ok = w.leader == i })
		return ok
	}
	return control.Log{
		Propose: func(ctx context.Context, entry []byte) ([]byte, error) {
			time.Sleep(2 * time.Millisecond)
			step := control.StepOf(entry)
			if w.call("propose "+step) != nil || ctx.Err() != nil || !leads() {
				return nil, errkind.New(errkind.NotLeader, "not the leader")
			}
			var index uint64
			w.locked(func() {
				w.index++
				index = w.index
			})
			var out []byte
			for j, c := range w.controls {
				if r := c.Apply(index, entry); j == i {
					out = r
				}
			}
			var after func(string) error
			if w.locked(func() { after = w.after }); after != nil && after(step) != nil {
				return nil, errkind.New(errkind.OutcomeUnknown, "the answer was lost")
			}
			return out, nil
		},
		IsLeader: leads,
		LeaseValid: func() (ok bool) {
			w.locked(func() { ok = w.leader == i && !w.noLease })
			return ok
		},
		ReadBarrier: func(ctx context.Context) error { return ctx.Err() },
		Leader: func() (string, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return fmt.Sprint("control", w.leader), w.leader >= 0
		},
		TransferLeadership: func(context.Context) error {
			w.lead((i + 1) % len(w.controls))
			return nil
		},
	}
}

// lead makes another control host the leader.
func (w *world) lead(i int) {
	w.mu.Lock()
	old := w.leader
	w.leader = i
	w.term++
	term := w.term
	w.mu.Unlock()
	if old >= 0 {
		w.controls[old].OnLeader(false, term)
	}
	w.controls[i].OnLeader(true, term)
}

// call asks the test whether a step fails.
func (w *world) call(step string) error {
	var before func(string) error
	if w.locked(func() { before = w.before }); before != nil {
		return before(step)
	}
	return nil
}

func (w *world) member(ctx context.Context, step, address string, act func(*server) error) (control.MemberStatus, error) {
	time.Sleep(time.Millisecond)
	err := w.call(step + " " + address)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[address]
	if err != nil || s.down {
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return control.MemberStatus{}, errSilent
	}
	if err := act(s); err != nil {
		return control.MemberStatus{}, err
	}
	return control.MemberStatus{ServerID: s.id, Term: s.term, Primary: s.primary, Received: s.received, Applied: s.received}, nil
}

func (w *world) revoke(ctx context.Context, address string, args *ownerrpc.RevokeArgs) (*ownerrpc.RevokeReply, error) {
	time.Sleep(time.Millisecond)
	err := w.call("revoke " + address)
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[address]
	if err != nil || h.paused || h.silent {
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return nil, errSilent
	}
	h.epochs[args.Server] = max(h.epochs[args.Server], args.Epoch)
	h.roles[args.Server] = max(h.roles[args.Server], args.Term)
	return &ownerrpc.RevokeReply{Confirmed: true}, nil
}

// rpc calls the service of a control host as net/rpc would.
func (w *world) rpc(_ context.Context, address, method string, args, reply any) error {
	var i int
	if _, err := fmt.Sscanf(address, "control%d", &i); err != nil {
		return err
	}
	_, name, _ := strings.Cut(method, ".")
	call := reflect.ValueOf(w.controls[i].Service()).MethodByName(name)
	out := call.Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})
	err, _ := out[0].Interface().(error)
	return err
}

func (w *world) client() *controlrpc.Client {
	c := &controlrpc.Client{Call: w.rpc}
	for i := range w.controls {
		c.Addresses = append(c.Addresses, fmt.Sprint("control", i))
	}
	return c
}

// addServer announces a server; position is that of its last record.
func (w *world) addServer(id, group, centre string, received logpos.Position) {
	s := &server{id: id, address: "at-" + id, received: received}
	w.locked(func() { w.servers[s.address] = s })
	reply, err := w.client().Announce(w.t.Context(), &controlrpc.AnnounceArgs{Server: controlrpc.Server{
		ID: id, Group: group, Address: s.address, DataCentre: centre, Slots: 3, Connections: 25,
	}})
	w.must("announce", reply.Answer, err)
}

// must fails the test if a request failed.
func (w *world) must(what string, answer controlrpc.Answer, err error) {
	w.t.Helper()
	if err != nil || answer.Kind != errkind.OK {
		w.t.Errorf("%s: %v %v", what, err, answer)
	}
}

// apply replaces the configuration by one group with that many members.
func (w *world) apply(members int) {
	reply, err := w.client().Apply(w.t.Context(), &controlrpc.ApplyArgs{
		ChangeID: fmt.Sprint(time.Now().UnixNano()), Operator: "op", BaseVersion: w.view().ConfigVersion, Text: config(members),
	})
	w.must("apply", reply.Answer, err)
}

// addHost starts an entry host that sends heartbeats every 300 ms.
func (w *world) addHost(id, incarnation, centre, region string) *host {
	ctx, cancel := context.WithCancel(w.t.Context())
	h := &host{
		w: w, client: w.client(), epochs: make(map[string]uint64), roles: make(map[string]uint64), cancelled: cancel,
		info: controlrpc.Host{ID: id, Incarnation: incarnation, Address: "at-" + id, DataCentre: centre, Region: region},
	}
	w.locked(func() { w.hosts[h.info.Address] = h })
	w.running.Go(func() { h.run(ctx) })
	return h
}

func (h *host) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.beat(ctx)
		time.Sleep(300 * time.Millisecond)
	}
}

// beat sends one heartbeat and takes over the reply. A reply that arrives
// while the host is paused takes effect only once it goes on.
func (h *host) beat(ctx context.Context) {
	h.w.mu.Lock()
	paused, sent := h.paused || h.mute, time.Now()
	args := &controlrpc.HeartbeatArgs{Host: h.info}
	for id := range h.acts() {
		if s := h.w.servers["at-"+id]; h.blind || s.down && time.Since(s.lost) >= 500*time.Millisecond {
			args.Suspects = append(args.Suspects, id)
		}
	}
	h.w.mu.Unlock()
	if paused {
		return
	}
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := h.client.Heartbeat(call, args)
	if err != nil || reply.Kind != errkind.OK {
		return
	}
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	if h.deaf {
		return
	}
	h.reply, h.until = *reply, sent.Add(reply.TTL)
}

// acts returns the servers whose lease the host acts on now, with whether it
// acts as the owner of the primary. The caller holds w.mu.
func (h *host) acts() map[string]bool {
	out := make(map[string]bool)
	if h.paused || !time.Now().Before(h.until) {
		return out
	}
	for _, l := range h.reply.Leases {
		if l.Epoch > h.epochs[l.Server] {
			out[l.Server] = l.Primary && l.Term > h.roles[l.Server]
		}
	}
	return out
}

// view returns the state at the leader.
func (w *world) view() *control.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.controls[max(w.leader, 0)].Machine().View()
}

// primary returns the primary of a group, empty if there is none now.
func (w *world) primary(group string) string { return w.view().Groups[group].Primary }

// owners returns every host that acts for the server.
func (w *world) owners(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, h := range w.hosts {
		if _, ok := h.acts()[id]; ok {
			out = append(out, h.info.ID+"/"+h.info.Incarnation)
		}
	}
	return out
}

// eventually fails the test if cond does not hold within limit.
func (w *world) eventually(limit time.Duration, what string, cond func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("not within %v: %s; groups %v, leases %v", limit, what, w.view().Groups, w.view().Leases)
		}
	}
}

// locked calls f with w.mu held.
func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// allFollow reports whether every server of a steady group that is up has been
// told to follow the primary.
func (w *world) allFollow(group string) bool {
	v := w.view()
	g := v.Groups[group]
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range v.GroupServers(group) {
		s := w.servers["at-"+id]
		if !s.down && (s.term != g.Term || (id != g.Primary && s.follows != "at-"+g.Primary)) {
			return false
		}
	}
	return g.Phase == controlrpc.PhaseSteady
}

// stop ends everything, which synctest requires.
func (w *world) stop() {
	w.mu.Lock()
	hosts := maps.Clone(w.hosts)
	w.leader = -1
	w.mu.Unlock()
	for _, h := range hosts {
		h.cancelled()
	}
	if w.endTraffic != nil {
		w.endTraffic()
	}
	w.running.Wait()
	for _, c := range w.controls {
		c.OnLeader(false, 0)
		if err := c.Stop(context.Background()); err != nil {
			w.t.Errorf("stopping: %v", err)
		}
	}
}

// config declares one group.
func config(members int) string {
	return fmt.Sprintf("[[database_group]]\nname = \"orders\"\nmembers = %d\n", members)
}
