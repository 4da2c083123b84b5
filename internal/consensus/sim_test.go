package consensus_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/wal"
)

const (
	simElectionTimeout   = 300 * time.Millisecond
	simHeartbeatInterval = 75 * time.Millisecond
)

// sim runs machines with simulated clocks, disks and a simulated network. It is
// deterministic for a seed. A failed check panics with a violation.
type sim struct {
	rand          *rand.Rand
	disabled      string // disabled mechanism; see MachineOptions.Disable
	now           time.Duration
	hosts         map[string]*simHost
	ids           []string
	bootstrap     []consensus.Member
	inTransit     []simMessage
	lossRate      float64 // fraction of the messages that are lost
	duplicateRate float64 // fraction that is delivered twice
	delayRate     float64 // fraction that is delayed by up to 1 s
	cutLinks      map[[2]string]bool
	commandCount  int // number of commands proposed

	lose      func(msg consensus.Message) bool // further messages that are lost; nil for none
	slowWrite time.Duration                    // duration of a write while slowWrites of the host is positive
	senders   map[[2]string]*simSender         // nil: messages don't wait for each other

	earlyDiskLoss   string // host that lost its disk before the first commit
	keepIncarnation bool   // a host that lost its disk keeps its incarnation
	answersEarly    bool   // a leader answers reads before it has committed an entry of its term

	leaders   map[uint64]string // first leader seen, by term
	committed []uint64          // by index: chained hash of the entries up to it
}

// violation is a failed check.
type violation string

type simMessage struct {
	at  time.Duration
	msg consensus.Message
}

// simHost is a simulated host. Its machine is nil while the process is down.
type simHost struct {
	id, incarnation  string
	incarnationCount int
	join             bool
	seeds            []consensus.Member // nil for the bootstrap members; only with join
	machine          *consensus.Machine
	paused           bool
	inbox            []consensus.Message // messages received while paused
	crashAt          int                 // step of the next output at which the process crashes; 0 for none
	slowWrites       int                 // further writes that take slowWrite
	busyUntil        time.Duration       // end of a slow write; 0 for none
	returnAt         time.Duration       // while the machine has no power: when the process starts again

	start  time.Duration // start of the process
	origin time.Time     // local clock at start
	rate   float64       // rate of the local clock

	hardState wal.HardState // disk
	snapshot  *wal.Snapshot // disk
	entries   []wal.Entry   // disk

	applied    uint64
	leaseUntil time.Time // as a node publishes it
	members    []consensus.Member
}

func newSim(seed uint64, disabled string, voters, others int) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), disabled: disabled, hosts: make(map[string]*simHost),
		cutLinks: make(map[[2]string]bool), leaders: make(map[uint64]string), committed: []uint64{0},
	}
	for i := range voters + others {
		id := string(rune('a' + i))
		s.ids = append(s.ids, id)
		s.hosts[id] = &simHost{id: id, incarnation: id + "1", incarnationCount: 1, join: i >= voters}
		if i < voters {
			s.bootstrap = append(s.bootstrap, consensus.Member{ID: id, Address: id})
		}
	}
	for _, id := range s.ids {
		s.startHost(s.hosts[id])
	}
	return s
}

// fail panics with a violation.
func (s *sim) fail(format string, args ...any) {
	panic(violation(fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, args...)))
}

// startHost starts the process of a host. Its clock runs up to 5% fast or slow,
// so two clock rates differ by up to about the 10% that the lease allows.
func (s *sim) startHost(h *simHost) {
	h.start, h.rate = s.now, 0.95+0.1*s.rand.Float64()
	h.origin = time.Unix(s.rand.Int64N(1e6), 0)
	h.leaseUntil, h.crashAt, h.applied = time.Time{}, 0, 0
	if h.snapshot != nil {
		h.applied = h.snapshot.Index
	}
	opts := consensus.MachineOptions{
		Self:               consensus.Member{ID: h.id, Incarnation: h.incarnation, Address: h.id},
		MinElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeatInterval, Random: s.rand.Int64N,
		Bootstrap: s.bootstrap, Join: h.join,
		HardState: h.hardState, Snapshot: h.snapshot, Entries: slices.Clone(h.entries),
	}
	if h.seeds != nil {
		opts.Bootstrap = h.seeds
	}
	opts.Disable(s.disabled)
	m, err := consensus.NewMachine(opts, h.localTime(s.now))
	if err != nil {
		s.fail("start %s: %v", h.id, err)
	}
	h.machine = m
}

