package control

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rs/zerolog"
)

// settleTime is how long a host has to be up before leases move to it only
// for a better placement. Hosts that restart again and again get none.
const settleTime = 5 * time.Second

// planEvery is how often the leader plans without a change of the state, which
// finds hosts that have run out. One plan takes tens of milliseconds for
// 30,000 servers.
const planEvery = 200 * time.Millisecond

// maxBatch limits the commands of one log entry.
const maxBatch = 512

// Assigner decides which entry host owns each backend server and moves
// leases. It runs during one leadership; what the next leader needs is in the
// replicated state.
type Assigner struct {
	opts     Options
	log      *Log
	machine  *Machine
	sessions *Sessions
	logger   zerolog.Logger

	wake chan struct{} // a lease was released
	// lost is told of a primary whose owner has run out. Nobody observes that
	// primary until the next owner has its lease.
	lost func(group string)
	// unreached is filled by Failover.
	unreached *unreached

	mu       sync.Mutex
	releases map[string]*release // of revoking leases, by server id; guarded by mu
}

// release is the progress of one revoking lease.
type release struct {
	epoch uint64
	done  bool // the holder has let go or has run out
}

func newAssigner(opts Options, log *Log, machine *Machine, sessions *Sessions, lost func(group string), unreached *unreached) *Assigner {
	return &Assigner{
		opts: opts, log: log, machine: machine, sessions: sessions,
		logger:    opts.Logger.With().Str("part", "assigner").Logger(),
		wake:      make(chan struct{}, 1),
		lost:      lost,
		unreached: unreached,
		releases:  make(map[string]*release),
	}
}

// run works until ctx ends, which is the end of the leadership.
func (a *Assigner) run(ctx context.Context) {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		changed := a.machine.Changed()
		a.step(ctx, &group)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-a.wake:
		case <-tick.C:
		}
	}
}

// step plans once and carries out what can be done now.
func (a *Assigner) step(ctx context.Context, group *sync.WaitGroup) {
	v := a.machine.View()
	plan := makePlan(v, a.usable, a.sessions.Live, a.settled, a.unreached.avoid, !a.sessions.Complete())
	var commands []Command
	for _, l := range plan.Revoke {
		commands = append(commands, Command{Revoke: &RevokeLease{Server: l.Server, Epoch: l.Epoch}})
		if g := v.Groups[v.Servers[l.Server].Group]; g.Primary == l.Server && !a.sessions.Live(holder{l.Host, l.Incarnation}) {
			a.lost(g.Name)
		}
	}
	for server, to := range plan.Target {
		l, ok := v.Leases[server]
		if ok && !a.released(ctx, v, server, group) {
			continue
		}
		commands = append(commands, Command{Assign: &AssignLease{
			Server: server, Epoch: l.Epoch, Host: to.host, Incarnation: to.incarnation,
		}})
	}
	for len(commands) > 0 && ctx.Err() == nil {
		n := min(len(commands), maxBatch)
		results, err := a.log.propose(ctx, commands[:n]...)
		if err != nil {
			if errkind.Of(err) != errkind.NotLeader {
				a.logger.Warn().Err(err).Int("commands", n).Msg("lease changes were not confirmed; planning again")
			}
			return
		}
		a.count(commands[:n], results)
		commands = commands[n:]
	}
}

// count counts the commands that changed the state.
func (a *Assigner) count(commands []Command, results []Result) {
	for i, r := range results {
		switch {
		case r.Kind != errkind.OK:
		case commands[i].Assign != nil:
			a.opts.meters.assigned.Inc(1)
		case commands[i].Revoke != nil:
			a.opts.meters.revoked.Inc(1)
		}
	}
}

// released reports whether the holder of a revoking lease has let go, and
// starts to ask it on the first call for an epoch.
func (a *Assigner) released(ctx context.Context, v *View, server string, group *sync.WaitGroup) bool {
	l := v.Leases[server]
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.releases[server]; r != nil && r.epoch == l.Epoch {
		return r.done
	}
	r := &release{epoch: l.Epoch}
	a.releases[server] = r
	w := &letGo{
		opts: a.opts, machine: a.machine, sessions: a.sessions,
		holder:   holder{l.Host, l.Incarnation},
		unlisted: time.Now(),
		args:     ownerrpc.RevokeArgs{Server: server, Epoch: l.Epoch},
	}
	group.Go(func() {
		if w.wait(ctx) != nil {
			return
		}
		a.mu.Lock()
		r.done = true
		a.mu.Unlock()
		select {
		case a.wake <- struct{}{}:
		default:
		}
	})
	return false
}

func (a *Assigner) usable(h holder) bool {
	return a.sessions.Known(h) && a.sessions.Live(h)
}

func (a *Assigner) settled(h holder) bool { return a.sessions.Since(h) >= settleTime }
