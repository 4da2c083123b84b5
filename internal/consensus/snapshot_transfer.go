package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// chunkBytes is the size of a snapshot chunk: heartbeats share the connection
// and must not wait long behind it.
const chunkBytes = 256 << 10

// incoming is a snapshot that is being received.
type incoming struct {
	index, term uint64
	data        []byte
}

// SnapshotTaken tells the machine that the driver made a snapshot of the
// applied state durable. The last keep entries stay for members that lag.
func (m *Machine) SnapshotTaken(s *wal.Snapshot, keep uint64) {
	if m.snapshot != nil && s.Index <= m.snapshot.Index {
		return
	}
	m.snapshot = s
	if s.Index > keep {
		m.log.compact(s.Index - keep)
	}
	for len(m.configs) > 1 && m.configs[1].index <= m.log.base {
		m.configs = m.configs[1:]
	}
}

// SnapshotMembers returns the encoded membership for a snapshot at index.
func (m *Machine) SnapshotMembers(index uint64) []byte { return m.membersAt(index).encode() }

// AppliedTerm returns the index and the term of the last entry handed out.
func (m *Machine) AppliedTerm() (index, term uint64) {
	t, _ := m.log.term(m.applied)
	return m.applied, t
}

func (m *Machine) startTransfer(now time.Time, to Member, p *progress) {
	p.snapshot = &transfer{snapshot: m.snapshot}
	m.sendChunk(now, to, p, false)
}

// sendChunk sends the next chunk, or repeats it after the election timeout.
// In between, heartbeats keep up the contact.
func (m *Machine) sendChunk(now time.Time, to Member, p *progress, heartbeat bool) {
	t := p.snapshot
	if now.Sub(t.sentAt) < m.opts.Election {
		if heartbeat {
			m.send(Message{Kind: MessageAppend, To: to, Sent: m.clock(now)})
		}
		return
	}
	t.sentAt = now
	size := uint64(len(t.snapshot.Data))
	end := min(t.offset+chunkBytes, size)
	ms, err := decodeMembers(t.snapshot.Members)
	if err != nil {
		panic("consensus: own snapshot has no membership: " + err.Error())
	}
	m.send(Message{
		Kind: MessageSnapshot, To: to, Index: t.snapshot.Index, LogTerm: t.snapshot.Term, Members: ms,
		Offset: t.offset, Size: size, Data: t.snapshot.Data[t.offset:end], Sent: m.clock(now),
	})
}

func (m *Machine) handleSnapshot(now time.Time, msg Message) {
	m.follow(now, msg)
	done := Message{Kind: MessageAppendReply, To: msg.From, Sent: msg.Sent}
	if t, ok := m.log.term(msg.Index); ok && t == msg.LogTerm {
		m.commit = max(m.commit, msg.Index)
	}
	if msg.Index <= m.commit {
		done.Index = m.commit
		m.send(done)
		return
	}
	in := m.incoming
	if in == nil || in.index != msg.Index || in.term != msg.LogTerm {
		in = &incoming{index: msg.Index, term: msg.LogTerm}
		m.incoming = in
	}
	if msg.Offset == uint64(len(in.data)) {
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

// restore replaces the whole log by a snapshot.
func (m *Machine) restore(s *wal.Snapshot) {
	ms, err := decodeMembers(s.Members)
	if err != nil {
		panic("consensus: membership that was just encoded: " + err.Error())
	}
	m.incoming = nil
	m.snapshot, m.install = s, s
	m.log.reset(s.Index, s.Term)
	m.commit, m.applied = s.Index, s.Index
	m.configs = []membership{{index: s.Index, members: ms}}
}

func (m *Machine) handleSnapshotReply(now time.Time, msg Message) {
	p := m.contact(now, msg)
	if p == nil || p.snapshot == nil || p.snapshot.snapshot.Index != msg.Index {
		return
	}
	t := p.snapshot
	if msg.Offset == t.offset || msg.Offset > uint64(len(t.snapshot.Data)) {
		return // an old reply
	}
	t.offset, t.sentAt = msg.Offset, time.Time{}
	if to, ok := m.targets().find(msg.From.key()); ok {
		m.sendChunk(now, to, p, false)
	}
}
