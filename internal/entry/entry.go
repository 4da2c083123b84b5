// Package entry implements the caller-facing side of an entry host: sessions,
// statement classification, the choice of a member for each statement, retries,
// session tokens and staleness samples. It executes no statements itself; it
// sends each cycle to the owner of a backend server, the host that holds the
// server's lease from control, the cluster's control plane. A cycle is one Query
// message, or the extended-protocol messages up to a Sync or Flush.
//
// # Consistency
//
// Every read states the log position that the member must have applied, and the
// owner checks it immediately before it runs the read. The position is the later
// of the session's token and either the oldest staleness sample within the
// accepted age, or, for a session without a token, the position that the primary
// confirmed to a request that started after the session did.
//
// # Outcomes
//
// An error states not_run only if nothing was sent, or the owner answered that
// the cycle did not run, or the owner process that the cycle was sent to has
// confirmed its cancellation. A cycle that is not repeatable is sent again only
// in these cases. Decide holds the retry rules.
//
// # Attributes
//
// rank, max_staleness, repeatable, request_id, session_token and deadline are
// set by startup parameter ("arbutusring.rank", also within "options" as
// "-c name=value") or by SET, and read by SHOW. SET takes effect at once and
// is not undone by ROLLBACK. A request_id applies to the next cycle that
// executes a statement, whether it succeeds or not; a cycle that only prepares
// statements does not consume it.
//
// # Transactions
//
// A transaction is bound to one owner and server. A statement that is refused
// aborts it, as in PostgreSQL: the caller sees status 'E' until it ends the
// transaction, and the entry has the owner roll it back.
//
// # Concurrency
//
// The cycles of a session run one at a time; session.mu guards only the fields
// that cancellation and the attempts of a hedge use concurrently. Views are
// immutable and replaced as a whole.
//
// Lock order: Entry.stateMu, then Entry.mu, then group.mu, member.mu or
// session.mu. The last three are never held together, and no lock is held during
// a call to an owner.
//
// # Usage
//
//	ent := entry.New(entry.Options{Host: host, Owners: ownerrpc.Client{Call: pool.Call}})
//	defer ent.Close()
//	ent.SetState(state, cfg)
//	ent.RecordConfirmation(time.Now())
//	srv := caller.New(caller.Options{Address: addr, Handler: ent.Handler()})
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Options configures an Entry.
type Options struct {
	Host     controlrpc.Host // of this process
	Owners   ownerrpc.Client
	Logger   zerolog.Logger
	Registry metrics.Registry // nil: New creates a private registry

	Memory        *limit.Budget     // nil for no limit
	SessionLimits limit.StateLimits // of the prepared statements of a session; default 2000 and 4 MiB

	StaleAfter     time.Duration // age of the last confirmation beyond which new work is refused; default 3 s
	StatusInterval time.Duration // between status polls; default 200 ms
	SampleInterval time.Duration // between staleness samples; default 50 ms
}

// Defaults of Options.
const (
	defaultStaleAfter     = 3 * time.Second
	defaultStatusInterval = 200 * time.Millisecond
	defaultSampleInterval = 50 * time.Millisecond
)

var defaultSessionLimits = limit.StateLimits{MaxNames: 2000, MaxBytes: 4 << 20}

// Entry routes the cycles of its sessions. All methods are safe for
// concurrent use.
type Entry struct {
	opts    Options
	id      string // host id and incarnation
	metrics *entryMetrics
	created time.Time // reference time of lastConfirmed; has a monotonic clock reading

	view              atomic.Pointer[view]
	lastConfirmed     atomic.Int64  // time of the last confirmation, in ns since created; 0 if there was none
	lastSeq           atomic.Uint64 // last value of nextSeq
	lastSessionNumber atomic.Uint64
	draining          atomic.Bool

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	stateMu  sync.Mutex // serializes SetState
	mu       sync.Mutex
	members  map[string]*member  // by server id
	groups   map[string]*group   // by name
	sessions map[uint64]*session // by number
	polling  map[string]bool     // owners with a status poll in progress, by address
}

