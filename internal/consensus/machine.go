package consensus

import (
	"fmt"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// leaseTimeoutFraction is the duration of a read lease as a fraction of the
// minimum election timeout. The remainder allows for a difference in rate
// between two clocks.
const leaseTimeoutFraction = 0.9

// membership is a membership and the index of the log entry that holds it.
type membership struct {
	index   uint64
	members members
}

// Machine is the protocol state machine of one host. It is not safe for
// concurrent use. After one or more calls the driver must take the Output and
// carry it out.
type Machine struct {
	opts  MachineOptions
	self  Member
	epoch time.Time // zero point of Message.Sent

	term           uint64
	vote           string        // member key
	bootstrapVote  string        // member key of the coordinator; see wal.HardState
	savedHardState wal.HardState // as last returned by Output

	log         memoryLog
	snapshot    *wal.Snapshot
	commit      uint64
	applied     uint64 // last entry returned in Output.Committed
	memberships []membership

	role              Role
	leader            Member
	lastLeaderContact time.Time // last message from a leader, or the start of the machine
	electionAt        time.Time // when an election starts unless a leader makes contact
	electionDeferred  bool      // electionAt was put off for another host, since the last election or contact

	votes          map[string]bool // as candidate, by member key; false for a refusal
	failedElection *FailedElection // for the next Output

	// As pre-candidate or candidate:
	requestVotesAt   time.Time // when the requests for votes are repeated
	transferCampaign bool      // the leader asked for the election

	// As leader:
	progress           map[string]*progress // of the other members, by key
	termStartIndex     uint64               // index of the no-op entry that starts the term
	heartbeatAt        time.Time            // when the next heartbeats are due
	leadershipTransfer *leadershipTransfer
	removedMembers     []removedMember
	leaseReleased      bool                   // the lease is given up for the rest of the term
	joining            map[string]joiningHost // hosts that ask to be added, by member key

	incomingSnapshot *incomingSnapshot // snapshot being received

	// While no leader makes contact:
	seeds []Member            // see SetSeeds
	peers map[Member]struct{} // with id and address only

	// While the log is empty:
	nextHelloAt  time.Time
	helloReplies map[string]Member // at the coordinator: senders of replies, by host id

	pendingInstall *wal.Snapshot // for the next Output
	messages       []Message
	violations     []string
}

// NewMachine returns a machine that starts at now.
func NewMachine(opts MachineOptions, now time.Time) (*Machine, error) {
	m := &Machine{
		opts:              opts,
		self:              opts.Self,
		epoch:             now.Add(-1), // so that Message.Sent is never 0
		term:              opts.HardState.Term,
		vote:              opts.HardState.Vote,
		bootstrapVote:     opts.HardState.BootstrapVote,
		savedHardState:    opts.HardState,
		snapshot:          opts.Snapshot,
		role:              Follower,
		lastLeaderContact: now,
		nextHelloAt:       now,
		helloReplies:      make(map[string]Member),
	}
	if s := opts.Snapshot; s != nil {
		ms, err := decodeMembers(s.Members)
		if err != nil {
			return nil, err
		}
		m.log.reset(s.Index, s.Term)
		m.commit, m.applied = s.Index, s.Index
		m.memberships = []membership{{index: s.Index, members: ms}}
	}
	for _, e := range opts.Entries {
		m.log.append(e)
		if err := m.recordMembers(e); err != nil {
			return nil, err
		}
	}
	m.log.unstable = m.log.lastIndex() + 1
	if opts.faults.noStartupVoteDelay {
		m.lastLeaderContact = time.Time{}
	}
	if t := m.log.lastTerm(); t > m.term {
		// The host crashed after it had installed a snapshot of a newer term and
		// before it wrote that term. It has sent no message in that term.
		m.term, m.vote = t, ""
	}
	m.resetElection(now)
	return m, nil
}

// Empty reports whether the log is empty: the host was never initialised.
func (m *Machine) Empty() bool { return m.log.lastIndex() == 0 }

// Members returns the membership in force, which is the newest in the log.
func (m *Machine) Members() []Member { return slices.Clone([]Member(m.members())) }

// Term returns the current term.
func (m *Machine) Term() uint64 { return m.term }

// Role returns the role in the current term.
func (m *Machine) Role() Role { return m.role }

// CommitIndex returns the index of the last entry known to be committed.
func (m *Machine) CommitIndex() uint64 { return m.commit }

// LastIndex returns the index of the last entry of the log.
func (m *Machine) LastIndex() uint64 { return m.log.lastIndex() }

// TermStarted reports whether this host leads and the first entry of its term
// is committed, and with it every entry that an earlier leader committed.
func (m *Machine) TermStarted() bool { return m.role == Leader && m.commit >= m.termStartIndex }

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
		if m.Empty() {
			m.learnPeers(msg.From) // this host was a member before it lost its disk
		}
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

// stepTerm handles the messages to which Raft's general rules for terms apply:
// a newer term makes this host a follower, and messages of older terms are
// rejected or ignored.
func (m *Machine) stepTerm(now time.Time, msg Message) {
	if msg.Term > m.term {
		m.becomeFollower(now, msg.Term)
	}
	if msg.Term < m.term {
		if msg.Kind == MessageAppend || msg.Kind == MessageSnapshot {
			// The reply informs the sender of the newer term. It has no Sent time,
			// because it must not extend the lease of the sender.
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

// Tick performs the periodic work that is due at now.
func (m *Machine) Tick(now time.Time) {
	switch {
	case m.Empty():
		m.tickHello(now)
	case m.role == Leader:
		m.tickLeader(now)
	case !now.Before(m.electionAt):
		m.recordFailedElection()
		m.resetElection(now)
		m.electionDeferred = false
		if m.outOfContact(now) {
			m.sendHellos()
		}
		if m.electable() {
			m.preCampaign(now)
		} else {
			m.leader = Member{} // it has made no contact within the timeout
		}
	case m.campaigning() && !now.Before(m.requestVotesAt):
		m.requestVotes(now)
	}
}

// NextTick returns the time at which Tick must be called next.
func (m *Machine) NextTick() time.Time {
	switch {
	case m.Empty():
		return m.nextHelloAt
	case m.role == Leader:
		return m.heartbeatAt
	case m.campaigning() && m.requestVotesAt.Before(m.electionAt):
		return m.requestVotesAt
	default:
		return m.electionAt
	}
}

// Propose appends a command to the log. ok is false if this host is not the
// leader or is transferring leadership.
func (m *Machine) Propose(command []byte) (index, term uint64, ok bool) {
	if m.role != Leader || m.leadershipTransfer != nil {
		return 0, 0, false
	}
	return m.appendEntry(entryCommand, command), m.term, true
}

// appendEntry appends an entry of the current term, as the leader.
func (m *Machine) appendEntry(kind uint8, data []byte) uint64 {
	e := wal.Entry{Index: m.log.lastIndex() + 1, Term: m.term, Kind: kind, Data: data}
	m.log.append(e)
	return e.Index
}

// Output returns the work for the driver and clears it. A leader first queues
// its new entries for sending. It counts itself as holding them at once,
// because the driver makes them durable before it applies or sends anything.
func (m *Machine) Output(now time.Time) Output {
	m.advanceCommit()
	if m.role == Leader {
		m.replicate(now)
	}
	var out Output
	if hs := (wal.HardState{Term: m.term, Vote: m.vote, BootstrapVote: m.bootstrapVote}); hs != m.savedHardState {
		m.savedHardState = hs
		out.HardState = &hs
	}
	out.Install, m.pendingInstall = m.pendingInstall, nil
	if m.log.unstable <= m.log.lastIndex() {
		out.Entries = m.log.entriesFrom(m.log.unstable, int(m.log.lastIndex()), 1<<62)
		m.log.unstable = m.log.lastIndex() + 1
	}
	if m.applied < m.commit {
		out.Committed = m.log.entriesFrom(m.applied+1, int(m.commit-m.applied), 1<<62)
		m.applied = m.commit
	}
	out.Messages, m.messages = m.messages, nil
	out.Violations, m.violations = m.violations, nil
	out.FailedElection, m.failedElection = m.failedElection, nil
	return out
}

// reject records that a message contradicts the protocol and is ignored. To end
// the process would let one faulty peer take down all hosts.
func (m *Machine) reject(msg Message, format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%s in term %d, %s from %s: ", m.self.key(), m.term, msg.Kind, msg.From.key())+fmt.Sprintf(format, args...))
}

// send queues a message. A message without a term gets the current term.
func (m *Machine) send(msg Message) {
	msg.From = m.self
	if msg.Term == 0 {
		msg.Term = m.term
	}
	m.messages = append(m.messages, msg)
}

// resetElection sets a random election timeout that starts at now.
func (m *Machine) resetElection(now time.Time) {
	m.electionAt = now.Add(m.opts.MinElectionTimeout + time.Duration(m.opts.Random(int64(m.opts.MinElectionTimeout))))
}

// becomeFollower ends any other role and forgets the leader. A newer term clears
// the vote.
func (m *Machine) becomeFollower(now time.Time, term uint64) {
	if term > m.term {
		m.term, m.vote = term, ""
		m.incomingSnapshot = nil
	}
	if m.role != Follower {
		m.resetElection(now)
	}
	m.role, m.leader = Follower, Member{}
	m.votes, m.progress, m.leadershipTransfer, m.joining, m.removedMembers = nil, nil, nil, nil, nil
	m.leaseReleased = false
}
