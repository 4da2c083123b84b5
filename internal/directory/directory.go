package directory

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// Directory is the directory part of one control host. Apply, Snapshot,
// Restore and OnLeader are handed to the log when it is created; Start then
// hands the log to the Directory.
type Directory struct {
	opts    Options
	machine *Machine
	wake    chan struct{} // leading or log has changed
	leads   metrics.Gauge

	mu      sync.Mutex
	log     *control.Log
	leading bool
	term    uint64 // of the log, grows with each leadership
	current *leadership
	cancel  context.CancelFunc // ends run
	done    chan struct{}      // run has returned
}

// New returns a Directory that does nothing until Start.
func New(opts Options) *Directory {
	opts = opts.withDefaults()
	return &Directory{
		opts: opts, machine: NewMachine(), wake: make(chan struct{}, 1),
		leads: metrics.GetOrRegisterGauge("directory.leads", opts.Registry),
	}
}

// Apply carries out one entry of the log.
func (d *Directory) Apply(index uint64, entry []byte) []byte { return d.machine.Apply(index, entry) }

// Snapshot returns the replicated state.
func (d *Directory) Snapshot() []byte { return d.machine.Snapshot() }

// Restore replaces the replicated state.
func (d *Directory) Restore(snapshot []byte) error { return d.machine.Restore(snapshot) }

// State returns the replicated state as this host has applied it.
func (d *Directory) State() directoryrpc.State { return d.machine.State() }

// Service returns the rpc service, to be registered as "Directory".
func (d *Directory) Service() *Service { return &Service{d: d} }

// OnLeader tells that this host became or stopped being the leader of the
// log. It does not block.
func (d *Directory) OnLeader(leading bool, term uint64) {
	d.mu.Lock()
	d.leading, d.term = leading, term
	d.current = nil
	d.mu.Unlock()
	d.signal()
}

// Start begins to work in the background.
func (d *Directory) Start(log control.Log) {
	ctx, cancel := context.WithCancel(context.Background())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log, d.cancel, d.done = &log, cancel, make(chan struct{})
	go d.run(ctx, d.done)
}

// Stop hands the leadership to another host and ends all work. The error tells
// that it was not handed over.
func (d *Directory) Stop(ctx context.Context) error {
	d.mu.Lock()
	log, cancel, done := d.log, d.cancel, d.done
	d.mu.Unlock()
	if log == nil {
		return nil
	}
	var err error
	if log.IsLeader() {
		err = log.TransferLeadership(ctx)
	}
	cancel()
	<-done
	return err
}

func (d *Directory) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run serves one leadership after the other until ctx ends.
func (d *Directory) run(ctx context.Context, done chan struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		d.mu.Lock()
		leading, term := d.leading, d.term
		d.mu.Unlock()
		if leading {
			d.lead(ctx, term)
			continue
		}
		select {
		case <-ctx.Done():
		case <-d.wake:
		}
	}
}

// lead serves the leadership of one term of the log until it ends. Everything
// that earlier leaders committed is applied before the first answer.
func (d *Directory) lead(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer func() { <-ended }()
	if !d.barrier(ctx, term) {
		close(ended)
		return
	}
	l := newLeadership(ctx, d.opts, d.log, d.machine, term)
	d.mu.Lock()
	if !d.leading || d.term != term {
		d.mu.Unlock()
		close(ended)
		return
	}
	d.current = l
	d.mu.Unlock()
	d.leads.Update(1)
	d.opts.Events.Event("leadership_begun").Uint64("log_term", term).Msg("this control host leads")
	go func() {
		defer close(ended)
		l.run()
	}()
	for d.isLeading(term) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.wake:
		}
	}
	d.mu.Lock()
	if d.current == l {
		d.current = nil
	}
	d.mu.Unlock()
	cancel()
	d.leads.Update(0)
	d.opts.Events.Event("leadership_ended").Uint64("log_term", term).Msg("this control host no longer leads")
}

// barrier repeats the read barrier until it succeeds or the leadership ends.
func (d *Directory) barrier(ctx context.Context, term uint64) bool {
	for ctx.Err() == nil && d.isLeading(term) {
		call, cancel := context.WithTimeout(ctx, proposeLimit)
		err := d.log.ReadBarrier(call)
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(tick):
		}
	}
	return false
}

func (d *Directory) isLeading(term uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leading && d.term == term
}

// leader returns the leadership of this host, or the answer that names the
// host that leads.
func (d *Directory) leader() (*leadership, control.Log, errkind.Kind, string) {
	d.mu.Lock()
	l, log := d.current, d.log
	d.mu.Unlock()
	if log == nil {
		return nil, control.Log{}, errkind.NotLeader, ""
	}
	if l != nil && log.LeaseValid() {
		return l, *log, errkind.OK, ""
	}
	address, _ := log.Leader()
	return nil, *log, errkind.NotLeader, address
}
