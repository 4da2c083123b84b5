package directory

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/arbutusring/arbutusring/internal/statement"
)

const (
	// tick is how often the leader looks at the groups. Detection of a lost
	// primary takes FailAfter, so a finer step would gain little.
	tick = 50 * time.Millisecond
	// proposeLimit is shorter than the timeout of the client, so that the
	// client learns the kind of error.
	proposeLimit = time.Second
)

// leadership is everything that runs while this host is the leader. It starts
// with empty memory; the replicated state carries what has to survive.
type leadership struct {
	opts     Options
	log      *control.Log
	machine  *Machine
	token    uint64 // term of the log, grows with each leadership
	sessions *sessions
	ctx      context.Context // ends with the leadership
	group    sync.WaitGroup

	mu       sync.Mutex
	watches  map[string]*watch // by group
	switches map[string]bool   // groups with a running change
}

func newLeadership(ctx context.Context, opts Options, log *control.Log, m *Machine, token uint64) *leadership {
	return &leadership{
		opts: opts, log: log, machine: m, token: token, ctx: ctx,
		sessions: newSessions(opts.TTL, opts.Drift),
		watches:  make(map[string]*watch),
		switches: make(map[string]bool),
	}
}

// run works until the leadership ends.
func (l *leadership) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for l.ctx.Err() == nil {
		changed := l.machine.Changed()
		l.look(l.machine.State())
		l.recordHosts(l.machine.State())
		select {
		case <-ticker.C:
		case <-changed:
		case <-l.ctx.Done():
		}
	}
	l.group.Wait()
}

// hosts returns the number of entry hosts that share the connections of the
// servers. Until every host has had the time to report, an earlier leader knows
// it better: after a power loss the first hosts to return would take themselves
// for the only ones and flood the servers.
func (l *leadership) hosts() int {
	n := l.sessions.live()
	if !l.sessions.settled() {
		n = max(n, l.machine.State().Hosts)
	}
	return n
}

// hostsChange is the relative change of the number of entry hosts that is logged.
const hostsChange = 0.1

// recordHosts logs the number of entry hosts for the next leader.
func (l *leadership) recordHosts(s directoryrpc.State) {
	n := l.sessions.live()
	if !l.sessions.settled() || n == 0 || math.Abs(float64(n-s.Hosts)) <= hostsChange*float64(s.Hosts) {
		return
	}
	err := l.propose(Command{Hosts: &SetHosts{Count: n}})
	l.opts.Events.Event("hosts_counted").Int("hosts", n).Int("before", s.Hosts).Err(err).Msg("the number of entry hosts has changed")
}

// look starts what is due in each group.
func (l *leadership) look(s directoryrpc.State) {
	byGroup := make(map[string][]directoryrpc.Server)
	for _, srv := range s.Servers {
		byGroup[srv.Group] = append(byGroup[srv.Group], srv)
	}
	for name, servers := range byGroup {
		g, known := s.Groups[name]
		switch {
		case !known:
			l.adopt(name, servers)
		case g.Switching:
			l.startSwitch(g, causeResumed)
		default:
			if c := l.watch(name).judge(l, s, g, servers); c != causeNone {
				l.startSwitch(g, c)
			}
		}
	}
}

// adopt names the server that leads already as the primary of a new group.
func (l *leadership) adopt(name string, servers []directoryrpc.Server) {
	for _, srv := range servers {
		if srv.Role != statement.Primary {
			continue
		}
		err := l.propose(Command{Group: &SetGroup{Group: directoryrpc.Group{Name: name, Primary: srv.ID}}})
		l.opts.Events.Event("primary_adopted").Str("group", name).Str("server", srv.ID).Err(err).Msg("the announced primary is named")
		return
	}
}

func (l *leadership) watch(group string) *watch {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.watches[group]
	if w == nil {
		w = new(watch)
		l.watches[group] = w
	}
	return w
}

func (l *leadership) startSwitch(g directoryrpc.Group, c cause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.switches[g.Name] {
		return
	}
	l.switches[g.Name] = true
	w := &switchover{lead: l, name: g.Name, cause: c, refused: make(map[string]time.Time)}
	l.group.Go(func() {
		w.run()
		l.mu.Lock()
		delete(l.switches, g.Name)
		l.mu.Unlock()
	})
}

// propose carries out a command through the log.
func (l *leadership) propose(c Command) error {
	ctx, cancel := context.WithTimeout(l.ctx, proposeLimit)
	defer cancel()
	return propose(ctx, l.log, c)
}

func propose(ctx context.Context, log *control.Log, c Command) error {
	data, err := log.Propose(ctx, EncodeCommand(c))
	if err != nil {
		return err
	}
	var r result
	if err := msgpack.Decode(data, &r, "the result of a log entry"); err != nil {
		return err
	}
	return r.err()
}

// sleep waits for d; it is false if the leadership ended meanwhile.
func (l *leadership) sleep(d time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