// New returns an entry without state: it refuses work until SetState and
// RecordConfirmation have been called. Close stops its goroutines.
func New(opts Options) *Entry {
	if opts.StaleAfter <= 0 {
		opts.StaleAfter = defaultStaleAfter
	}
	if opts.StatusInterval <= 0 {
		opts.StatusInterval = defaultStatusInterval
	}
	if opts.SessionLimits == (limit.StateLimits{}) {
		opts.SessionLimits = defaultSessionLimits
	}
	if opts.SampleInterval <= 0 {
		opts.SampleInterval = defaultSampleInterval
	}
	e := &Entry{
		opts:     opts,
		id:       opts.Host.ID + "/" + opts.Host.Incarnation,
		metrics:  newMetrics(opts.Registry),
		created:  time.Now(),
		members:  make(map[string]*member),
		groups:   make(map[string]*group),
		sessions: make(map[uint64]*session),
		polling:  make(map[string]bool),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.view.Store(newView(e, controlrpc.State{}, new(policy.Config)))
	e.background.Add(2)
	go e.loopStatus()
	go e.loopSamples()
	return e
}

// Close stops the goroutines of the entry. All sessions must have been closed.
func (e *Entry) Close() {
	e.cancel()
	e.background.Wait()
}

// SetState replaces the state of control and the configuration that belongs to
// it. A state older than the present one is ignored.
func (e *Entry) SetState(state controlrpc.State, cfg *policy.Config) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if state.Version < e.view.Load().state.Version {
		return
	}
	e.mu.Lock()
	for id := range e.members {
		if _, known := state.Servers[id]; !known {
			delete(e.members, id)
		}
	}
	e.mu.Unlock()
	old := e.view.Swap(newView(e, state, cfg))
	close(old.changed)
	e.opts.Logger.Info().Uint64("state_version", state.Version).Uint64("config_version", state.ConfigVersion).
		Int("groups", len(cfg.DatabaseGroups)).Msg("applied a state from control")
}

// RecordConfirmation records that control confirmed the state in its answer to a
// request that was sent at the given time.
func (e *Entry) RecordConfirmation(at time.Time) {
	since := max(int64(at.Sub(e.created)), 1)
	for {
		old := e.lastConfirmed.Load()
		if old >= since || e.lastConfirmed.CompareAndSwap(old, since) {
			return
		}
	}
}

// Ready reports whether the load balancer should send callers to this host.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.stateFresh() && len(e.view.Load().groups) > 0
}

// stateFresh reports whether control confirmed the state within
// Options.StaleAfter.
func (e *Entry) stateFresh() bool {
	last := e.lastConfirmed.Load()
	return last != 0 && time.Since(e.created)-time.Duration(last) <= e.opts.StaleAfter
}

// admitWork returns an error if the configuration may be outdated or doesn't
// declare the group. Statements of open transactions are not subject to it.
func (e *Entry) admitWork(group string) error {
	if !e.stateFresh() {
		return errkind.New(errkind.ConfigStale, "control has not confirmed the configuration within %v", e.opts.StaleAfter)
	}
	if e.groupView(group) == nil {
		return errkind.New(errkind.UnknownGroup, "database group %q is not declared", group)
	}
	return nil
}

// Drain refuses new sessions and waits until none is open, or until ctx ends.
// Meanwhile the caller server closes the idle connections, which ends their
// sessions.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	e.opts.Logger.Info().Int("sessions", e.sessionCount()).Msg("draining: new sessions are refused")
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for e.sessionCount() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errkind.Wrap(errkind.Draining, ctx.Err(), "%d sessions are still open", e.sessionCount())
		}
	}
	return nil
}

func (e *Entry) sessionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

func (e *Entry) config() *policy.Config { return e.view.Load().cfg }

func (e *Entry) groupView(name string) *groupView { return e.view.Load().groups[name] }

// nextSeq returns a sequence number that orders the starts of sessions and of
// position requests.
func (e *Entry) nextSeq() uint64 { return e.lastSeq.Add(1) }

// member returns the member of a server, and creates it if necessary.
func (e *Entry) member(id string) *member {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.members[id]
	if m == nil {
		m = &member{server: id}
		e.members[id] = m
	}
	return m
}

// group returns the group of that name, and creates it if necessary.
func (e *Entry) group(name string) *group {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.groups[name]
	if g == nil {
		g = &group{name: name}
		e.groups[name] = g
	}
	return g
}

// Round-trip times that are assumed until one has been measured. They needn't be
// exact, but a nearer host must get a smaller value.
const (
	sameDataCentreRTT = 500 * time.Microsecond
	sameRegionRTT     = 2 * time.Millisecond
	otherRegionRTT    = 40 * time.Millisecond
)

func (e *Entry) estimatedRTT(host controlrpc.Host) time.Duration {
	switch {
	case host.DataCentre == e.opts.Host.DataCentre:
		return sameDataCentreRTT
	case host.Region == e.opts.Host.Region:
		return sameRegionRTT
	}
	return otherRegionRTT
}
