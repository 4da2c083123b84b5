package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// snapshotChunkBytes is the size of a snapshot chunk. Heartbeats share the
// connection and must not wait long behind a chunk.
const snapshotChunkBytes = 256 << 10

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	index, term, size uint64
	data              []byte
}

// SnapshotTaken informs the machine that the driver has made a snapshot of the
// applied state durable. The machine drops the entries that it includes, except
// the last keep ones, which stay for members that lag behind.
func (m *Machine) SnapshotTaken(s *wal.Snapshot, keep uint64) {
	if m.snapshot != nil && s.Index <= m.snapshot.Index {
		return
	}
	m.snapshot = s
	if s.Index > keep {
		m.log.compact(s.Index - keep)
	}
	for len(m.memberships) > 1 && m.memberships[1].index <= m.log.base {
		m.memberships = m.memberships[1:]
	}
}

// SnapshotMembers returns the encoded membership for a snapshot at index.
func (m *Machine) SnapshotMembers(index uint64) []byte { return m.membersAt(index).encode() }

// LastApplied returns the index and the term of the last entry returned in
// Output.Committed.
func (m *Machine) LastApplied() (index, term uint64) {
	t, _ := m.log.term(m.applied)
	return m.applied, t
}

// startSnapshotTransfer starts to send the newest snapshot to a member that
// needs compacted entries.
func (m *Machine) startSnapshotTransfer(now time.Time, to Member, p *progress) {
	p.snapshot = &snapshotTransfer{snapshot: m.snapshot}
	m.sendChunk(now, to, p, false)
}

// sendChunk sends the chunk at the current offset. It repeats the chunk if no
// reply came within the minimum election timeout; until then heartbeats
// maintain the contact.
func (m *Machine) sendChunk(now time.Time, to Member, p *progress, heartbeat bool) {
	t := p.snapshot
	if now.Sub(t.sentAt) < m.opts.MinElectionTimeout {
		if heartbeat {
			m.send(Message{Kind: MessageAppend, To: to, Sent: m.timestamp(now)})
		}
		return
	}
	t.sentAt = now
	size := uint64(len(t.snapshot.Data))
	end := min(t.offset+snapshotChunkBytes, size)
	ms, err := decodeMembers(t.snapshot.Members)
	if err != nil {
		panic("consensus: decoding the membership of a local snapshot: " + err.Error())
	}
	m.send(Message{
		Kind: MessageSnapshot, To: to, Index: t.snapshot.Index, LogTerm: t.snapshot.Term, Members: ms,
		Offset: t.offset, Size: size, Data: t.snapshot.Data[t.offset:end], Sent: m.timestamp(now),
	})
}

func (m *Machine) handleSnapshot(now time.Time, msg Message) {
	if !m.followLeader(now, msg) {
		return
	}
	done := Message{Kind: MessageAppendReply, To: msg.From, Sent: msg.Sent}
	if t, ok := m.log.term(msg.Index); ok && t == msg.LogTerm {
		m.commit = max(m.commit, msg.Index)
	}
	if msg.Index <= m.commit {
		done.Index = m.commit
		m.send(done)
		return
	}
	if err := members(msg.Members).check(); err != nil {
		m.reject(msg, "%v", err)
		return
	}
	in := m.incomingSnapshot
	if in == nil || in.index != msg.Index || in.term != msg.LogTerm || in.size != msg.Size {
		in = &incomingSnapshot{index: msg.Index, term: msg.LogTerm, size: msg.Size}
		m.incomingSnapshot = in
	}
	if msg.Offset == uint64(len(in.data)) {
		if uint64(len(msg.Data)) > in.size-msg.Offset {
			m.reject(msg, "a chunk of %d bytes at %d of %d", len(msg.Data), msg.Offset, in.size)
			return
		}
		in.data = append(in.data, msg.Data...)
	}
	if uint64(len(in.data)) < msg.Size {
		m.send(Message{
			Kind: MessageSnapshotReply, To: msg.From, Index: msg.Index,
			Offset: uint64(len(in.data)), Sent: msg.Sent,
		})
		return
	}
	m.restore(&wal.Snapshot{Index: in.index, Term: in.term, Members: members(msg.Members).encode(), Data: in.data})
	done.Index = msg.Index
	m.send(done)
}

// restore replaces the whole log with a snapshot.
func (m *Machine) restore(s *wal.Snapshot) {
	ms, err := decodeMembers(s.Members)
	if err != nil {
		panic("consensus: decoding the membership of a received snapshot: " + err.Error())
	}
	m.incomingSnapshot = nil
	m.snapshot, m.pendingInstall = s, s
	m.log.reset(s.Index, s.Term)
	m.commit, m.applied = s.Index, s.Index
	m.memberships = []membership{{index: s.Index, members: ms}}
}

func (m *Machine) handleSnapshotReply(now time.Time, msg Message) {
	p := m.contact(now, msg)
	if p == nil || p.snapshot == nil || p.snapshot.snapshot.Index != msg.Index {
		return
	}
	t := p.snapshot
	if msg.Offset == t.offset || msg.Offset > uint64(len(t.snapshot.Data)) {
		return // a stale reply
	}
	t.offset, t.sentAt = msg.Offset, time.Time{}
	if to, ok := m.replicationTargets().find(msg.From.key()); ok {
		m.sendChunk(now, to, p, false)
	}
}
