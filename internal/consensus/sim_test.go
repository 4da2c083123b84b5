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
	simElection  = 300 * time.Millisecond
	simHeartbeat = 75 * time.Millisecond
)

// sim runs machines against simulated clocks, disks and a network. It is
// deterministic for a seed. Every check panics with a violation.
type sim struct {
	rand   *rand.Rand
	off    string // mechanism that is switched off; see MachineOptions.Break
	now    time.Duration
	hosts  map[string]*simHost
	ids    []string
	boot   []consensus.Member
	flight []simMessage
	loss   float64 // share of the messages that are lost
	repeat float64 // share that is delivered twice
	late   float64 // share that is delayed by up to 1 s
	cut    map[[2]string]bool
	count  int // of commands

	lostEarly       string // host that lost its disk before the first commit
	keepIncarnation bool   // a lost disk comes back under the same incarnation

	leaders   map[uint64]string // by term
	committed []uint64          // chained hash of the entries up to the index
}

type violation string

type simMessage struct {
	at  time.Duration
	msg consensus.Message
}

// simHost is a host. Its machine is nil while the process is down.
type simHost struct {
	id, incarnation string
	lives           int
	join            bool
	machine         *consensus.Machine
	paused          bool
	inbox           []consensus.Message // while paused
	crashAt         int                 // step of the next output at which the process dies; 0 for none

	start  time.Duration // of the process
	origin time.Time     // local clock at start
	rate   float64       // of the local clock

	hardState wal.HardState // disk
	snapshot  *wal.Snapshot // disk
	entries   []wal.Entry   // disk

	applied    uint64
	leaseUntil time.Time // as a node publishes it
	members    []consensus.Member
}

func newSim(seed uint64, off string, voters, others int) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), off: off, hosts: make(map[string]*simHost),
		cut: make(map[[2]string]bool), leaders: make(map[uint64]string), committed: []uint64{0},
	}
	for i := range voters + others {
		id := string(rune('a' + i))
		s.ids = append(s.ids, id)
		s.hosts[id] = &simHost{id: id, incarnation: id + "1", lives: 1, join: i >= voters}
		if i < voters {
			s.boot = append(s.boot, consensus.Member{ID: id, Address: id})
		}
	}
	for _, id := range s.ids {
		s.startHost(s.hosts[id])
	}
	return s
}

func (s *sim) fail(format string, args ...any) {
	panic(violation(fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, args...)))
}

// startHost starts the process of a host. Its clock runs up to 5% fast or
// slow, so two clocks differ by about the 10% that the lease allows for.
func (s *sim) startHost(h *simHost) {
	h.start, h.rate = s.now, 0.95+0.1*s.rand.Float64()
	h.origin = time.Unix(s.rand.Int64N(1e6), 0)
	h.leaseUntil, h.crashAt, h.applied = time.Time{}, 0, 0
	if h.snapshot != nil {
		h.applied = h.snapshot.Index
	}
	opts := consensus.MachineOptions{
		Self:     consensus.Member{ID: h.id, Incarnation: h.incarnation, Address: h.id},
		Election: simElection, Heartbeat: simHeartbeat, Random: s.rand.Int64N,
		Bootstrap: s.boot, Join: h.join,
		HardState: h.hardState, Snapshot: h.snapshot, Entries: slices.Clone(h.entries),
	}
	opts.Break(s.off)
	m, err := consensus.NewMachine(opts, h.local(s.now))
	if err != nil {
		s.fail("start %s: %v", h.id, err)
	}
	h.machine = m
}

func (h *simHost) local(now time.Duration) time.Time {
	return h.origin.Add(time.Duration(float64(now-h.start) * h.rate))
}

// wake is the simulated time of the next tick.
func (h *simHost) wake() time.Duration {
	return h.start + time.Duration(float64(h.machine.Wake().Sub(h.origin))/h.rate) + time.Microsecond
}

func (h *simHost) empty() bool { return h.snapshot == nil && len(h.entries) == 0 }

func (s *sim) crash(h *simHost) {
	h.machine, h.paused, h.inbox = nil, false, nil
	h.leaseUntil = time.Time{}
}

// loseDisk removes the files of a host that is down.
func (s *sim) loseDisk(h *simHost) {
	s.crash(h)
	h.lives++
	h.join = h.join || len(s.boot) == 1 // see Options.Bootstrap: nobody could tell it that the cluster exists
	if !s.keepIncarnation {
		h.incarnation = fmt.Sprintf("%s%d", h.id, h.lives)
	}
	h.hardState, h.snapshot, h.entries, h.members = wal.HardState{}, nil, nil, nil
}

// mayLoseDisk reports whether the cluster is bound to survive the loss: in
// every membership that a host has, a majority of the voters must remain.
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

// run lets d pass.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		next := end
		if len(s.flight) > 0 {
			next = min(next, s.flight[0].at)
		}
		for _, id := range s.ids {
			if h := s.hosts[id]; h.machine != nil && !h.paused {
				next = min(next, h.wake())
			}
		}
		s.now = max(s.now, next)
		for len(s.flight) > 0 && s.flight[0].at <= s.now {
			msg := s.flight[0].msg
			s.flight = s.flight[1:]
			if !s.cut[[2]string{msg.From.ID, msg.To.ID}] {
				s.deliver(s.hosts[msg.To.ID], msg)
			}
		}
		for _, id := range s.ids {
			h := s.hosts[id]
			if h.machine != nil && !h.paused && h.wake() <= s.now {
				h.machine.Tick(h.local(s.now))
				s.output(h)
			}
		}
	}
}

