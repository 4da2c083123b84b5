package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/wal"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// loop owns the machine. Each cycle takes the waiting events, lets the machine
// handle them and carries out its output. It needs at most one fsync of the log,
// unless it installs a snapshot or the log starts a new segment.
func (n *Node) loop() {
	defer close(n.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.stop:
			n.shutdown(nil)
			return
		case m := <-n.inbox:
			n.step(m)
		case p := <-n.proposals:
			n.appendProposal(p)
		case w := <-n.newWaiters:
			n.waiters = append(n.waiters, w)
		case f := <-n.calls:
			f(clock.Now())
		case r := <-n.writer.out:
			if err := n.snapshotWritten(r); err != nil {
				n.shutdown(err)
				return
			}
		case <-timer.C:
		}
		n.drain()
		n.machine.Tick(clock.Now())
		if err := n.processOutput(); err != nil {
			n.shutdown(err)
			return
		}
		timer.Reset(n.machine.NextTick().Sub(clock.Now()))
	}
}

// drain handles further messages and proposals that are already queued.
func (n *Node) drain() {
	for range maxCycleEvents {
		select {
		case m := <-n.inbox:
			n.step(m)
		case p := <-n.proposals:
			n.appendProposal(p)
		default:
			return
		}
	}
}

// step passes a message to the machine. It reads the clock for each message: a
// reading taken before the message was sent would shorten the time for which
// this host refuses votes, on which the lease of the sender depends.
func (n *Node) step(m Message) {
	if m.Kind == MessageHelloReply && m.Reject && !n.joinLogged {
		n.joinLogged = true
		n.opts.Logger.Warn().Str("id", n.self.ID).Str("incarnation", n.self.Incarnation).Str("peer", m.From.ID).
			Bool("empty", n.machine.Empty()).Int("members", len(m.Members)).
			Msg("this host is not a member of the replicated log; it asks the members to add it")
	}
	n.machine.Step(clock.Now(), m)
}

