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
	// maxInboxMessages bounds the messages that wait for the loop. Further ones
	// are dropped, which the protocol tolerates.
	maxInboxMessages = 4096
	// maxCycleEvents bounds the messages and proposals that one cycle of the
	// loop handles, and thereby those that share one fsync.
	maxCycleEvents = 256
	// maxCommandBytes bounds a command: heartbeats queue behind it on the
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

	inbox      chan Message
	proposals  chan *proposal
	newWaiters chan *waiter
	calls      chan func(now time.Time)
	stop       chan struct{}
	stopping   atomic.Bool
	stopped    chan struct{}

	view atomic.Pointer[view]

	// Owned by the loop:
	pending         map[uint64]*proposal // by index of the entry
	waiters         []*waiter
	reportedLeader  bool   // last value passed to OnLeader
	reportedTerm    uint64 // term of the last reported leadership
	applied         uint64 // index of the last applied entry
	snapshotPending bool   // a snapshot is being written
	writes          writeStats
	joinLogged      bool   // that this host asks to be added was logged since the last contact with a leader
	snapshot        uint64 // index of the newest durable snapshot

	failedElectionLogged time.Time // last log line about a failed election
}

// Start opens the data folder and starts the node.
func Start(opts Options) (*Node, error) {
	if err := opts.validate(); err != nil {
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
		opts:       opts,
		self:       Member{ID: opts.ID, Incarnation: contents.Identity.Incarnation, Address: opts.Address},
		log:        log,
		writer:     newSnapshotWriter(log),
		inbox:      make(chan Message, maxInboxMessages),
		proposals:  make(chan *proposal, maxCycleEvents),
		newWaiters: make(chan *waiter, maxCycleEvents),
		calls:      make(chan func(now time.Time)),
		stop:       make(chan struct{}),
		stopped:    make(chan struct{}),
		pending:    make(map[uint64]*proposal),
	}
	if s := contents.Snapshot; s != nil {
		if err := opts.Restore(s.Data); err != nil {
			return nil, Error.Wrap(err)
		}
		n.applied, n.snapshot = s.Index, s.Index
	}
	var err error
	n.machine, err = NewMachine(MachineOptions{
		Self: n.self, MinElectionTimeout: opts.ElectionTimeout, HeartbeatInterval: opts.HeartbeatInterval,
		Random: rand.Int64N, Bootstrap: opts.Bootstrap, Join: opts.Join,
		HardState: contents.HardState, Snapshot: contents.Snapshot, Entries: contents.Entries,
	}, clock.Now())
	if err != nil {
		return nil, err
	}
	n.publish(nil)
	opts.Logger.Info().Str("id", n.self.ID).Str("incarnation", n.self.Incarnation).
		Bool("created", contents.Created).Bool("initialised", !contents.Empty()).
		Int64("cut_bytes", contents.TruncatedBytes).Uint64("last", n.machine.LastIndex()).
		Msg("replicated log opened")
	return n, nil
}

// Self returns this node as a member, in the form that AddLearner needs.
func (n *Node) Self() Member { return n.self }

// Step queues a message from another node. It does not block: if the queue is
// full, the message is dropped.
func (n *Node) Step(m Message) {
	select {
	case n.inbox <- m:
	default:
	}
}

// Propose appends a command to the log, waits until it is committed and
// applied, and returns the result of Apply. errkind.NotLeader and
// errkind.DeadlineExceeded mean that the command never takes effect,
// errkind.OutcomeUnknown that it may have taken effect or still do so.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return n.propose(ctx, newProposal(command, nil))
}

// ChangeMembers proposes one membership change and returns once it is committed.
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
		return nil, errkind.New(errkind.OutcomeUnknown, "the command was proposed, but its commit was not confirmed in time")
	}
}

// notLeader returns an error of kind errkind.NotLeader that names the leader if
// it is known.
func (n *Node) notLeader() error {
	if l, ok := n.Leader(); ok && l.key() != n.self.key() {
		return errkind.New(errkind.NotLeader, "the leader is host %s", l.ID)
	}
	return errkind.New(errkind.NotLeader, "no leader is known")
}

// Leader returns the current leader, which may be this node. ok is false if none
// is known.
func (n *Node) Leader() (Member, bool) {
	l := n.view.Load().leader
	return l, l.ID != ""
}

// IsLeader reports whether this node is the leader of its term. Another node may
// already lead a newer term; see LeaseValid.
func (n *Node) IsLeader() bool { return n.view.Load().role == Leader }

// LeaseValid reports whether this node leads with a valid read lease, so that no
// other node can lead at this instant.
func (n *Node) LeaseValid() bool { return n.view.Load().leaseValid() }

// ReadBarrier returns nil once this node leads with a valid read lease and
// has applied every entry that was committed before the call.
func (n *Node) ReadBarrier(ctx context.Context) error {
	check := func(v *view) (bool, error) {
		if v.role != Leader {
			return true, n.notLeader()
		}
		return v.termStarted && v.leaseValid(), nil
	}
	if answered, err := check(n.view.Load()); answered {
		return err
	}
	return n.wait(ctx, check)
}

// TransferLeadership transfers leadership to another voter, for a planned stop.
// It returns nil once this node follows another leader.
func (n *Node) TransferLeadership(ctx context.Context) error {
	var err error
	if cerr := n.call(ctx, func(now time.Time) { err = n.machine.StartLeadershipTransfer(now) }); cerr != nil {
		return cerr
	}
	if err != nil {
		return err
	}
	return n.wait(ctx, func(v *view) (bool, error) {
		if v.role == Leader && !v.leadershipTransfer {
			return true, errkind.New(errkind.Conflict, "the other voter did not catch up in time")
		}
		return v.role != Leader && v.leader.ID != "", nil
	})
}

// wait blocks until check reports an answer. The loop calls check at the end of
// each cycle.
func (n *Node) wait(ctx context.Context, check func(v *view) (bool, error)) error {
	w := &waiter{ctx: ctx, done: make(chan error, 1), check: check}
	select {
	case n.newWaiters <- w:
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

// call runs f in the loop goroutine and waits for it.
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

// SetSeeds replaces the further hosts, besides Options.Bootstrap, that are asked to
// add this one while no leader makes contact.
func (n *Node) SetSeeds(ctx context.Context, seeds []Member) error {
	return n.call(ctx, func(time.Time) { n.machine.SetSeeds(seeds) })
}

// Status returns the state of the node. After the node has stopped, it returns
// the last published state, with fewer fields set.
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

// Done returns a channel that is closed when the node has stopped, after Stop or
// an error of its files; see Err.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// Err returns the error that stopped the node, or nil.
func (n *Node) Err() error { return n.view.Load().failed }

// Stop stops the node and releases the data folder. Call TransferLeadership
// first, so that the others need not wait for an election timeout.
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