// localTime returns the reading of the host's clock at now.
func (h *simHost) localTime(now time.Duration) time.Time {
	return h.origin.Add(time.Duration(float64(now-h.start) * h.rate))
}

// nextTick returns the simulated time of the next tick.
func (h *simHost) nextTick() time.Duration {
	return h.start + time.Duration(float64(h.machine.NextTick().Sub(h.origin))/h.rate) + time.Microsecond
}

func (h *simHost) empty() bool { return h.snapshot == nil && len(h.entries) == 0 }

// crash ends the process of a host; its disk stays.
func (s *sim) crash(h *simHost) {
	h.machine, h.paused, h.inbox = nil, false, nil
	h.busyUntil, h.slowWrites = 0, 0
	h.leaseUntil = time.Time{}
}

// loseDisk crashes a host and clears its disk.
func (s *sim) loseDisk(h *simHost) {
	s.crash(h)
	h.incarnationCount++
	h.join = h.join || len(s.bootstrap) == 1 // see Options.Bootstrap: no other host could inform it that the cluster exists
	if !s.keepIncarnation {
		h.incarnation = fmt.Sprintf("%s%d", h.id, h.incarnationCount)
	}
	h.hardState, h.snapshot, h.entries, h.members = wal.HardState{}, nil, nil, nil
}

// mayLoseDisk reports whether the cluster must survive the loss of this disk: in
// the membership that each host has in force, a majority of the voters remains.
func (s *sim) mayLoseDisk(h *simHost) bool {
	for _, other := range s.hosts {
		if len(other.members) == 0 && !other.join {
			return false // the bootstrap is not complete
		}
		voters, lost := 0, 0
		for _, m := range other.members {
			if m.Learner {
				continue
			}
			voters++
			if s.hosts[m.ID].incarnation != m.Incarnation || m.ID == h.id {
				lost++
			}
		}
		if lost > 0 && lost > (voters-1)/2 {
			return false
		}
	}
	return true
}

// run advances the simulated time by d.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		next := end
		if len(s.inTransit) > 0 {
			next = min(next, s.inTransit[0].at)
		}
		for _, id := range s.ids {
			if h := s.hosts[id]; h.machine != nil && !h.paused {
				next = min(next, max(h.nextTick(), h.busyUntil))
			}
		}
		s.now = max(s.now, next)
		for len(s.inTransit) > 0 && s.inTransit[0].at <= s.now {
			msg := s.inTransit[0].msg
			s.inTransit = s.inTransit[1:]
			if !s.cutLinks[[2]string{msg.From.ID, msg.To.ID}] {
				s.deliver(s.hosts[msg.To.ID], msg)
			}
		}
		for _, id := range s.ids {
			h := s.hosts[id]
			if h.machine == nil || h.paused || h.busyUntil > s.now {
				continue
			}
			if h.busyUntil > 0 {
				s.endWrite(h)
			} else if h.nextTick() <= s.now {
				h.machine.Tick(h.localTime(s.now))
				s.output(h)
			}
		}
	}
}

// deliver passes a message to a host, or queues it while the host is paused or
// waits for its disk.
func (s *sim) deliver(h *simHost, msg consensus.Message) {
	switch {
	case h.machine == nil:
	case h.paused, h.busyUntil > 0:
		h.inbox = append(h.inbox, msg)
	default:
		h.machine.Step(h.localTime(s.now), msg)
		s.output(h)
	}
}

// resume ends a pause and delivers the queued messages.
func (s *sim) resume(h *simHost) {
	inbox := h.inbox
	h.paused, h.inbox = false, nil
	for _, msg := range inbox {
		s.deliver(h, msg)
	}
}

