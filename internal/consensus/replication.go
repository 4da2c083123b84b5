package consensus

import (
	"fmt"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

const (
	// An append carries at most this much, so that heartbeats are not delayed
	// behind it.
	maxAppendEntries = 1024
	maxAppendBytes   = 1 << 20
	// maxInFlightBytes bounds what was sent and not answered. When it is
	// reached, the leader waits until the member has answered everything.
	maxInFlightBytes = 8 << 20
)

// replicate sends new entries to the members that are ready for them.
func (m *Machine) replicate(now time.Time) {
	for _, to := range m.targets() {
		if p := m.progress[to.key()]; p != nil && p.next <= m.log.last() {
			m.sendAppend(now, to, p, false)
		}
	}
}

// sendAppend sends what the member needs next. A heartbeat is sent even if
// there is nothing new.
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
			m.startTransfer(now, to, p)
			return
		}
		var entries []wal.Entry
		if !p.probing && p.inFlight < maxInFlightBytes {
			entries = m.log.from(p.next, maxAppendEntries, maxAppendBytes)
		}
		if len(entries) == 0 && !heartbeat && !p.probing {
			return
		}
		m.send(Message{
			Kind: MessageAppend, To: to, Index: prev, LogTerm: prevTerm,
			Entries: entries, Commit: m.commit, Sent: m.clock(now),
		})
		if p.probing {
			p.paused = true
			return
		}
		for _, e := range entries {
			p.inFlight += len(e.Data)
		}
		p.next += uint64(len(entries))
		if p.next > m.log.last() {
			return
		}
		heartbeat = false
	}
}

// follow accepts the sender as the leader of the term.
func (m *Machine) follow(now time.Time, msg Message) {
	if m.role == Leader {
		panic(fmt.Sprintf("consensus: %s leads term %d, and so does %s", m.self.key(), m.term, msg.From.key()))
	}
	if m.role != Follower {
		m.becomeFollower(now, m.term)
	}
	m.leader, m.heard = msg.From, now
	m.resetElection(now)
}

func (m *Machine) handleAppend(now time.Time, msg Message) {
	m.follow(now, msg)
	reply := Message{Kind: MessageAppendReply, To: msg.From, Sent: msg.Sent}
	if msg.Index < m.commit {
		reply.Index = m.commit // the committed entries are those of the leader
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
		m.accept(e)
	}
	reply.Index = msg.Index + uint64(len(msg.Entries))
	m.commit = max(m.commit, min(msg.Commit, reply.Index))
	m.send(reply)
}

// accept puts an entry of the leader into the log.
func (m *Machine) accept(e wal.Entry) {
	if e.Index <= m.commit {
		panic(fmt.Sprintf("consensus: %s: committed entry %d would be replaced", m.self.key(), e.Index))
	}
	for n := len(m.configs); n > 0 && m.configs[n-1].index >= e.Index; n-- {
		m.configs = m.configs[:n-1]
	}
	m.log.replace(e)
	if err := m.noteMembers(e); err != nil {
		panic(fmt.Sprintf("consensus: %s: entry %d: %v", m.self.key(), e.Index, err))
	}
}

func (m *Machine) handleAppendReply(now time.Time, msg Message) {
	p := m.contact(now, msg)
	if p == nil {
		return
	}
	if msg.Reject {
		m.backOff(p, msg)
	} else {
		m.matched(p, msg.Index)
	}
	m.advanceCommit()
	if m.role != Leader {
		return
	}
	if to, ok := m.targets().find(msg.From.key()); ok {
		if p.next <= m.log.last() || p.probing {
			m.sendAppend(now, to, p, false)
		}
		m.continueHandover(to, p)
	}
}

// contact notes a reply of a member; it returns nil for anybody else.
func (m *Machine) contact(now time.Time, msg Message) *progress {
	p := m.progress[msg.From.key()]
	if m.role != Leader || p == nil {
		return nil
	}
	// The time of sending counts, not that of the reply: replies that waited
	// while this process was paused are no sign of a live quorum.
	if msg.Sent > p.sent && msg.Sent <= m.clock(now) {
		p.sent = msg.Sent
		p.contact = m.epoch.Add(time.Duration(msg.Sent))
	}
	return p
}

// backOff moves back to where the logs can meet at the earliest.
func (m *Machine) backOff(p *progress, msg Message) {
	if msg.Index <= p.match || p.snapshot != nil || p.probing && msg.Index != p.next-1 {
		return // an old reply
	}
	hint, _ := m.log.findTerm(msg.Hint, msg.HintTerm)
	if msg.Hint < m.log.base {
		hint = msg.Hint // the entry is gone; a snapshot follows
	}
	p.next = max(p.match, min(hint, msg.Index-1)) + 1
	p.probing, p.paused, p.inFlight = true, false, 0
}

// matched notes that the logs agree up to index.
func (m *Machine) matched(p *progress, index uint64) {
	if index > m.log.last() {
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
		p.inFlight = 0
	}
	if p.snapshot != nil && index >= p.snapshot.snapshot.Index {
		p.snapshot, p.probing, p.paused = nil, false, false
		p.next = p.match + 1
	}
}

// advanceCommit commits what a quorum has. Entries of earlier terms are
// committed only together with one of the own term.
func (m *Machine) advanceCommit() {
	if m.role != Leader {
		return
	}
	var matches []uint64
	for _, member := range m.members() {
		switch p := m.progress[member.key()]; {
		case member.Learner:
		case member.key() == m.self.key():
			matches = append(matches, m.log.last())
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
	m.leaveIfRemoved()
}
