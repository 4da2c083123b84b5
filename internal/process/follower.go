package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

const (
	// heartbeatInterval leaves room for three lost heartbeats within the ttl
	// of 1.2 s.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout is short, because a heartbeat that is answered late
	// renews little of the ttl.
	heartbeatTimeout = 600 * time.Millisecond
	// watchWait bounds a long poll that brings no change.
	watchWait = 2 * time.Second
	// watchTimeout bounds a long poll whose answer is lost.
	watchTimeout = 3 * time.Second
	// watchPause keeps a failing long poll from spinning.
	watchPause = 50 * time.Millisecond
	// handoverLimit bounds the wait of a planned stop for control to move the
	// leases, and of a control leader to hand over. Nothing runs under the
	// leases any more, so they may also run out; the other control hosts may
	// also elect a leader themselves.
	handoverLimit = 2 * time.Second
	// suspectPoll is how often the unreachable servers are looked at.
	suspectPoll = 25 * time.Millisecond
	// drainPoll is how often a stopping process looks at its leases.
	drainPoll = 20 * time.Millisecond
)

// follower keeps an entry process up to date with control: one goroutine
// renews the session of the host, another waits for changes of the state.
type follower struct {
	p        *Entry
	state    atomic.Pointer[controlrpc.State] // in force here, never nil
	draining atomic.Bool
	wake     chan struct{} // asks for a heartbeat at once

	cfg  *policy.Config // of text; both are used by loopWatch only
	text string
}

func newFollower(p *Entry) *follower {
	f := &follower{p: p, wake: make(chan struct{}, 1)}
	f.state.Store(new(controlrpc.State))
	return f
}

// loopHeartbeat renews the session of the host until ctx ends.
func (f *follower) loopHeartbeat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		f.heartbeat(ctx)
		select {
		case <-ticker.C:
		case <-f.wake:
		case <-ctx.Done():
			return
		}
	}
}

// heartbeat sends one heartbeat. The time before it is sent is what the ttl of
// the leases and the age of the state count from.
func (f *follower) heartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	state := f.state.Load()
	host := f.p.host
	host.Draining = f.draining.Load()
	sentAt := time.Now()
	reply, err := f.p.control.Heartbeat(ctx, &controlrpc.HeartbeatArgs{
		Host:          host,
		StateVersion:  state.Version,
		ConfigVersion: state.ConfigVersion,
		Suspects:      f.p.owner.Suspects(),
	})
	if err != nil || reply.Kind != errkind.OK {
		f.p.log.Debug().Err(err).Msg("heartbeat was not answered")
		return
	}
	f.p.owner.SetLeases(sentAt, reply)
	if reply.StateVersion <= state.Version {
		f.p.entry.Confirmed(sentAt)
	}
}

// loopSuspects sends a heartbeat at once when a server becomes unreachable,
// which saves half a heartbeat interval of the time to a new primary.
func (f *follower) loopSuspects(ctx context.Context) {
	known := 0
	for ctx.Err() == nil {
		n := len(f.p.owner.Suspects())
		if n > known {
			f.poke()
		}
		known = n
		pause(ctx, suspectPoll)
	}
}

// loopWatch takes over each new state until ctx ends.
func (f *follower) loopWatch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.watch(ctx) {
			pause(ctx, watchPause)
		}
	}
}

// watch waits for one change and reports whether the call was answered.
func (f *follower) watch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	old := f.state.Load()
	sentAt := time.Now()
	reply, err := f.p.control.Watch(ctx, &controlrpc.WatchArgs{Since: old.Version, Wait: watchWait, Delta: true})
	if err != nil || reply.Kind != errkind.OK {
		return false
	}
	if state := reply.Merge(*old); state.Version > old.Version {
		return f.take(&state, sentAt)
	}
	return true
}

// take puts a state into force. A configuration that this release can't read
// leaves the state in force unchanged: the entry then runs out of confirmations
// and refuses work, which is better than guessing.
func (f *follower) take(state *controlrpc.State, sentAt time.Time) bool {
	cfg, err := f.parse(state.ConfigText)
	if err != nil {
		f.p.log.Error().Err(err).Uint64("version", state.ConfigVersion).Msg("configuration can't be read")
		return false
	}
	f.p.owner.SetState(*state, cfg)
	f.p.entry.SetState(*state, cfg)
	f.p.entry.Confirmed(sentAt)
	f.state.Store(state)
	f.poke()
	return true
}

// parse returns the configuration of a text. Most changes of the state leave
// the text as it is, and reading one of 10,000 groups takes 54 ms.
func (f *follower) parse(text string) (*policy.Config, error) {
	if f.cfg != nil && text == f.text {
		return f.cfg, nil
	}
	cfg, err := policy.Parse("configuration", text)
	if err != nil {
		return nil, err
	}
	f.cfg, f.text = cfg, text
	return cfg, nil
}

// drain tells control that this host gives up its leases, and waits until it
// holds none, which does not happen when there is no other host.
func (f *follower) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	f.draining.Store(true)
	f.poke()
	for len(f.p.owner.Leases()) > 0 && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
}

func (f *follower) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
