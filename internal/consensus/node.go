package consensus

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/wal"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// inboxSize bounds the messages that wait for the loop; more are dropped,
	// which the protocol tolerates.
	inboxSize = 4096
	// batchSize bounds the events that one cycle, and so one fsync, covers.
	batchSize = 256
	// maxCommandBytes bounds a command: heartbeats wait behind it on the
	// connection, and it must fit into a record of the log.
	maxCommandBytes = 8 << 20
)

// Node runs one member of the replicated log. Its methods are safe for
// concurrent use. The loop goroutine owns the machine and the files.
type Node struct {
	opts    Options
	self    Member
	log     *wal.Log
	machine *Machine
	writer  *snapshotWriter

	inbox     chan Message
	proposals chan *proposal
	waits     chan *waiter
	calls     chan func(now time.Time)
	stop      chan struct{}
	stopping  atomic.Bool
	stopped   chan struct{}

	view atomic.Pointer[view]

	// Owned by the loop:
	pending  map[uint64]*proposal // by index of the entry
	waiters  []*waiter
	leading  bool // as OnLeader was told
	leadTerm uint64
	applied  uint64
	writing  bool // a snapshot is being written
	writes   writeStats
	warned   bool // the operator was told that this host must be added
	snapshot uint64
}

// Start opens the data folder and starts the node.
func Start(opts Options) (*Node, error) {
	if err := opts.complete(); err != nil {
		return nil, err
	}
	log, contents, err := wal.Open(wal.Options{Dir: opts.Dir, Host: opts.ID})
	if err != nil {
		return nil, err
	}
	n, err := newNode(opts, log, contents)
	if err != nil {
		_ = log.Close()
		return nil, err
	}
	go n.writer.run()
	go n.loop()
	return n, nil
}

func newNode(opts Options, log *wal.Log, contents *wal.Contents) (*Node, error) {
	n := &Node{
		opts:      opts,
		self:      Member{ID: opts.ID, Incarnation: contents.Identity.Incarnation, Address: opts.Address},
		log:       log,
		writer:    newSnapshotWriter(log),
		inbox:     make(chan Message, inboxSize),
		proposals: make(chan *proposal, batchSize),
		waits:     make(chan *waiter, batchSize),
		calls:     make(chan func(now time.Time)),
		stop:      make(chan struct{}),
		stopped:   make(chan struct{}),
		pending:   make(map[uint64]*proposal),
	}
	if s := contents.Snapshot; s != nil {
		if err := opts.Restore(s.Data); err != nil {
			return nil, Error.Wrap(err)
		}
		n.applied, n.snapshot = s.Index, s.Index
	}
	var err error
	n.machine, err = NewMachine(MachineOptions{
		Self: n.self, Election: opts.ElectionTimeout, Heartbeat: opts.HeartbeatInterval,
		Random: rand.Int64N, Bootstrap: opts.Bootstrap, Join: opts.Join,
		HardState: contents.HardState, Snapshot: contents.Snapshot, Entries: contents.Entries,
	}, clock.Now())
	if err != nil {
		return nil, err
	}
	n.publish(nil)
	opts.Logger.Info().Str("id", n.self.ID).Str("incarnation", n.self.Incarnation).
		Bool("created", contents.Created).Bool("initialised", !contents.Empty()).
		Int64("cut_bytes", contents.Removed).Uint64("last", n.machine.Last()).
		Msg("replicated log opened")
	return n, nil
}

// Self returns the member that this node is, as AddLearner needs it.
func (n *Node) Self() Member { return n.self }

// Step handles a message from another node. It does not block; messages that
// come faster than they are handled are dropped.
func (n *Node) Step(m Message) {
	select {
	case n.inbox <- m:
	default:
	}
}

// Propose appends a command to the log and returns what Apply returned for
// it. errkind.NotLeader and errkind.DeadlineExceeded mean that the command
// never takes effect, errkind.OutcomeUnknown that it may still do so.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return n.propose(ctx, newProposal(command, nil))
}

// ChangeMembers makes one membership change and returns when it is committed.
// Besides the errors of Propose, errkind.Conflict and errkind.BadRequest mean
// that the change was refused.
func (n *Node) ChangeMembers(ctx context.Context, change Change) error {
	_, err := n.propose(ctx, newProposal(nil, &change))
	return err
}

