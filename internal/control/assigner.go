package control

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rs/zerolog"
)

// minHostUptime is how long a host must have sent heartbeats before leases move
// to it merely to improve the placement. It keeps such moves away from hosts
// that restart repeatedly.
const minHostUptime = 5 * time.Second

// planInterval is how often the leader plans even if the state has not changed,
// which detects hosts whose session has expired. One plan takes tens of
// milliseconds for 30,000 servers. Followers looks for due calls at the same
// interval.
const planInterval = 200 * time.Millisecond

// maxCommandsPerEntry limits the number of commands in one log entry.
const maxCommandsPerEntry = 512

// Assigner decides which entry host owns each backend server and moves
// leases. It lives for one leadership; everything that the next leader needs is
// in the replicated state.
type Assigner struct {
	opts     Options
	log      *Log
	machine  *Machine
	sessions *Sessions
	logger   zerolog.Logger

	wake chan struct{} // a lease was released
	// onOwnerExpired is called with the group of a primary whose owner's session
	// has expired. No host monitors that primary until it has a new owner.
	onOwnerExpired func(group string)
	// unreachable is filled by Failover.
	unreachable *unreachableReports

	mu       sync.Mutex
	releases map[string]*release // of revoking leases, by server id; guarded by mu
}

// release is the progress of one revoking lease.
type release struct {
	epoch uint64
	done  bool // the holder has released the lease, or its grant has expired
}

func newAssigner(opts Options, log *Log, machine *Machine, sessions *Sessions, onOwnerExpired func(group string), unreachable *unreachableReports) *Assigner {
	return &Assigner{
		opts: opts, log: log, machine: machine, sessions: sessions,
		logger:         opts.Logger.With().Str("part", "assigner").Logger(),
		wake:           make(chan struct{}, 1),
		onOwnerExpired: onOwnerExpired,
		unreachable:    unreachable,
		releases:       make(map[string]*release),
	}
}

// run plans and moves leases until ctx ends with the leadership.
func (a *Assigner) run(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		changed := a.machine.Changed()
		a.step(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-a.wake:
		case <-tick.C:
		}
	}
}

// step plans once, proposes the changes that can be made now and starts the
// release of revoking leases.
func (a *Assigner) step(ctx context.Context, wg *sync.WaitGroup) {
	v := a.machine.View()
	plan := makePlan(v, a.usable, a.sessions.Live, a.settled, a.unreachable.excludedHost, !a.sessions.GracePeriodOver())
	var commands []Command
	for _, l := range plan.Revoke {
		commands = append(commands, Command{Revoke: &RevokeLease{Server: l.Server, Epoch: l.Epoch}})
		if g := v.Groups[v.Servers[l.Server].Group]; g.Primary == l.Server && !a.sessions.Live(holder{l.Host, l.Incarnation}) {
			a.onOwnerExpired(g.Name)
		}
	}
	for server, to := range plan.Target {
		l, ok := v.Leases[server]
		if ok && !a.released(ctx, v, server, wg) {
			continue
		}
		commands = append(commands, Command{Assign: &AssignLease{
			Server: server, Epoch: l.Epoch, Host: to.host, Incarnation: to.incarnation,
		}})
	}
	for len(commands) > 0 && ctx.Err() == nil {
		n := min(len(commands), maxCommandsPerEntry)
		results, err := a.log.propose(ctx, commands[:n]...)
		if err != nil {
			if errkind.Of(err) != errkind.NotLeader {
				a.logger.Warn().Err(err).Int("commands", n).Msg("lease changes were not confirmed; planning again")
			}
			return
		}
		a.updateMetrics(commands[:n], results)
		commands = commands[n:]
	}
}

// updateMetrics updates the metrics for the commands that changed the state.
func (a *Assigner) updateMetrics(commands []Command, results []Result) {
	for i, r := range results {
		switch {
		case r.Kind != errkind.OK:
		case commands[i].Assign != nil:
			a.opts.metrics.leasesAssigned.Inc(1)
		case commands[i].Revoke != nil:
			a.opts.metrics.leasesRevoked.Inc(1)
		}
	}
}

// released reports whether the holder of a revoking lease no longer acts on it.
// The first call for an epoch starts the goroutine that waits for this.
func (a *Assigner) released(ctx context.Context, v *View, server string, wg *sync.WaitGroup) bool {
	l := v.Leases[server]
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.releases[server]; r != nil && r.epoch == l.Epoch {
		return r.done
	}
	r := &release{epoch: l.Epoch}
	a.releases[server] = r
	w := &releaseWaiter{
		opts: a.opts, machine: a.machine, sessions: a.sessions,
		holder:    holder{l.Host, l.Incarnation},
		revokedAt: time.Now(),
		args:      ownerrpc.RevokeArgs{Server: server, Epoch: l.Epoch},
	}
	wg.Go(func() {
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

// usable reports whether h may receive leases: it sends heartbeats to this
// leader, and its session has not expired.
func (a *Assigner) usable(h holder) bool {
	return a.sessions.HasHeartbeat(h) && a.sessions.Live(h)
}

// settled reports whether h has sent heartbeats for long enough to receive leases
// that only improve the placement.
func (a *Assigner) settled(h holder) bool { return a.sessions.HeartbeatsFor(h) >= minHostUptime }
