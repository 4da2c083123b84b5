package control

import (
	"context"
	"sync"

	"github.com/arbutusring/arbutusring/internal/leading"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/zeebo/errs"
)

// Control is the control service of one control host. Apply, Snapshot, Restore
// and OnLeader are passed to the log when it is created; Start then passes the
// log to Control.
type Control struct {
	opts    Options
	machine *Machine
	loop    *leading.Loop[leadership]

	mu  sync.Mutex
	log *Log // nil before Start
}

// New returns a Control that does nothing until Start.
func New(opts Options) *Control {
	c := &Control{opts: opts.withDefaults(), machine: NewMachine()}
	c.loop = leading.New(c.beginLeadership, c.run)
	return c
}

func (c *Control) beginLeadership(ctx context.Context, term uint64) *leadership {
	l := newLeadership(ctx, c.opts, c.startedLog(), c.machine)
	l.term = term
	return l
}

// run runs the parts of the leader until the leadership ends.
func (c *Control) run(l *leadership) {
	c.opts.metrics.leading.Update(1)
	defer c.opts.metrics.leading.Update(0)
	c.opts.Logger.Info().Uint64("log_term", l.term).Msg("this control host became the leader")
	l.run()
	c.opts.Logger.Info().Uint64("log_term", l.term).Msg("this control host is no longer the leader")
}

// Apply applies one entry of the log.
func (c *Control) Apply(index uint64, entry []byte) []byte { return c.machine.Apply(index, entry) }

// Snapshot returns the replicated state.
func (c *Control) Snapshot() []byte { return c.machine.Snapshot() }

// Restore replaces the replicated state.
func (c *Control) Restore(snapshot []byte) error { return c.machine.Restore(snapshot) }

// Machine returns the replicated state for reading.
func (c *Control) Machine() *Machine { return c.machine }

// Service returns the rpc service, to be registered as "Control".
func (c *Control) Service() *Service { return &Service{c: c} }

// OnLeader is called when this host becomes or stops being the leader of the
// log. It does not block. Once it has returned for the end of a leadership, the
// service answers errkind.NotLeader.
func (c *Control) OnLeader(isLeader bool, term uint64) { c.loop.OnLeader(isLeader, term) }

// Start starts the background work on the given log.
func (c *Control) Start(log Log) {
	c.mu.Lock()
	c.log = &log
	c.mu.Unlock()
	c.loop.Start(log.ReadBarrier)
}

// Stop transfers the leadership to another host, so that heartbeats are
// answered without interruption, and then stops the background work. The work
// also stops if the transfer fails; the error reports the failed transfer.
func (c *Control) Stop(ctx context.Context) error {
	log := c.startedLog()
	if log == nil {
		return nil
	}
	var err error
	if log.IsLeader() {
		err = log.TransferLeadership(ctx)
	}
	if err = errs.Combine(err, c.loop.Stop(ctx)); err != nil {
		return errkind.Wrap(errkind.Internal, err, "stopping control")
	}
	return nil
}

// startedLog returns the log, nil before Start.
func (c *Control) startedLog() *Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log
}

// currentLeadership returns the leadership of this host, nil if it is not the
// leader.
func (c *Control) currentLeadership() *leadership { return c.loop.Current() }

func (c *Control) leaderAddress() (string, bool) {
	log := c.startedLog()
	if log == nil {
		return "", false
	}
	return log.Leader()
}