func (n *Node) propose(ctx context.Context, p *proposal) ([]byte, error) {
	if len(p.command) > maxCommandBytes {
		return nil, errkind.New(errkind.BadRequest, "command of %d bytes exceeds %d bytes", len(p.command), maxCommandBytes)
	}
	if v := n.view.Load(); v.role != Leader {
		return nil, n.notLeader()
	}
	select {
	case n.proposals <- p:
	case <-n.stopped:
		return nil, n.notLeader()
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "the command was not proposed")
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-n.stopped:
	case <-ctx.Done():
	}
	if p.withdraw() {
		if ctx.Err() == nil {
			return nil, n.notLeader()
		}
		return nil, errkind.New(errkind.DeadlineExceeded, "the command was not proposed")
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, errkind.New(errkind.OutcomeUnknown, "the command was proposed, but not seen committed in time")
	}
}

func (n *Node) notLeader() error {
	if l, ok := n.Leader(); ok && l.key() != n.self.key() {
		return errkind.New(errkind.NotLeader, "host %s leads", l.ID)
	}
	return errkind.New(errkind.NotLeader, "no leader is known")
}

// Leader returns the leader that this node follows, or itself.
func (n *Node) Leader() (Member, bool) {
	l := n.view.Load().leader
	return l, l.ID != ""
}

// IsLeader reports whether this node leads. Another node may lead a newer
// term already; see LeaseValid.
func (n *Node) IsLeader() bool { return n.view.Load().role == Leader }

// LeaseValid reports whether no other node can lead at this instant.
func (n *Node) LeaseValid() bool { return n.view.Load().leaseValid() }

// ReadBarrier returns nil once this node leads with a valid read lease and
// has applied every entry that was committed before the call.
func (n *Node) ReadBarrier(ctx context.Context) error {
	check := func(v *view) (bool, error) {
		if v.role != Leader {
			return true, n.notLeader()
		}
		return v.started && v.leaseValid(), nil
	}
	if answered, err := check(n.view.Load()); answered {
		return err
	}
	return n.wait(ctx, check)
}

// TransferLeadership hands leadership to another voter, for a planned stop.
// It returns nil once this node follows another leader.
func (n *Node) TransferLeadership(ctx context.Context) error {
	var err error
	if cerr := n.call(ctx, func(now time.Time) { err = n.machine.StartTransfer(now) }); cerr != nil {
		return cerr
	}
	if err != nil {
		return err
	}
	return n.wait(ctx, func(v *view) (bool, error) {
		if v.role == Leader && !v.handover {
			return true, errkind.New(errkind.Conflict, "the other voter did not catch up in time")
		}
		return v.role != Leader && v.leader.ID != "", nil
	})
}

// wait answers once check does, at the end of a cycle of the loop.
func (n *Node) wait(ctx context.Context, check func(v *view) (bool, error)) error {
	w := &waiter{ctx: ctx, done: make(chan error, 1), check: check}
	select {
	case n.waits <- w:
	case <-n.stopped:
		return n.notLeader()
	case <-ctx.Done():
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "waiting for the replicated log")
	}
	select {
	case err := <-w.done:
		return err
	case <-n.stopped:
		return n.notLeader()
	case <-ctx.Done():
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "waiting for the replicated log")
	}
}

// call runs f in the loop.
func (n *Node) call(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case n.calls <- wrapped:
		<-done
		return nil
	case <-n.stopped:
		return n.notLeader()
	case <-ctx.Done():
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "waiting for the replicated log")
	}
}

// Members returns the membership in force at this node.
func (n *Node) Members() []Member { return slices.Clone([]Member(n.view.Load().members)) }

// Status describes the node. After Stop it tells only the last known state.
func (n *Node) Status() Status {
	var s Status
	describe := func(now time.Time) {
		s = n.machine.Status(now)
		s.LongestWrite, s.SlowWrites = n.writes.longest, n.writes.slow
	}
	if err := n.call(context.Background(), describe); err != nil {
		v := n.view.Load()
		s = Status{
			ID: n.self.ID, Incarnation: n.self.Incarnation, Role: v.role, Term: v.term,
			Leader: v.leader, Commit: v.commit, Applied: v.applied,
		}
		for _, m := range v.members {
			s.Members = append(s.Members, MemberStatus{Member: m})
		}
		if v.failed != nil {
			s.Failed = v.failed.Error()
		}
	}
	return s
}

// Done is closed when the node has stopped, by Stop or because its files
// failed; see Err.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// Err returns why the node stopped by itself, or nil.
func (n *Node) Err() error { return n.view.Load().failed }

// Stop ends the node and releases the data folder. Hand over leadership first
// with TransferLeadership, to spare the others an election timeout.
func (n *Node) Stop(ctx context.Context) error {
	if n.stopping.CompareAndSwap(false, true) {
		close(n.stop)
	}
	select {
	case <-n.stopped:
		return n.Err()
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
