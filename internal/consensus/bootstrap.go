package consensus

import (
	"slices"
	"strings"
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// bootstrapTerm is the term of log entry 1. It has no leader: the coordinator
// creates the entry, and elections start at the next term.
const bootstrapTerm = 1

// joiningTTL is how long Joining lists a host after its last hello message.
const joiningTTL = 10 * time.Second

// joiningHost is a host that asks to be added.
type joiningHost struct {
	member    Member
	lastHello time.Time
}

// coordinator returns the id of the host that forms the first membership.
func (m *Machine) coordinator() string {
	if m.opts.Join || len(m.opts.Bootstrap) == 0 {
		return ""
	}
	return slices.MinFunc(m.opts.Bootstrap, func(a, b Member) int { return strings.Compare(a.ID, b.ID) }).ID
}

// tickHello sends hello messages while the log is empty. With them the coordinator
// collects replies, the other bootstrap members request the first membership, and
// joining hosts ask to be added.
func (m *Machine) tickHello(now time.Time) {
	if now.Before(m.nextHelloAt) {
		return
	}
	m.nextHelloAt = now.Add(m.opts.MinElectionTimeout)
	m.formMembership(now)
	if m.Empty() {
		m.sendHellos()
	}
}

// handleHello answers a host that no leader contacts. While its own log is empty,
// the host replies only to its coordinator, and accepts only the first incarnation
// of it; bootstrapVote makes that choice durable.
func (m *Machine) handleHello(now time.Time, msg Message) {
	if msg.From.Incarnation == "" || msg.From.key() == m.self.key() {
		return
	}
	if !m.Empty() {
		m.answerHello(now, msg)
		return
	}
	m.learnPeers(msg.From) // the sender may find the leader first
	if !msg.Transfer || m.coordinator() != msg.From.ID || !m.sameBootstrap(msg.Members) {
		return
	}
	if m.bootstrapVote == "" {
		m.bootstrapVote = msg.From.key()
	}
	m.send(Message{Kind: MessageHelloReply, To: msg.From, Reject: m.bootstrapVote != msg.From.key()})
}

// answerHello sends the first membership to a host with an empty log that belongs to
// it. Any other host that is not a member is told the members, one of which leads,
// and the leader records it, so that Joining lists it to be added.
func (m *Machine) answerHello(now time.Time, msg Message) {
	if first := m.log.entriesFrom(1, 1, 0); msg.Index == 0 && len(first) == 1 && first[0].Kind == entryMembers {
		if ms, err := decodeMembers(first[0].Data); err == nil {
			if _, ok := ms.find(msg.From.key()); ok {
				m.send(Message{Kind: MessageBootstrap, To: msg.From, Entries: first})
				return
			}
		}
	}
	if _, known := m.members().find(msg.From.key()); known {
		return // the leader replicates the log to it
	}
	if m.role == Leader {
		m.joining[msg.From.key()] = joiningHost{member: msg.From, lastHello: now}
	}
	m.send(Message{Kind: MessageHelloReply, To: msg.From, Reject: true, Members: m.members()})
}

// sameBootstrap reports whether other lists the same host ids as the bootstrap
// members of this host.
func (m *Machine) sameBootstrap(other []Member) bool {
	ids := func(ms []Member) []string {
		var out []string
		for _, member := range ms {
			out = append(out, member.ID)
		}
		slices.Sort(out)
		return out
	}
	return slices.Equal(ids(m.opts.Bootstrap), ids(other))
}

func (m *Machine) handleHelloReply(now time.Time, msg Message) {
	if msg.Reject {
		m.learnPeers(msg.Members...)
	}
	if msg.Reject || !m.Empty() || m.coordinator() != m.self.ID {
		return
	}
	m.helloReplies[msg.From.ID] = msg.From
	m.formMembership(now)
}

// formMembership creates log entry 1 once every bootstrap member has replied.
// Only the coordinator does so.
func (m *Machine) formMembership(now time.Time) {
	if m.coordinator() != m.self.ID {
		return
	}
	var ms members
	for _, member := range m.opts.Bootstrap {
		answer, ok := m.helloReplies[member.ID]
		if member.ID == m.self.ID {
			answer, ok = m.self, true
		}
		if !ok {
			return
		}
		member.Incarnation, member.Learner = answer.Incarnation, false
		ms = ms.with(member)
	}
	e := wal.Entry{Index: 1, Term: bootstrapTerm, Kind: entryMembers, Data: ms.encode()}
	m.initialise(now, Message{Kind: MessageBootstrap, From: m.self}, e)
	for _, to := range ms {
		if to.key() != m.self.key() {
			m.send(Message{Kind: MessageBootstrap, To: to, Entries: []wal.Entry{e}})
		}
	}
}

// handleBootstrap adopts the first membership if this host belongs to it.
func (m *Machine) handleBootstrap(now time.Time, msg Message) {
	if !m.Empty() || len(msg.Entries) != 1 || msg.Entries[0].Index != 1 || msg.Entries[0].Kind != entryMembers {
		return
	}
	ms, err := decodeMembers(msg.Entries[0].Data)
	if _, ok := ms.find(m.self.key()); err != nil || !ok {
		return
	}
	m.initialise(now, msg, msg.Entries[0])
}

// initialise starts the log with entry 1, which msg carries.
func (m *Machine) initialise(now time.Time, msg Message, e wal.Entry) {
	m.term = max(m.term, bootstrapTerm)
	m.acceptEntry(msg, e)
	m.resetElection(now)
}

// Joining returns the hosts that have asked this leader to be added.
func (m *Machine) Joining(now time.Time) []Member {
	var out []Member
	for key, j := range m.joining {
		if _, known := m.members().find(key); known || now.Sub(j.lastHello) > joiningTTL {
			delete(m.joining, key)
			continue
		}
		out = append(out, j.member)
	}
	slices.SortFunc(out, compareMembers)
	return out
}
