package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/wal"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// loop owns the machine. Each cycle takes the events that wait, lets the
// machine handle them and completes its output with at most one fsync of the
// log.
func (n *Node) loop() {
	defer close(n.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.stop:
			n.end(nil)
			return
		case m := <-n.inbox:
			n.step(m)
		case p := <-n.proposals:
			n.take(p)
		case w := <-n.waits:
			n.waiters = append(n.waiters, w)
		case f := <-n.calls:
			f(clock.Now())
		case r := <-n.writer.out:
			if err := n.snapshotWritten(r); err != nil {
				n.end(err)
				return
			}
		case <-timer.C:
		}
		n.drain()
		n.machine.Tick(clock.Now())
		if err := n.complete(); err != nil {
			n.end(err)
			return
		}
		timer.Reset(n.machine.Wake().Sub(clock.Now()))
	}
}

// drain takes more messages and proposals without waiting for them.
func (n *Node) drain() {
	for range batchSize {
		select {
		case m := <-n.inbox:
			n.step(m)
		case p := <-n.proposals:
			n.take(p)
		default:
			return
		}
	}
}

// step reads the clock for each message. A clock reading from before a
// message was sent would shorten the time for which this host refuses votes,
// on which the lease of the sender depends.
func (n *Node) step(m Message) {
	if m.Kind == MessageHelloReply && m.Reject && n.machine.Empty() && !n.warned && !n.opts.Join {
		n.warned = true
		n.opts.Logger.Warn().Str("id", n.self.ID).Str("incarnation", n.self.Incarnation).Str("peer", m.From.ID).
			Msg("the data folder is empty, but the other host is initialised or was asked by another incarnation; " +
				"this host must be added as a learner")
	}
	n.machine.Step(clock.Now(), m)
}

// take puts a proposal into the log.
func (n *Node) take(p *proposal) {
	if !p.take() {
		return
	}
	var index uint64
	var err error
	if p.change != nil {
		index, p.term, err = n.machine.ProposeChange(clock.Now(), *p.change)
	} else {
		var ok bool
		if index, p.term, ok = n.machine.Propose(p.command); !ok {
			err = n.notLeader()
		}
	}
	if err != nil {
		p.finish(nil, err)
		return
	}
	n.pending[index] = p
}

// complete carries out the output of the machine: write, apply, publish, send,
// answer. The view is published before the messages, so that a lease that the
// machine has given up is not seen as valid once another host can know of it.
func (n *Node) complete() error {
	start := time.Now()
	out := n.machine.Output(clock.Now())
	if err := n.write(out); err != nil {
		return err
	}
	if took := time.Since(start); n.writes.note(took, n.opts.HeartbeatInterval) {
		n.opts.Logger.Warn().Str("id", n.self.ID).Dur("took_ms", took).
			Msg("the disk takes longer than the heartbeat interval")
	}
	finish := n.apply(out.Committed)
	n.publish(nil)
	for _, m := range out.Messages {
		n.opts.Send(m.To, m)
	}
	for _, f := range finish {
		f()
	}
	n.failPending()
	n.answerWaiters()
	return n.maybeSnapshot()
}

func (n *Node) write(out Output) error {
	if out.Install == nil {
		return n.log.Save(out.HardState, out.Entries)
	}
	s := out.Install
	if err := n.log.Save(out.HardState, nil); err != nil {
		return err
	}
	if err := n.log.SaveSnapshot(s); err != nil {
		return err
	}
	if err := n.log.Reset(s.Index, s.Term); err != nil {
		return err
	}
	if err := n.opts.Restore(s.Data); err != nil {
		return Error.Wrap(err)
	}
	n.applied, n.snapshot = s.Index, s.Index
	n.opts.Logger.Info().Str("id", n.self.ID).Uint64("index", s.Index).Msg("snapshot installed")
	return n.log.Save(nil, out.Entries)
}

// apply applies committed entries and returns the answers to their proposals.
func (n *Node) apply(entries []wal.Entry) (finish []func()) {
	for _, e := range entries {
		var result []byte
		if e.Kind == entryCommand {
			result = n.opts.Apply(e.Index, e.Data)
		}
		n.applied = e.Index
		p := n.pending[e.Index]
		if p == nil {
			continue
		}
		delete(n.pending, e.Index)
		if p.term == e.Term {
			finish = append(finish, func() { p.finish(result, nil) })
		} else {
			finish = append(finish, func() { p.finish(nil, n.notLeader()) })
		}
	}
	return finish
}

