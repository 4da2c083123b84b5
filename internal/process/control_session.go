package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/policy"
	"github.com/rs/zerolog"
)

const (
	// heartbeatInterval allows for three lost heartbeats within the lease TTL of
	// 1.2 s.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout is short, because a late answer renews little of the TTL:
	// it counts from the time at which the heartbeat was sent.
	heartbeatTimeout = 600 * time.Millisecond
	// watchWait is how long control holds a long poll without a change.
	watchWait = 2 * time.Second
	// watchTimeout bounds a long poll whose answer is lost.
	watchTimeout = 3 * time.Second
	// watchRetryDelay keeps failing long polls from spinning.
	watchRetryDelay = 50 * time.Millisecond
	// handoverTimeout bounds how long a planned stop waits for control to move
	// the leases, or for a control leader to transfer leadership. Nothing runs
	// under the leases any more, so they may also expire; the other control hosts
	// can also elect a leader without a transfer.
	handoverTimeout = 2 * time.Second
	// suspectPollInterval is how often the list of unreachable servers is checked.
	suspectPollInterval = 25 * time.Millisecond
	// drainPollInterval is how often a stopping process checks whether it still
	// holds leases.
	drainPollInterval = 20 * time.Millisecond
)

// controlSession keeps an entry process in contact with control: one goroutine
// sends the heartbeats that renew its leases, another one watches the replicated
// state, and a third one reports unreachable servers early.
type controlSession struct {
	p        *Entry
	state    atomic.Pointer[controlrpc.State] // in force on this host, never nil
	draining atomic.Bool
	wake     chan struct{} // requests an immediate heartbeat

	heartbeats contact // used by loopHeartbeat only
	watches    contact // used by loopWatch only

	cfg  *policy.Config // parsed from text; both are used by loopWatch only
	text string
}

func newControlSession(p *Entry) *controlSession {
	s := &controlSession{p: p, wake: make(chan struct{}, 1)}
	s.state.Store(new(controlrpc.State))
	return s
}

// loopHeartbeat sends heartbeats until ctx ends.
func (s *controlSession) loopHeartbeat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		s.heartbeat(ctx)
		select {
		case <-ticker.C:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
	}
}

// heartbeat sends one heartbeat. The TTL of the leases and the age of the state
// count from the time before it is sent.
func (s *controlSession) heartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	state := s.state.Load()
	host := s.p.host
	host.Draining = s.draining.Load()
	sentAt := time.Now()
	reply, err := s.p.control.Heartbeat(ctx, &controlrpc.HeartbeatArgs{
		Host:          host,
		StateVersion:  state.Version,
		ConfigVersion: state.ConfigVersion,
		Suspects:      s.p.owner.Suspects(),
	})
	if err == nil {
		err = kindError(reply.Kind, reply.Detail)
	}
	s.heartbeats.record(s.p.log, "heartbeat", err)
	if err != nil {
		return
	}
	s.p.owner.SetLeases(sentAt, reply)
	if reply.StateVersion <= state.Version {
		s.p.entry.RecordConfirmation(sentAt)
	}
}

// contact logs when one kind of call to control begins to fail, and when it
// succeeds again.
type contact struct{ failing bool }

// record records the result of a call.
func (c *contact) record(log zerolog.Logger, call string, err error) {
	if failing := err != nil; failing != c.failing {
		c.failing = failing
		if failing {
			log.Warn().Err(err).Str("event", "control_lost").Str("call", call).Msg("calls to control have begun to fail")
		} else {
			log.Info().Str("event", "control_regained").Str("call", call).Msg("calls to control succeed again")
		}
	}
}

// loopSuspects requests an immediate heartbeat when a server becomes
// unreachable, which shortens a failover by half a heartbeat interval.
func (s *controlSession) loopSuspects(ctx context.Context) {
	lastCount := 0
	for ctx.Err() == nil {
		count := len(s.p.owner.Suspects())
		if count > lastCount {
			s.requestHeartbeat()
		}
		lastCount = count
		pause(ctx, suspectPollInterval)
	}
}

// loopWatch applies each new state until ctx ends.
func (s *controlSession) loopWatch(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.watch(ctx) {
			pause(ctx, watchRetryDelay)
		}
	}
}

// watch sends one long poll and applies the change that it returns, if any. It
// reports whether the call was answered and the state could be applied.
func (s *controlSession) watch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	old := s.state.Load()
	sentAt := time.Now()
	reply, err := s.p.control.Watch(ctx, &controlrpc.WatchArgs{Since: old.Version, Wait: watchWait, Delta: true})
	if err == nil {
		err = kindError(reply.Kind, reply.Detail)
	}
	s.watches.record(s.p.log, "watch", err)
	if err != nil {
		return false
	}
	if state := reply.Merge(*old); state.Version > old.Version {
		return s.applyState(&state, sentAt)
	}
	return true
}

// applyState puts a state into force. If this release can't parse the
// configuration, the state in force is unchanged: the entry then gets no more
// confirmations and refuses work, which is safer than serving without the new
// configuration.
func (s *controlSession) applyState(state *controlrpc.State, sentAt time.Time) bool {
	cfg, err := s.parse(state.ConfigText)
	if err != nil {
		s.p.log.Error().Err(err).Uint64("version", state.ConfigVersion).Msg("configuration from control can't be parsed; keeping the state in force")
		return false
	}
	s.p.owner.SetState(*state, cfg)
	s.p.entry.SetState(*state, cfg)
	s.p.entry.RecordConfirmation(sentAt)
	s.state.Store(state)
	s.requestHeartbeat()
	return true
}

// parse parses a configuration text. It keeps the last result, because most
// changes of the state leave the text as it is, and parsing one of 10,000
// groups takes 54 ms.
func (s *controlSession) parse(text string) (*policy.Config, error) {
	if s.cfg != nil && text == s.text {
		return s.cfg, nil
	}
	cfg, err := policy.Parse("configuration", text)
	if err != nil {
		return nil, err
	}
	s.cfg, s.text = cfg, text
	return cfg, nil
}

// drain informs control that this host gives up its leases, and waits until it
// holds none. If there is no other host, it waits for the whole handoverTimeout.
func (s *controlSession) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	s.draining.Store(true)
	s.requestHeartbeat()
	for len(s.p.owner.Leases()) > 0 && ctx.Err() == nil {
		pause(ctx, drainPollInterval)
	}
}

// requestHeartbeat makes loopHeartbeat send a heartbeat at once.
func (s *controlSession) requestHeartbeat() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
