package control

import (
	"context"
	"sync"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Control is the control part of one control host. Apply, Snapshot, Restore
// and OnLeader are handed to the log when it is created; Start then hands the
// log to Control.
type Control struct {
	opts    Options
	machine *Machine
	wake    chan struct{} // leading or log has changed

	mu      sync.Mutex
	log     *Log
	leading bool
	term    uint64 // of the log, grows with each leadership
	current *leadership
	cancel  context.CancelFunc // ends run
	done    chan struct{}      // run has returned
}

// New returns a Control that does nothing until Start.
func New(opts Options) *Control {
	return &Control{opts: opts.withDefaults(), machine: NewMachine(), wake: make(chan struct{}, 1)}
}

// Apply carries out one entry of the log.
func (c *Control) Apply(index uint64, entry []byte) []byte { return c.machine.Apply(index, entry) }

// Snapshot returns the replicated state.
func (c *Control) Snapshot() []byte { return c.machine.Snapshot() }

// Restore replaces the replicated state.
func (c *Control) Restore(snapshot []byte) error { return c.machine.Restore(snapshot) }

// Machine returns the replicated state for reading.
func (c *Control) Machine() *Machine { return c.machine }

// Service returns the rpc service, to be registered as "Control".
func (c *Control) Service() *Service { return &Service{c: c} }

// OnLeader tells that this host became or stopped being the leader of the
// log. It does not block. A leadership that ends stops answering at once.
func (c *Control) OnLeader(leading bool, term uint64) {
	c.mu.Lock()
	c.leading, c.term = leading, term
	c.current = nil
	c.mu.Unlock()
	c.signal()
}

// Start begins to work in the background.
func (c *Control) Start(log Log) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log, c.cancel, c.done = &log, cancel, make(chan struct{})
	go c.run(ctx, c.done)
}

// Stop is a planned stop: it hands the leadership to another host, so that
// heartbeats are answered without a pause, and then ends all work. It always
// ends the work; the error tells that the leadership was not handed over.
func (c *Control) Stop(ctx context.Context) error {
	c.mu.Lock()
	log, cancel, done := c.log, c.cancel, c.done
	c.mu.Unlock()
	if log == nil {
		return nil
	}
	var err error
	if log.IsLeader() {
		err = log.TransferLeadership(ctx)
	}
	cancel()
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "stopping control")
	}
	return nil
}

func (c *Control) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run starts and ends leaderships until ctx ends.
func (c *Control) run(ctx context.Context, done chan struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		c.mu.Lock()
		leading, term := c.leading, c.term
		c.mu.Unlock()
		if leading {
			c.leadOnce(ctx, term)
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.wake:
		}
	}
}

// leadOnce serves the leadership of one term of the log until it ends.
func (c *Control) leadOnce(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Everything that earlier leaders committed must be applied before the
	// first answer, and the sessions start after that.
	if err := c.barrier(ctx, term); err != nil {
		return
	}
	l := newLeadership(ctx, c.opts, c.log, c.machine)
	c.mu.Lock()
	if !c.leading || c.term != term {
		c.mu.Unlock()
		return
	}
	c.current = l
	c.mu.Unlock()
	c.opts.meters.leads.Update(1)
	defer c.opts.meters.leads.Update(0)
	c.opts.Logger.Info().Uint64("log_term", term).Msg("this control host leads")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run()
	}()
	for c.leads(term) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.wake:
		}
	}
	c.mu.Lock()
	if c.current == l {
		c.current = nil
	}
	c.mu.Unlock()
	cancel()
	<-ended
	c.opts.Logger.Info().Uint64("log_term", term).Msg("this control host no longer leads")
}

// barrier repeats ReadBarrier until it succeeds or the leadership ends.
func (c *Control) barrier(ctx context.Context, term uint64) error {
	for {
		call, cancel := context.WithTimeout(ctx, proposeLimit)
		err := c.log.ReadBarrier(call)
		cancel()
		if err == nil {
			return nil
		}
		if err := sleep(ctx, c.opts.Tick); err != nil {
			return err
		}
		if !c.leads(term) {
			return err
		}
	}
}

func (c *Control) leads(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading && c.term == term
}

// lead returns the leadership of this host, nil if it has none.
func (c *Control) lead() *leadership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *Control) leaderAddress() (string, bool) {
	c.mu.Lock()
	log := c.log
	c.mu.Unlock()
	if log == nil {
		return "", false
	}
	return log.Leader()
}