// appendProposal appends a proposal to the log, unless its caller has withdrawn it.
func (n *Node) appendProposal(p *proposal) {
	if !p.claim() {
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

// processOutput carries out the output of the machine: write, apply, publish,
// send, answer. The view is published before the messages are sent, so that a
// lease that the machine has given up no longer appears valid by the time
// another host can act on the messages.
func (n *Node) processOutput() error {
	start := time.Now()
	out := n.machine.Output(clock.Now())
	for _, v := range out.Violations {
		n.opts.Logger.Error().Str("event", "protocol_violation").Str("id", n.self.ID).Str("violation", v).Msg("ignoring a message that contradicts the protocol")
	}
	n.logFailedElection(out.FailedElection)
	if err := n.write(out); err != nil {
		return err
	}
	if took := time.Since(start); n.writes.record(took, n.opts.HeartbeatInterval) {
		n.opts.Logger.Warn().Str("id", n.self.ID).Dur("took_ms", took).
			Msg("writing the replicated log took longer than the heartbeat interval")
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

// failedElectionLogInterval is the shortest time between two log lines about failed
// elections, which may follow each other within the election timeout.
const failedElectionLogInterval = time.Second

// logFailedElection logs which voters kept this host from being elected.
func (n *Node) logFailedElection(f *FailedElection) {
	if f == nil || clock.Now().Sub(n.failedElectionLogged) < failedElectionLogInterval {
		return
	}
	n.failedElectionLogged = clock.Now()
	n.opts.Logger.Warn().Str("event", "election_failed").Str("id", n.self.ID).Uint64("term", f.Term).Bool("pre_vote", f.PreVote).
		Int("quorum", f.Quorum).Strs("granted", f.Granted).Strs("refused", f.Refused).Strs("silent", f.Silent).
		Msg("too few voters granted their vote in time")
}

// write makes the state, the snapshot and the entries of the output durable, and
// restores an installed snapshot. It restores before it writes: a host with a stored
// snapshot that can't be restored would not start again.
func (n *Node) write(out Output) error {
	if out.Install == nil {
		return n.log.Save(out.HardState, out.Entries)
	}
	s := out.Install
	if err := n.log.Save(out.HardState, nil); err != nil {
		return err
	}
	if err := n.opts.Restore(s.Data); err != nil {
		return Error.Wrap(err)
	}
	if err := n.log.SaveSnapshot(s); err != nil {
		return err
	}
	if err := n.log.Reset(s.Index, s.Term); err != nil {
		return err
	}
	n.applied, n.snapshot = s.Index, s.Index
	n.opts.Logger.Info().Str("id", n.self.ID).Uint64("index", s.Index).Msg("snapshot installed")
	return n.log.Save(nil, out.Entries)
}

// apply applies committed entries and returns functions that answer their
// proposals.
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
		termStarted: m.TermStarted(), members: m.members(), commit: m.commit, applied: n.applied,
		leadershipTransfer: m.leadershipTransfer != nil, failed: failed,
	}
	if failed != nil {
		v.role, v.leader, v.leaseUntil, v.termStarted = Follower, Member{}, time.Time{}, false
	}
	if v.leader.ID != "" {
		n.joinLogged = false
	}
	old := n.view.Swap(v)
	if old == nil || old.role != v.role || old.term != v.term || old.leader.key() != v.leader.key() {
		n.opts.Logger.Info().Str("id", n.self.ID).Str("role", string(v.role)).Uint64("term", v.term).
			Str("leader", v.leader.ID).Msg("role, term or leader changed")
	}
	n.notifyLeader(v)
}

// notifyLeader calls OnLeader when a leadership starts or ends. A change of the
// term without a change of the role ends one leadership and starts another.
func (n *Node) notifyLeader(v *view) {
	if n.reportedLeader && (!v.termStarted || n.reportedTerm != v.term) {
		n.reportedLeader = false
		if n.opts.OnLeader != nil {
			n.opts.OnLeader(false, v.term)
		}
	}
	if !n.reportedLeader && v.termStarted {
		n.reportedLeader, n.reportedTerm = true, v.term
		if n.opts.OnLeader != nil {
			n.opts.OnLeader(true, v.term)
		}
	}
}

// failPending answers the proposals of a leadership that has ended with
// errkind.OutcomeUnknown, because the next leader may still commit them.
func (n *Node) failPending() {
	for index, p := range n.pending {
		if n.machine.role != Leader || p.term != n.machine.term {
			p.finish(nil, errkind.New(errkind.OutcomeUnknown, "leadership ended before the command was committed"))
			delete(n.pending, index)
		}
	}
}

// answerWaiters answers the waiters whose check is decided by the published
// view, and drops those whose context has ended.
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

// maybeSnapshot starts a snapshot of the applied state once SnapshotEvery
// entries were applied since the last one.
func (n *Node) maybeSnapshot() error {
	if n.snapshotPending || n.applied < n.snapshot+uint64(n.opts.SnapshotEvery) {
		return nil
	}
	index, term := n.machine.LastApplied()
	n.snapshotPending = true
	n.writer.in <- &wal.Snapshot{
		Index: index, Term: term, Members: n.machine.SnapshotMembers(index), Data: n.opts.Snapshot(),
	}
	return nil
}

// snapshotWritten compacts the log after a snapshot was made durable.
func (n *Node) snapshotWritten(r snapshotResult) error {
	n.snapshotPending = false
	if r.err != nil {
		return r.err
	}
	n.snapshot = max(n.snapshot, r.snapshot.Index)
	n.machine.SnapshotTaken(r.snapshot, uint64(n.opts.SnapshotEvery))
	return n.log.Compact(r.snapshot.Index)
}

// shutdown stops the node. After an error of the files or of Restore the node
// must not continue: what is on disk is unknown, so the host must not vote or
// answer.
func (n *Node) shutdown(failed error) {
	if failed != nil {
		n.opts.Logger.Error().Err(failed).Str("id", n.self.ID).Msg("replicated log stopped after an error")
	} else {
		n.opts.Logger.Info().Str("id", n.self.ID).Msg("replicated log stopped")
	}
	n.machine.becomeFollower(clock.Now(), n.machine.term)
	n.publish(failed)
	n.failPending()
	close(n.writer.in)
	<-n.writer.stopped
	if err := n.log.Close(); err != nil {
		n.opts.Logger.Error().Err(err).Str("id", n.self.ID).Msg("closing the replicated log failed")
	}
}
