package consensus

import (
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// leaseShare is the part of the minimum election timeout that a read lease
// lasts. The rest is the bound for the drift between two clocks.
const leaseShare = 0.9

// membership is a membership and the log entry that holds it.
type membership struct {
	index   uint64
	members members
}

// Machine is the protocol of one host. It is not safe for concurrent use.
// After each call, or several, the driver must take and complete the Output.
type Machine struct {
	opts  MachineOptions
	self  Member
	epoch time.Time // origin of Message.Sent

	term   uint64
	vote   string // key
	pledge string // key
	saved  wal.HardState

	log      memoryLog
	snapshot *wal.Snapshot
	commit   uint64
	applied  uint64 // last entry handed out as committed
	configs  []membership

	role       Role
	leader     Member
	heard      time.Time // when a leader was last heard, or the start of the machine
	electionAt time.Time

	votes map[string]bool // as candidate

	// As leader:
	progress    map[string]*progress // other members
	firstIndex  uint64               // no-op of the term
	heartbeatAt time.Time
	handover    *handover
	departures  []departure
	abdicated   bool // the lease is given up for the rest of the term
	joining     map[string]joining

	incoming *incoming // snapshot being received

	// While the log is empty:
	helloAt time.Time
	greeted map[string]Member // coordinator: answers by host id

	install  *wal.Snapshot
	messages []Message
}

// NewMachine returns a machine that starts at now.
func NewMachine(opts MachineOptions, now time.Time) (*Machine, error) {
	m := &Machine{
		opts:     opts,
		self:     opts.Self,
		epoch:    now.Add(-1), // Message.Sent is never 0 then
		term:     opts.HardState.Term,
		vote:     opts.HardState.Vote,
		pledge:   opts.HardState.Pledge,
		saved:    opts.HardState,
		snapshot: opts.Snapshot,
		role:     Follower,
		heard:    now,
		helloAt:  now,
		greeted:  make(map[string]Member),
	}
	if s := opts.Snapshot; s != nil {
		ms, err := decodeMembers(s.Members)
		if err != nil {
			return nil, err
		}
		m.log.reset(s.Index, s.Term)
		m.commit, m.applied = s.Index, s.Index
		m.configs = []membership{{index: s.Index, members: ms}}
	}
	for _, e := range opts.Entries {
		m.log.append(e)
		if err := m.noteMembers(e); err != nil {
			return nil, err
		}
	}
	m.log.unstable = m.log.last() + 1
	if opts.faults.noRestartQuiet {
		m.heard = time.Time{}
	}
	if t := m.log.lastTerm(); t > m.term {
		// The snapshot of a newer term was installed, but the crash came before
		// the new term was written. Nothing was sent in that term.
		m.term, m.vote = t, ""
	}
	m.resetElection(now)
	return m, nil
}

// Empty reports whether the host was never initialised.
func (m *Machine) Empty() bool { return m.log.last() == 0 }

// Members returns the membership in force: the newest in the log.
func (m *Machine) Members() []Member { return slices.Clone([]Member(m.members())) }

// Term returns the newest term seen.
func (m *Machine) Term() uint64 { return m.term }

// Role returns the role in the term.
func (m *Machine) Role() Role { return m.role }

// Commit returns the index of the last entry known to be committed.
func (m *Machine) Commit() uint64 { return m.commit }

// Last returns the index of the last entry of the log.
func (m *Machine) Last() uint64 { return m.log.last() }

// TermStarted reports whether this host leads and the first entry of its term
// is committed, hence every entry that any earlier leader committed.
func (m *Machine) TermStarted() bool { return m.role == Leader && m.commit >= m.firstIndex }

// Step handles a message.
func (m *Machine) Step(now time.Time, msg Message) {
	if msg.To.ID != m.self.ID {
		return
	}
	if msg.Kind == MessageHello {
		m.handleHello(now, msg)
		return
	}
	if msg.To.Incarnation != m.self.Incarnation {
		return
	}
	switch msg.Kind {
	case MessageHelloReply:
		m.handleHelloReply(now, msg)
	case MessageBootstrap:
		m.handleBootstrap(now, msg)
	case MessagePreVote:
		m.handlePreVote(now, msg)
	case MessageVote:
		m.handleVote(now, msg)
	case MessagePreVoteReply:
		m.handlePreVoteReply(now, msg)
	default:
		m.stepTerm(now, msg)
	}
}

// stepTerm handles the messages whose term is compared in the common way.
func (m *Machine) stepTerm(now time.Time, msg Message) {
	if msg.Term > m.term {
		m.becomeFollower(now, msg.Term)
	}
	if msg.Term < m.term {
		if msg.Kind == MessageAppend || msg.Kind == MessageSnapshot {
			// The sender learns the new term. Sent is not copied: this host no
			// longer counts for the lease of the sender.
			m.send(Message{Kind: MessageAppendReply, To: msg.From, Reject: true})
		}
		return
	}
	switch msg.Kind {
	case MessageAppend:
		m.handleAppend(now, msg)
	case MessageAppendReply:
		m.handleAppendReply(now, msg)
	case MessageSnapshot:
		m.handleSnapshot(now, msg)
	case MessageSnapshotReply:
		m.handleSnapshotReply(now, msg)
	case MessageVoteReply:
		m.handleVoteReply(now, msg)
	case MessageTimeoutNow:
		m.handleTimeoutNow(now, msg)
	}
}

// Tick does what is due at now.
func (m *Machine) Tick(now time.Time) {
	switch {
	case m.Empty():
		m.tickHello(now)
	case m.role == Leader:
		m.tickLeader(now)
	case !now.Before(m.electionAt):
		m.resetElection(now)
		if m.electable() {
			m.preCampaign(now)
		}
	}
}

// Wake returns when Tick has something to do next.
func (m *Machine) Wake() time.Time {
	switch {
	case m.Empty():
		return m.helloAt
	case m.role == Leader:
		return m.heartbeatAt
	default:
		return m.electionAt
	}
}

// Propose appends a command to the log of the leader. It returns false if
// this host can't take it.
func (m *Machine) Propose(command []byte) (index, term uint64, ok bool) {
	if m.role != Leader || m.handover != nil {
		return 0, 0, false
	}
	return m.appendOwn(entryCommand, command), m.term, true
}

// appendOwn appends an entry of the own term.
func (m *Machine) appendOwn(kind uint8, data []byte) uint64 {
	e := wal.Entry{Index: m.log.last() + 1, Term: m.term, Kind: kind, Data: data}
	m.log.append(e)
	return e.Index
}

// Output takes the work for the driver. A leader first sends the new entries.
// It counts them as its own at once, because the driver makes them durable
// before it applies or sends anything.
func (m *Machine) Output(now time.Time) Output {
	m.advanceCommit()
	if m.role == Leader {
		m.replicate(now)
	}
	var out Output
	if hs := (wal.HardState{Term: m.term, Vote: m.vote, Pledge: m.pledge}); hs != m.saved {
		m.saved = hs
		out.HardState = &hs
	}
	out.Install, m.install = m.install, nil
	if m.log.unstable <= m.log.last() {
		out.Entries = m.log.from(m.log.unstable, int(m.log.last()), 1<<62)
		m.log.unstable = m.log.last() + 1
	}
	if m.applied < m.commit {
		out.Committed = m.log.from(m.applied+1, int(m.commit-m.applied), 1<<62)
		m.applied = m.commit
	}
	out.Messages, m.messages = m.messages, nil
	return out
}

// send queues a message. It carries the current term unless it has one.
func (m *Machine) send(msg Message) {
	msg.From = m.self
	if msg.Term == 0 {
		msg.Term = m.term
	}
	m.messages = append(m.messages, msg)
}

func (m *Machine) resetElection(now time.Time) {
	m.electionAt = now.Add(m.opts.Election + time.Duration(m.opts.Random(int64(m.opts.Election))))
}

// becomeFollower ends any other role. A newer term clears the vote.
func (m *Machine) becomeFollower(now time.Time, term uint64) {
	if term > m.term {
		m.term, m.vote = term, ""
		m.incoming = nil
	}
	if m.role != Follower {
		m.resetElection(now)
	}
	m.role, m.leader = Follower, Member{}
	m.votes, m.progress, m.handover, m.joining, m.departures = nil, nil, nil, nil, nil
	m.abdicated = false
}
