package directory

import (
	"context"
	"sync"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/leading"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
)

// Directory is the directory part of one control host. Apply, Snapshot,
// Restore and OnLeader are handed to the log when it is created; Start then
// hands the log to the Directory.
type Directory struct {
	opts    Options
	machine *Machine
	leads   metrics.Gauge
	loop    *leading.Loop[leadership]

	mu  sync.Mutex
	log *control.Log // nil before Start
}

// New returns a Directory that does nothing until Start.
func New(opts Options) *Directory {
	opts = opts.withDefaults()
	d := &Directory{opts: opts, machine: NewMachine(), leads: metrics.GetOrRegisterGauge("directory.leads", opts.Registry)}
	d.loop = leading.New(d.begin, d.lead)
	return d
}

func (d *Directory) begin(ctx context.Context, term uint64) *leadership {
	return newLeadership(ctx, d.opts, d.started(), d.machine, term)
}

// lead works until the leadership ends.
func (d *Directory) lead(l *leadership) {
	d.leads.Update(1)
	defer d.leads.Update(0)
	d.opts.Events.Event("leadership_begun").Uint64("log_term", l.token).Msg("this control host leads")
	l.run()
	d.opts.Events.Event("leadership_ended").Uint64("log_term", l.token).Msg("this control host no longer leads")
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
func (d *Directory) OnLeader(leads bool, term uint64) { d.loop.OnLeader(leads, term) }

// Start begins to work in the background.
func (d *Directory) Start(log control.Log) {
	d.mu.Lock()
	d.log = &log
	d.mu.Unlock()
	d.loop.Start(log.ReadBarrier)
}

// Stop hands the leadership to another host and ends all work. The error tells
// that it was not handed over.
func (d *Directory) Stop(ctx context.Context) error {
	log := d.started()
	if log == nil {
		return nil
	}
	var err error
	if log.IsLeader() {
		err = log.TransferLeadership(ctx)
	}
	return errs.Combine(err, d.loop.Stop(ctx))
}

// started returns the log, nil before Start.
func (d *Directory) started() *control.Log {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log
}

// leader returns the leadership of this host, or the answer that names the
// host that leads.
func (d *Directory) leader() (*leadership, errkind.Kind, string) {
	log := d.started()
	if log == nil {
		return nil, errkind.NotLeader, ""
	}
	if l := d.loop.Current(); l != nil && log.LeaseValid() {
		return l, errkind.OK, ""
	}
	address, _ := log.Leader()
	return nil, errkind.NotLeader, address
}