// output carries out an Output as a node does, and crashes at the step crashAt.
func (s *sim) output(h *simHost) {
	out := h.machine.Output(h.localTime(s.now))
	if len(out.Violations) > 0 {
		panic(violation(out.Violations[0]))
	}
	crashed := func(step int) bool {
		if h.crashAt == step {
			s.crash(h)
			return true
		}
		return false
	}
	if crashed(1) {
		return
	}
	if out.HardState != nil {
		h.hardState = *out.HardState
	}
	if out.Install != nil {
		if crashed(2) {
			return
		}
		h.snapshot, h.entries = out.Install, nil
		h.applied = out.Install.Index
		s.checkSnapshot(h, out.Install)
	}
	s.persist(h, out.Entries)
	if out.HardState != nil || out.Install != nil || len(out.Entries) > 0 {
		s.startWrite(h)
	}
	if crashed(3) {
		return
	}
	for _, e := range out.Committed {
		s.apply(h, e)
	}
	h.leaseUntil = h.machine.LeaseUntil(h.localTime(s.now))
	h.members = h.machine.Members()
	s.checkLeaders(h)
	for _, msg := range out.Messages {
		if crashed(4) {
			return
		}
		s.checkVote(h, msg)
		s.transmit(msg)
		if h.crashAt == 4 && s.rand.IntN(2) == 0 {
			continue
		}
	}
	if crashed(5) {
		return
	}
	s.maybeSnapshot(h)
}

// persist writes entries to the disk of a host.
func (s *sim) persist(h *simHost, entries []wal.Entry) {
	if len(entries) == 0 {
		return
	}
	base := uint64(0)
	if h.snapshot != nil {
		base = h.snapshot.Index
	}
	for _, e := range entries {
		if e.Index > base {
			h.entries = append(h.entries[:e.Index-1-base:e.Index-1-base], e)
		}
	}
}

// maybeSnapshot takes a snapshot, with a chance of 1 in 4, once 30 entries were
// applied since the last one.
func (s *sim) maybeSnapshot(h *simHost) {
	base := uint64(0)
	if h.snapshot != nil {
		base = h.snapshot.Index
	}
	if h.applied < base+30 || s.rand.IntN(4) > 0 {
		return
	}
	index, term := h.machine.LastApplied()
	data := binary.LittleEndian.AppendUint64(nil, s.committed[index])
	data = append(data, bytes.Repeat([]byte("x"), 600_000)...) // several chunks
	snapshot := &wal.Snapshot{Index: index, Term: term, Members: h.machine.SnapshotMembers(index), Data: data}
	h.entries = slices.Clone(h.entries[index-base:])
	h.snapshot = snapshot
	h.machine.SnapshotTaken(snapshot, uint64(s.rand.IntN(10)))
}

// transmit sends a message, which may be lost, duplicated or delayed.
func (s *sim) transmit(msg consensus.Message) {
	if s.rand.Float64() < s.lossRate || s.lose != nil && s.lose(msg) {
		return
	}
	copies := 1
	if s.rand.Float64() < s.duplicateRate {
		copies = 2
	}
	var written time.Duration // what is left of the write that the message waits for
	if h := s.hosts[msg.From.ID]; h.busyUntil > 0 {
		written = h.busyUntil - s.now
	}
	for range copies {
		delay := time.Millisecond + time.Duration(s.rand.Int64N(int64(20*time.Millisecond)))
		if s.rand.Float64() < s.delayRate {
			delay += time.Duration(s.rand.Int64N(int64(time.Second)))
		}
		at := s.now + written + delay
		if s.senders != nil {
			var ok bool
			if at, ok = s.queue(msg, s.now+written, delay); !ok {
				continue
			}
		}
		i, _ := slices.BinarySearchFunc(s.inTransit, at, func(m simMessage, at time.Duration) int { return int(m.at - at) })
		s.inTransit = slices.Insert(s.inTransit, i, simMessage{at, msg})
	}
}