// publish makes the state of the machine visible to the methods of the node.
func (n *Node) publish(failed error) {
	m, now := n.machine, clock.Now()
	v := &view{
		role: m.role, term: m.term, leader: m.leader, leaseUntil: m.LeaseUntil(now),
		started: m.TermStarted(), members: m.members(), commit: m.commit, applied: n.applied,
		handover: m.handover != nil, failed: failed,
	}
	if failed != nil {
		v.role, v.leader, v.leaseUntil, v.started = Follower, Member{}, time.Time{}, false
	}
	old := n.view.Swap(v)
	if old == nil || old.role != v.role || old.term != v.term || old.leader.key() != v.leader.key() {
		n.opts.Logger.Info().Str("id", n.self.ID).Str("role", string(v.role)).Uint64("term", v.term).
			Str("leader", v.leader.ID).Msg("role changed")
	}
	n.tellLeading(v)
}

// tellLeading calls OnLeader once at each change. A change of the term without
// a change of the role ends one leadership and starts another.
func (n *Node) tellLeading(v *view) {
	if n.leading && (!v.started || n.leadTerm != v.term) {
		n.leading = false
		if n.opts.OnLeader != nil {
			n.opts.OnLeader(false, v.term)
		}
	}
	if !n.leading && v.started {
		n.leading, n.leadTerm = true, v.term
		if n.opts.OnLeader != nil {
			n.opts.OnLeader(true, v.term)
		}
	}
}

// failPending answers the proposals of a leadership that has ended. The next
// leader may still commit them.
func (n *Node) failPending() {
	for index, p := range n.pending {
		if n.machine.role != Leader || p.term != n.machine.term {
			p.finish(nil, errkind.New(errkind.OutcomeUnknown, "leadership ended before the command was committed"))
			delete(n.pending, index)
		}
	}
}

func (n *Node) answerWaiters() {
	if len(n.waiters) == 0 {
		return
	}
	v := n.view.Load()
	kept := n.waiters[:0]
	for _, w := range n.waiters {
		if w.ctx.Err() != nil {
			continue
		}
		if answered, err := w.check(v); answered {
			w.done <- err
			continue
		}
		kept = append(kept, w)
	}
	clear(n.waiters[len(kept):])
	n.waiters = kept
}

// maybeSnapshot starts a snapshot of the applied state when enough entries
// have come since the last one.
func (n *Node) maybeSnapshot() error {
	if n.writing || n.applied < n.snapshot+uint64(n.opts.SnapshotEvery) {
		return nil
	}
	index, term := n.machine.AppliedTerm()
	n.writing = true
	n.writer.in <- &wal.Snapshot{
		Index: index, Term: term, Members: n.machine.SnapshotMembers(index), Data: n.opts.Snapshot(),
	}
	return nil
}

func (n *Node) snapshotWritten(r snapshotResult) error {
	n.writing = false
	if r.err != nil {
		return r.err
	}
	n.snapshot = max(n.snapshot, r.snapshot.Index)
	n.machine.SnapshotTaken(r.snapshot, uint64(n.opts.SnapshotEvery))
	return n.log.Compact(r.snapshot.Index)
}

// end stops the node. An error of the files or of Restore ends it for good:
// what is on disk is unknown then, so the host may not vote or answer.
func (n *Node) end(failed error) {
	if failed != nil {
		n.opts.Logger.Error().Err(failed).Str("id", n.self.ID).Msg("replicated log stopped")
	} else {
		n.opts.Logger.Info().Str("id", n.self.ID).Msg("replicated log stopped")
	}
	n.machine.becomeFollower(clock.Now(), n.machine.term)
	n.publish(failed)
	n.failPending()
	close(n.writer.in)
	<-n.writer.stopped
	if err := n.log.Close(); err != nil {
		n.opts.Logger.Error().Err(err).Str("id", n.self.ID).Msg("closing the replicated log")
	}
}
