package consensus

import (
	"fmt"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

const (
	// maxAppendEntries and maxAppendBytes bound an append message, so that it
	// does not delay the heartbeats behind it.
	maxAppendEntries = 1024
	maxAppendBytes   = 1 << 20
	// maxInFlightBytes bounds the entry bytes sent to a member and not yet
	// acknowledged. When it is reached, the leader waits until the member has
	// acknowledged all of them.
	maxInFlightBytes = 8 << 20
)

// replicate sends new entries to the members that lack them.
func (m *Machine) replicate(now time.Time) {
	for _, to := range m.replicationTargets() {
		if p := m.progress[to.key()]; p != nil && p.next <= m.log.lastIndex() {
			m.sendAppend(now, to, p, false)
		}
	}
}

// sendAppend sends the entries, or the snapshot chunk, that the member needs
// next. With heartbeat, it sends a message even if there are no new entries.
func (m *Machine) sendAppend(now time.Time, to Member, p *progress, heartbeat bool) {
	if p.snapshot != nil {
		m.sendChunk(now, to, p, heartbeat)
		return
	}
	if p.probing && p.paused {
		return
	}
	for {
		prev := p.next - 1
		prevTerm, ok := m.log.term(prev)
		if !ok {
			m.startSnapshotTransfer(now, to, p)
			return
		}
		var entries []wal.Entry
		if !p.probing && p.inFlightBytes < maxInFlightBytes {
			entries = m.log.entriesFrom(p.next, maxAppendEntries, maxAppendBytes)
		}
		if len(entries) == 0 && !heartbeat && !p.probing {
			return
		}
		m.send(Message{
			Kind: MessageAppend, To: to, Index: prev, LogTerm: prevTerm,
			Entries: entries, Commit: m.commit, Sent: m.timestamp(now),
		})
		if p.probing {
			p.paused = true
			return
		}
		for _, e := range entries {
			p.inFlightBytes += len(e.Data)
		}
		p.next += uint64(len(entries))
		if p.next > m.log.lastIndex() {
			return
		}
		heartbeat = false
	}
}

// followLeader accepts the sender as the leader of the term, which it reports. A
// term has only one leader.
func (m *Machine) followLeader(now time.Time, msg Message) bool {
	if m.role == Leader {
		m.reject(msg, "this host leads the term")
		return false
	}
	if m.role != Follower {
		m.becomeFollower(now, m.term)
	}
	m.leader, m.lastLeaderContact, m.peers = msg.From, now, nil
	m.electionDeferred = false
	m.resetElection(now)
	return true
}

func (m *Machine) handleAppend(now time.Time, msg Message) {
	if !m.followLeader(now, msg) {
		return
	}
	reply := Message{Kind: MessageAppendReply, To: msg.From, Sent: msg.Sent}
	if msg.Index < m.commit {
		reply.Index = m.commit // committed entries match those of the leader
		m.send(reply)
		return
	}
	if t, ok := m.log.term(msg.Index); !ok || t != msg.LogTerm {
		reply.Reject, reply.Index = true, msg.Index
		reply.Hint, reply.HintTerm = m.log.findTerm(msg.Index, msg.LogTerm)
		m.send(reply)
		return
	}
	for i, e := range msg.Entries {
		if e.Index != msg.Index+uint64(i)+1 {
			return // malformed
		}
		if t, ok := m.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if !m.acceptEntry(msg, e) {
			return
		}
	}
	reply.Index = msg.Index + uint64(len(msg.Entries))
	m.commit = max(m.commit, min(msg.Commit, reply.Index))
	m.send(reply)
}

// acceptEntry stores an entry of the leader in the log, unless that would replace a
// committed entry, or it holds a membership that can't be read. It reports whether
// the entry was stored.
func (m *Machine) acceptEntry(msg Message, e wal.Entry) bool {
	if e.Index <= m.commit {
		m.reject(msg, "committed entry %d would be replaced", e.Index)
		return false
	}
	if e.Kind == entryMembers {
		if _, err := decodeMembers(e.Data); err != nil {
			m.reject(msg, "entry %d: %v", e.Index, err)
			return false
		}
	}
	for n := len(m.memberships); n > 0 && m.memberships[n-1].index >= e.Index; n-- {
		m.memberships = m.memberships[:n-1]
	}
	m.log.replace(e)
	if err := m.recordMembers(e); err != nil {
		panic(fmt.Sprintf("consensus: %s: entry %d was decoded before: %v", m.self.key(), e.Index, err))
	}
	return true
}

func (m *Machine) handleAppendReply(now time.Time, msg Message) {
	p := m.contact(now, msg)
	if p == nil {
		return
	}
	if msg.Reject {
		m.rewind(p, msg)
	} else {
		m.recordMatch(p, msg.Index)
	}
	m.advanceCommit()
	if m.role != Leader {
		return
	}
	if to, ok := m.replicationTargets().find(msg.From.key()); ok {
		if p.next <= m.log.lastIndex() || p.probing {
			m.sendAppend(now, to, p, false)
		}
		m.continueLeadershipTransfer(to, p)
	}
}

// contact records that a member has replied and returns its progress. It returns
// nil if this host does not lead or does not replicate to the sender.
func (m *Machine) contact(now time.Time, msg Message) *progress {
	p := m.progress[msg.From.key()]
	if m.role != Leader || p == nil {
		return nil
	}
	// The time of sending is decisive, not the arrival of the reply: replies
	// that were queued while this process was paused do not prove that a quorum
	// still follows it.
	if msg.Sent > p.ackedSent && msg.Sent <= m.timestamp(now) {
		p.ackedSent = msg.Sent
		p.contact = m.epoch.Add(time.Duration(msg.Sent))
	}
	return p
}

// rewind moves next back to the entry after the last one that may match, as the
// hint of a rejected append states, and starts probing.
func (m *Machine) rewind(p *progress, msg Message) {
	if msg.Index <= p.match || p.snapshot != nil || p.probing && msg.Index != p.next-1 {
		return // a stale reply
	}
	hint, _ := m.log.findTerm(msg.Hint, msg.HintTerm)
	if msg.Hint < m.log.base {
		hint = msg.Hint // the entry was compacted; a snapshot follows
	}
	p.next = max(p.match, min(hint, msg.Index-1)) + 1
	p.probing, p.paused, p.inFlightBytes = true, false, 0
}

// recordMatch records that the log of the member matches up to index.
func (m *Machine) recordMatch(p *progress, index uint64) {
	if index > m.log.lastIndex() {
		return
	}
	if index >= p.match {
		p.match = index
		if p.probing && index >= p.next-1 {
			p.probing, p.paused = false, false
		}
		p.next = max(p.next, index+1)
	}
	if p.match+1 == p.next {
		p.inFlightBytes = 0
	}
	if p.snapshot != nil && index >= p.snapshot.snapshot.Index {
		p.snapshot, p.probing, p.paused = nil, false, false
		p.next = p.match + 1
	}
}

// advanceCommit commits the entries that a quorum holds. Entries of earlier
// terms are committed only together with one of the current term.
func (m *Machine) advanceCommit() {
	if m.role != Leader {
		return
	}
	var matches []uint64
	for _, member := range m.members() {
		switch p := m.progress[member.key()]; {
		case member.Learner:
		case member.key() == m.self.key():
			matches = append(matches, m.log.lastIndex())
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	quorum := m.members().quorum()
	if len(matches) < quorum {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-quorum]
	if t, ok := m.log.term(index); !ok || index <= m.commit || t != m.term && !m.opts.faults.commitAnyTerm {
		return
	}
	m.commit = index
	m.stepDownIfRemoved()
}
