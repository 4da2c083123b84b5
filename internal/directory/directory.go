package directory

import (
	"context"
	"sync"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/leading"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
)

// Directory runs the directory service on one control host. Apply, Snapshot,
// Restore and OnLeader are passed to the replicated log as callbacks when it is
// created; Start then passes the log to the Directory.
type Directory struct {
	opts       Options
	machine    *Machine
	leadsGauge metrics.Gauge
	loop       *leading.Loop[leadership]

	mu  sync.Mutex
	log *control.Log // nil before Start
}

// New returns a Directory that is idle until Start.
func New(opts Options) *Directory {
	opts = opts.withDefaults()
	d := &Directory{opts: opts, machine: NewMachine(), leadsGauge: metrics.GetOrRegisterGauge("directory.leads", opts.Registry)}
	d.loop = leading.New(d.beginLeadership, d.runLeadership)
	return d
}

func (d *Directory) beginLeadership(ctx context.Context, term uint64) *leadership {
	return newLeadership(ctx, d.opts, d.startedLog(), d.machine, term)
}

// runLeadership runs the given leadership until it ends.
func (d *Directory) runLeadership(l *leadership) {
	d.leadsGauge.Update(1)
	defer d.leadsGauge.Update(0)
	d.opts.Events.Event("leadership_begun").Uint64("log_term", l.token).Msg("this control host became the leader")
	l.run()
	d.opts.Events.Event("leadership_ended").Uint64("log_term", l.token).Msg("this control host is no longer the leader")
}

// Apply applies one log entry to the replicated state.
func (d *Directory) Apply(index uint64, entry []byte) []byte { return d.machine.Apply(index, entry) }

// Snapshot returns the encoded replicated state.
func (d *Directory) Snapshot() []byte { return d.machine.Snapshot() }

// Restore replaces the replicated state with a snapshot.
func (d *Directory) Restore(snapshot []byte) error { return d.machine.Restore(snapshot) }

// State returns the replicated state as applied on this host.
func (d *Directory) State() directoryrpc.State { return d.machine.State() }

// Server returns the last announcement of a server as applied on this host, if it
// is known.
func (d *Directory) Server(id string) (directoryrpc.Server, bool) { return d.machine.Server(id) }

// Allowances returns the state of the ledger of allowances, or nil if this host is not
// the leader or grants none.
func (d *Directory) Allowances() *allowance.LedgerDump {
	l, _, _ := d.currentLeadership()
	if l == nil || !l.allowances.ready() {
		return nil
	}
	dump := l.allowances.ledger.Dump(clock.Now())
	return &dump
}

// Config returns a state that holds only the configuration in force as applied on this
// host.
func (d *Directory) Config() directoryrpc.State { return d.machine.Config() }

// Service returns the rpc service, to be registered as "Directory".
func (d *Directory) Service() *Service { return &Service{d: d} }

// OnLeader records that this host became the leader of the log or lost the
// leadership. It does not block.
func (d *Directory) OnLeader(isLeader bool, term uint64) { d.loop.OnLeader(isLeader, term) }

// Start starts the background work.
func (d *Directory) Start(log control.Log) {
	d.mu.Lock()
	d.log = &log
	d.mu.Unlock()
	d.loop.Start(log.ReadBarrier)
}

// Stop transfers the leadership to another host and ends all background work. It
// returns an error if the transfer failed or ctx ended before the work did.
func (d *Directory) Stop(ctx context.Context) error {
	log := d.startedLog()
	if log == nil {
		return nil
	}
	var err error
	if log.IsLeader() {
		err = log.TransferLeadership(ctx)
	}
	return errs.Combine(err, d.loop.Stop(ctx))
}

// startedLog returns the log, or nil before Start.
func (d *Directory) startedLog() *control.Log {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log
}

// currentLeadership returns the leadership of this host if it is the leader with
// a valid read lease. Otherwise it returns errkind.NotLeader and the address of
// the leader, which is empty if unknown.
func (d *Directory) currentLeadership() (*leadership, errkind.Kind, string) {
	log := d.startedLog()
	if log == nil {
		return nil, errkind.NotLeader, ""
	}
	if l := d.loop.Current(); l != nil && log.LeaseValid() {
		return l, errkind.OK, ""
	}
	address, _ := log.Leader()
	return nil, errkind.NotLeader, address
}

// leads reports whether l is still the leadership of this host and its read lease is
// valid. The lease is checked first: it may belong to a later leadership of this host,
// in which case l is not current any more.
func (d *Directory) leads(l *leadership) bool {
	return l.ctx.Err() == nil && l.log.LeaseValid() && d.loop.Current() == l
}