// apply applies an entry and checks that every host applies the same entry at
// that index.
func (s *sim) apply(h *simHost, e wal.Entry) {
	if e.Index != h.applied+1 {
		s.fail("%s applies entry %d after %d", h.id, e.Index, h.applied)
	}
	h.applied = e.Index
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %d %d %x", s.committed[e.Index-1], e.Term, e.Kind, e.Data)
	if e.Index == uint64(len(s.committed)) {
		s.committed = append(s.committed, hash.Sum64())
	}
	if s.committed[e.Index] != hash.Sum64() {
		s.fail("%s applies another entry %d (term %d) than was committed before", h.id, e.Index, e.Term)
	}
}

// checkSnapshot checks that an installed snapshot holds the committed state.
func (s *sim) checkSnapshot(h *simHost, snapshot *wal.Snapshot) {
	if binary.LittleEndian.Uint64(snapshot.Data) != s.committed[snapshot.Index] {
		s.fail("%s installs another snapshot of entry %d than the committed state", h.id, snapshot.Index)
	}
}

// checkLeaders checks that a term has at most one leader, that a leader with a
// valid lease knows of every committed entry, and that no host leads while
// another holds a valid read lease of an older term.
func (s *sim) checkLeaders(h *simHost) {
	if h.machine.Role() != consensus.Leader {
		return
	}
	term, name := h.machine.Term(), h.id+"@"+h.incarnation
	if other, ok := s.leaders[term]; ok && other != name {
		s.fail("%s and %s lead term %d", other, name, term)
	}
	s.leaders[term] = name
	if h.machine.TermStarted() && h.machine.CommitIndex() < uint64(len(s.committed))-1 &&
		h.localTime(s.now).Before(h.leaseUntil) {
		s.fail("%s would serve a read at entry %d, entry %d is committed", name, h.machine.CommitIndex(), len(s.committed)-1)
	}
	for _, id := range s.ids {
		o := s.hosts[id]
		if o.machine != nil && o.machine.Term() < term && o.localTime(s.now).Before(o.leaseUntil) {
			s.fail("%s leads term %d while %s holds the read lease of term %d", name, term, o.id, o.machine.Term())
		}
	}
}

// checkVote checks that a host with an empty folder grants no vote.
func (s *sim) checkVote(h *simHost, msg consensus.Message) {
	vote := msg.Kind == consensus.MessageVoteReply || msg.Kind == consensus.MessagePreVoteReply
	if vote && !msg.Reject && h.empty() {
		s.fail("%s grants a vote with an empty folder", h.id)
	}
}

// leader returns the running leader of the newest term, or nil.
func (s *sim) leader() *simHost {
	var best *simHost
	for _, id := range s.ids {
		h := s.hosts[id]
		if h.machine != nil && !h.paused && h.machine.Role() == consensus.Leader &&
			(best == nil || h.machine.Term() > best.machine.Term()) {
			best = h
		}
	}
	return best
}

// heal ends all faults: it restores the network, and starts and resumes all
// hosts.
func (s *sim) heal() {
	clear(s.cutLinks)
	s.lossRate, s.duplicateRate, s.delayRate = 0, 0, 0
	for _, id := range s.ids {
		h := s.hosts[id]
		h.crashAt = 0
		if h.machine == nil {
			s.startHost(h)
		}
		if h.paused {
			s.resume(h)
		}
	}
}

// settle ends all faults and checks that the cluster commits a command again and
// that all members apply the same number of entries.
func (s *sim) settle() {
	s.heal()
	s.run(5 * time.Second)
	l := s.leader()
	if l == nil {
		s.fail("no leader 5 s after the faults ended: %v", slices.Sorted(maps.Keys(s.hosts)))
	}
	if _, _, ok := l.machine.Propose([]byte("last")); !ok {
		s.fail("the leader refuses a command 5 s after the faults ended")
	}
	s.output(l)
	s.run(2 * time.Second)
	if l.applied != uint64(len(s.committed))-1 || l.applied != l.machine.LastIndex() {
		s.fail("leader %s has applied %d of %d entries", l.id, l.applied, l.machine.LastIndex())
	}
	for _, m := range l.members {
		if h := s.hosts[m.ID]; h.incarnation == m.Incarnation && h.applied != l.applied {
			s.fail("%s has applied %d of %d entries", h.id, h.applied, l.applied)
		}
	}
}
