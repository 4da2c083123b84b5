package control

import (
	"context"
	"sync"
	"time"
)

// maxAnnouncementGap is the gap between two announcements above which the server
// may have been restarted. Servers announce themselves every second.
const maxAnnouncementGap = 3 * time.Second

// leadership holds the parts that run while this host is the leader. It starts
// with empty memory; everything that must survive a change of the leader is in
// the replicated state.
type leadership struct {
	log       *Log
	ctx       context.Context // ends with the leadership
	term      uint64          // term of the log
	sessions  *Sessions
	assigner  *Assigner
	failover  *Failover
	followers *Followers
	registrar *registrar
	cleaner   *cleaner
	start     time.Time

	mu        sync.Mutex
	announced map[string]time.Time // last announcement by server id; guarded by mu
}

func newLeadership(ctx context.Context, opts Options, log *Log, machine *Machine) *leadership {
	l := &leadership{log: log, ctx: ctx, start: time.Now(), announced: make(map[string]time.Time)}
	l.sessions = NewSessions(opts.TTL, opts.ClockDrift)
	if opts.disabled.leaderGracePeriod {
		l.sessions.start = time.Time{}
	}
	l.failover = newFailover(opts, log, machine, l.sessions)
	l.assigner = newAssigner(opts, log, machine, l.sessions, func(group string) {
		l.failover.Request(group, CauseSuspect)
	}, l.failover.unreachable)
	l.followers = newFollowers(opts, machine)
	l.registrar = newRegistrar(ctx, opts, log)
	l.cleaner = &cleaner{
		log: log, machine: machine, leadership: l,
		logger: opts.Logger.With().Str("part", "cleaner").Logger(),
	}
	return l
}

// run runs all parts until the leadership ends.
func (l *leadership) run() {
	var wg sync.WaitGroup
	wg.Go(func() { l.assigner.run(l.ctx) })
	wg.Go(func() { l.failover.run(l.ctx) })
	wg.Go(func() { l.followers.run(l.ctx) })
	wg.Go(func() { l.cleaner.run(l.ctx) })
	wg.Wait()
	l.registrar.wait()
}

// recordAnnouncement records an announcement. After a long gap it repeats the
// order to follow the primary, because the server may have been restarted.
func (l *leadership) recordAnnouncement(server string) {
	l.mu.Lock()
	last, ok := l.announced[server]
	l.announced[server] = time.Now()
	l.mu.Unlock()
	if ok && time.Since(last) > maxAnnouncementGap {
		l.followers.RepeatOrder(server)
	}
}

// sinceAnnouncement returns the time since the last announcement of a server,
// or since the start of the leadership if there was none.
func (l *leadership) sinceAnnouncement(server string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, ok := l.announced[server]; ok {
		return time.Since(last)
	}
	return time.Since(l.start)
}