func (s *sim) deliver(h *simHost, msg consensus.Message) {
	switch {
	case h.machine == nil:
	case h.paused:
		h.inbox = append(h.inbox, msg)
	default:
		h.machine.Step(h.local(s.now), msg)
		s.output(h)
	}
}

func (s *sim) resume(h *simHost) {
	inbox := h.inbox
	h.paused, h.inbox = false, nil
	for _, msg := range inbox {
		s.deliver(h, msg)
	}
}

// output does what a node does with an output, and dies at the step crashAt.
func (s *sim) output(h *simHost) {
	out := h.machine.Output(h.local(s.now))
	died := func(step int) bool {
		if h.crashAt == step {
			s.crash(h)
			return true
		}
		return false
	}
	if died(1) {
		return
	}
	if out.HardState != nil {
		h.hardState = *out.HardState
	}
	if out.Install != nil {
		if died(2) {
			return
		}
		h.snapshot, h.entries = out.Install, nil
		h.applied = out.Install.Index
		s.checkSnapshot(h, out.Install)
	}
	s.persist(h, out.Entries)
	if died(3) {
		return
	}
	for _, e := range out.Committed {
		s.apply(h, e)
	}
	h.leaseUntil = h.machine.LeaseUntil(h.local(s.now))
	h.members = h.machine.Members()
	s.checkLeaders(h)
	for _, msg := range out.Messages {
		if died(4) {
			return
		}
		s.checkVote(h, msg)
		s.post(msg)
		if h.crashAt == 4 && s.rand.IntN(2) == 0 {
			continue
		}
	}
	if died(5) {
		return
	}
	s.maybeSnapshot(h)
}

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

// maybeSnapshot makes a snapshot after some 30 entries.
func (s *sim) maybeSnapshot(h *simHost) {
	base := uint64(0)
	if h.snapshot != nil {
		base = h.snapshot.Index
	}
	if h.applied < base+30 || s.rand.IntN(4) > 0 {
		return
	}
	index, term := h.machine.AppliedTerm()
	data := binary.LittleEndian.AppendUint64(nil, s.committed[index])
	data = append(data, bytes.Repeat([]byte("x"), 600_000)...) // several chunks
	snapshot := &wal.Snapshot{Index: index, Term: term, Members: h.machine.SnapshotMembers(index), Data: data}
	h.entries = slices.Clone(h.entries[index-base:])
	h.snapshot = snapshot
	h.machine.SnapshotTaken(snapshot, uint64(s.rand.IntN(10)))
}

func (s *sim) post(msg consensus.Message) {
	if s.rand.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rand.Float64() < s.repeat {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(s.rand.Int64N(int64(20*time.Millisecond)))
		if s.rand.Float64() < s.late {
			delay += time.Duration(s.rand.Int64N(int64(time.Second)))
		}
		at := s.now + delay
		i, _ := slices.BinarySearchFunc(s.flight, at, func(m simMessage, at time.Duration) int { return int(m.at - at) })
		s.flight = slices.Insert(s.flight, i, simMessage{at, msg})
	}
}

// apply checks that every host applies the same entry at an index.
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

func (s *sim) checkSnapshot(h *simHost, snapshot *wal.Snapshot) {
	if binary.LittleEndian.Uint64(snapshot.Data) != s.committed[snapshot.Index] {
		s.fail("%s installs another snapshot of entry %d than the committed state", h.id, snapshot.Index)
	}
}

// checkLeaders checks that a term has one leader, and that nobody leads while
// another host holds a valid read lease of an older term.
func (s *sim) checkLeaders(h *simHost) {
	if h.machine.Role() != consensus.Leader {
		return
	}
	term, name := h.machine.Term(), h.id+"@"+h.incarnation
	if other, ok := s.leaders[term]; ok && other != name {
		s.fail("%s and %s lead term %d", other, name, term)
	}
	s.leaders[term] = name
	if h.machine.TermStarted() && h.machine.Commit() < uint64(len(s.committed))-1 &&
		h.local(s.now).Before(h.leaseUntil) {
		s.fail("%s would serve a read at entry %d, entry %d is committed", name, h.machine.Commit(), len(s.committed)-1)
	}
	for _, id := range s.ids {
		o := s.hosts[id]
		if o.machine != nil && o.machine.Term() < term && o.local(s.now).Before(o.leaseUntil) {
			s.fail("%s leads term %d while %s holds the read lease of term %d", name, term, o.id, o.machine.Term())
		}
	}
}

func (s *sim) checkVote(h *simHost, msg consensus.Message) {
	vote := msg.Kind == consensus.MessageVoteReply || msg.Kind == consensus.MessagePreVoteReply
	if vote && !msg.Reject && h.empty() {
		s.fail("%s grants a vote with an empty folder", h.id)
	}
}

// leader returns the host with the newest leading term, or nil.
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

// heal ends all faults.
func (s *sim) heal() {
	clear(s.cut)
	s.loss, s.repeat, s.late = 0, 0, 0
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

// settle heals and checks that the cluster serves again and agrees.
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
	if l.applied != uint64(len(s.committed))-1 || l.applied != l.machine.Last() {
		s.fail("leader %s has applied %d of %d entries", l.id, l.applied, l.machine.Last())
	}
	for _, m := range l.members {
		if h := s.hosts[m.ID]; h.incarnation == m.Incarnation && h.applied != l.applied {
			s.fail("%s has applied %d of %d entries", h.id, h.applied, l.applied)
		}
	}
}
