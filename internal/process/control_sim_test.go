package process_test

import (
	"bytes"
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/internal/wal"
)

const (
	simElectionTimeout  = 300 * time.Millisecond
	simHeartbeat        = 75 * time.Millisecond
	simMembershipPause  = process.MembershipInterval
	simChangeTimeout    = 2 * time.Second
	simRegisterInterval = time.Second
	simSnapshotEvery    = 60
)

// controlSim runs control hosts with simulated clocks, disks and a simulated network:
// their machines, the decisions on the membership, and the registration of their data
// centres. It is deterministic for a seed. A failed check panics with a violation.
type controlSim struct {
	rand     *rand.Rand
	now      time.Duration
	events   simEvents
	hosts    map[string]*controlHost // every host that ever served, by id
	ids      []string                // in the order of their first start
	cut      map[[2]string]bool
	lossRate float64
	final    bool // no further host is replaced
	proposed int
	log      func(format string, args ...any)
}

// violation is a failed check.
type violation string

// controlHost is a simulated control host. Its machine is nil while its process is down.
type controlHost struct {
	id, dataCentre, incarnation string
	incarnations                int
	machine                     *consensus.Machine
	frozen, gone                bool
	inbox                       []consensus.Message // received while frozen
	run                         int                 // number of starts
	lostUntil                   time.Duration       // counts as lost until then

	hardState wal.HardState // disk
	snapshot  *wal.Snapshot // disk
	entries   []wal.Entry   // disk

	applied     uint64
	state       map[string]string // applied state: data centre by id, and commands
	checkAt     time.Duration     // when the membership is checked next
	changeIndex uint64            // entry of the change of the membership in progress; 0 for none
	changeTerm  uint64
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newControlSim starts n control hosts in as many data centres, the first three of which
// bootstrap.
func newControlSim(seed uint64, n int, log func(format string, args ...any)) *controlSim {
	return newControlSimIn(seed, n, n, log)
}

// newControlSimIn is newControlSim with the hosts in the given number of data centres.
func newControlSimIn(seed uint64, n, dataCentres int, log func(format string, args ...any)) *controlSim {
	s := &controlSim{rand: rand.New(rand.NewPCG(seed, 2)), hosts: make(map[string]*controlHost), cut: make(map[[2]string]bool), log: log}
	var first []consensus.Member
	for i := range n {
		h := s.addHost(fmt.Sprint("d", i%dataCentres))
		if i < 3 {
			first = append(first, consensus.Member{ID: h.id, Address: h.id})
		}
	}
	for i, id := range s.ids {
		s.startWith(s.hosts[id], first, i >= 3)
	}
	return s
}

func (s *controlSim) addHost(dataCentre string) *controlHost {
	h := &controlHost{id: fmt.Sprint("c", len(s.ids)), dataCentre: dataCentre, incarnations: 1, state: make(map[string]string)}
	h.incarnation = h.id + "-1"
	s.ids, s.hosts[h.id] = append(s.ids, h.id), h
	return h
}

func (s *controlSim) fail(format string, args ...any) {
	panic(violation(fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, args...)))
}

func (s *controlSim) after(d time.Duration, do func()) {
	s.proposed++ // also orders events of one time
	heap.Push(&s.events, simEvent{s.now + d, s.proposed, do})
}

func (s *controlSim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)+1))
}

func (s *controlSim) clock() time.Time { return time.Unix(1e6, 0).Add(s.now) }

// start starts the process of a host, whose settings name three hosts that ever served. An
// empty host that no other one sends to has a seed that serves.
func (s *controlSim) start(h *controlHost) {
	var seeds []consensus.Member
	order := s.rand.Perm(len(s.ids))
	for _, i := range order[:3] {
		seeds = append(seeds, consensus.Member{ID: s.ids[i], Address: s.ids[i]})
	}
	if h.snapshot == nil && len(h.entries) == 0 && !s.isMember(h) {
		for _, i := range order {
			if o := s.hosts[s.ids[i]]; o != h && !o.gone {
				seeds[0] = consensus.Member{ID: o.id, Address: o.id}
				break
			}
		}
	}
	s.startWith(h, seeds, true)
}

// isMember reports whether a running host knows a host as a member.
func (s *controlSim) isMember(h *controlHost) bool {
	return slices.ContainsFunc(s.serving(), func(o *controlHost) bool {
		return o.runs() && slices.ContainsFunc(o.machine.Members(), func(m consensus.Member) bool { return m.ID == h.id })
	})
}

func (s *controlSim) startWith(h *controlHost, seeds []consensus.Member, join bool) {
	m, err := consensus.NewMachine(consensus.MachineOptions{
		Self:               consensus.Member{ID: h.id, Incarnation: h.incarnation, Address: h.id},
		MinElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeat, Random: s.rand.Int64N,
		Bootstrap: seeds, Join: join, HardState: h.hardState, Snapshot: h.snapshot, Entries: slices.Clone(h.entries),
	}, s.clock())
	if err != nil {
		s.fail("start %s: %v", h.id, err)
	}
	h.machine, h.applied, h.state = m, 0, make(map[string]string)
	if h.snapshot != nil {
		s.restore(h, h.snapshot)
	}
	h.run++
	h.checkAt, h.changeIndex = s.now+s.between(0, simMembershipPause), 0
	s.loopRegister(h, h.run)
}

// stop ends the process of a host; its disk stays.
func (s *controlSim) stop(h *controlHost) {
	h.machine, h.frozen, h.inbox = nil, false, nil
	h.run++
}

// loseDisk stops a host and clears its disk.
func (s *controlSim) loseDisk(h *controlHost) {
	s.stop(h)
	h.incarnations++
	h.incarnation = fmt.Sprintf("%s-%04x-%d", h.id, s.rand.Uint32()>>16, h.incarnations) // in no order
	h.hardState, h.snapshot, h.entries = wal.HardState{}, nil, nil
}

// advance plays d of simulated time.
func (s *controlSim) advance(d time.Duration) {
	base := s.clock().Add(-s.now)
	for end := s.now + d; ; {
		next := end
		if len(s.events) > 0 {
			next = min(next, s.events[0].at)
		}
		for _, id := range s.ids {
			if h := s.hosts[id]; h.runs() {
				next = min(next, h.checkAt, h.machine.NextTick().Sub(base)+time.Microsecond)
			}
		}
		s.now = max(s.now, next)
		if s.now >= end {
			s.now = end
			return
		}
		for len(s.events) > 0 && s.events[0].at <= s.now {
			heap.Pop(&s.events).(simEvent).do()
		}
		for _, id := range s.ids {
			h := s.hosts[id]
			if h.runs() && !s.clock().Before(h.machine.NextTick()) {
				h.machine.Tick(s.clock())
				s.output(h)
			}
			if h.runs() && h.checkAt <= s.now {
				s.checkMembership(h)
			}
		}
	}
}

func (h *controlHost) runs() bool { return h.machine != nil && !h.frozen }

// checkMembership does what the loop of a process does with its membership.
func (s *controlSim) checkMembership(h *controlHost) {
	h.checkAt = s.now + simMembershipPause
	if h.changeIndex != 0 { // timed out
		h.changeIndex = 0
		return
	}
	if h.machine.Role() != consensus.Leader {
		return
	}
	change, ok := process.NextChange(h.machine.Status(s.clock()), h.dataCentres())
	if !ok {
		return
	}
	index, term, err := h.machine.ProposeChange(s.clock(), change)
	s.log("%v: %s: %s %s@%s %v", s.now, h.id, change.Kind, change.Member.ID, change.Member.Incarnation, err)
	if err == nil {
		h.changeIndex, h.changeTerm, h.checkAt = index, term, s.now+simChangeTimeout
		s.output(h)
	}
}

// loopRegister registers the data centre of a host until its state holds it.
func (s *controlSim) loopRegister(h *controlHost, run int) {
	if h.run != run || h.state["dc "+h.id] != "" {
		return
	}
	if l := s.leader(); !h.frozen && l != nil && s.finds(h, l) && !s.cut[[2]string{l.id, h.id}] {
		s.after(s.between(5*time.Millisecond, 100*time.Millisecond), func() { s.propose(l, "dc "+h.id+" "+h.dataCentre) })
	}
	s.after(simRegisterInterval, func() { s.loopRegister(h, run) })
}

// finds reports whether a host reaches the leader or one that knows it.
func (s *controlSim) finds(h, l *controlHost) bool {
	if h == l {
		return true
	}
	if s.cut[[2]string{h.id, l.id}] {
		return false
	}
	for _, m := range h.machine.Members() {
		o := s.hosts[m.ID]
		if o == l || o.runs() && !s.cut[[2]string{h.id, o.id}] && o.machine.Status(s.clock()).Leader.ID == l.id {
			return true
		}
	}
	return false
}

// propose proposes a command at a host, which ignores it unless it leads.
func (s *controlSim) propose(h *controlHost, command string) {
	if !h.runs() {
		return
	}
	h.machine.Propose([]byte(command))
	s.output(h)
}

// output carries out an Output as a node does.
func (s *controlSim) output(h *controlHost) {
	out := h.machine.Output(s.clock())
	if len(out.Violations) > 0 {
		s.fail("%s", out.Violations[0])
	}
	if out.HardState != nil {
		h.hardState = *out.HardState
	}
	if out.Install != nil {
		h.snapshot, h.entries = out.Install, nil
		s.restore(h, out.Install)
	}
	for _, e := range out.Entries {
		h.entries = append(h.entries[:e.Index-1-h.base():e.Index-1-h.base()], e)
	}
	for _, e := range out.Committed {
		h.apply(e)
		if e.Index == h.changeIndex {
			h.changeIndex, h.checkAt = 0, s.now
			if e.Term != h.changeTerm {
				h.checkAt += simMembershipPause
			}
		}
	}
	if h.changeIndex != 0 && h.machine.Role() != consensus.Leader {
		h.changeIndex, h.checkAt = 0, s.now+simMembershipPause
	}
	for _, msg := range out.Messages {
		s.transmit(msg)
	}
	if h.applied >= h.base()+simSnapshotEvery {
		index, term := h.machine.LastApplied()
		data, err := json.Marshal(h.state)
		if err != nil {
			s.fail("encode: %v", err)
		}
		snapshot := &wal.Snapshot{Index: index, Term: term, Members: h.machine.SnapshotMembers(index), Data: data}
		h.entries = slices.Clone(h.entries[index-h.base():])
		h.snapshot = snapshot
		h.machine.SnapshotTaken(snapshot, simSnapshotEvery)
	}
}

// base returns the index of the last entry that the snapshot on the disk includes.
func (h *controlHost) base() uint64 {
	if h.snapshot == nil {
		return 0
	}
	return h.snapshot.Index
}

func (s *controlSim) restore(h *controlHost, snapshot *wal.Snapshot) {
	h.state = make(map[string]string)
	if err := json.NewDecoder(bytes.NewReader(snapshot.Data)).Decode(&h.state); err != nil {
		s.fail("decode: %v", err)
	}
	h.applied = snapshot.Index
}

// apply applies an entry. Memberships and empty entries are not words.
func (h *controlHost) apply(e wal.Entry) {
	h.applied = e.Index
	switch words := strings.Fields(string(e.Data)); {
	case e.Kind != 0:
	case words[0] == "dc":
		h.state["dc "+words[1]] = words[2]
	case words[0] == "config":
		h.state["config"] = max(h.state["config"], words[1]) // of one length
	default:
		h.state["cmd "+words[0]] = words[0]
	}
}

// dataCentres returns the registered data centres by host id.
func (h *controlHost) dataCentres() map[string]string {
	out := make(map[string]string)
	for key, value := range h.state {
		if id, ok := strings.CutPrefix(key, "dc "); ok {
			out[id] = value
		}
	}
	return out
}

// transmit sends a message. It takes 20 ms between regions of two data centres each.
func (s *controlSim) transmit(msg consensus.Message) {
	from, to := s.hosts[msg.From.ID], s.hosts[msg.To.Address]
	if s.rand.Float64() < s.lossRate {
		return
	}
	delay := 2*time.Millisecond + s.between(0, 5*time.Millisecond)
	if (from.dataCentre[1]-'0')/2 != (to.dataCentre[1]-'0')/2 {
		delay += 20 * time.Millisecond
	}
	s.after(delay, func() {
		switch {
		case s.cut[[2]string{from.id, to.id}] || to.machine == nil:
		case to.frozen:
			to.inbox = append(to.inbox, msg)
		default:
			to.machine.Step(s.clock(), msg)
			s.output(to)
		}
	})
}

// thaw ends a freeze.
func (s *controlSim) thaw(h *controlHost) {
	inbox := h.inbox
	h.frozen, h.inbox = false, nil
	for _, msg := range inbox {
		if h.runs() {
			h.machine.Step(s.clock(), msg)
			s.output(h)
		}
	}
}

// leader returns the running leader of the newest term that has started it, or nil.
func (s *controlSim) leader() *controlHost {
	var best *controlHost
	for _, id := range s.ids {
		h := s.hosts[id]
		if h.runs() && h.machine.TermStarted() && (best == nil || h.machine.Term() > best.machine.Term()) {
			best = h
		}
	}
	return best
}

// serving returns the hosts that are not gone for good.
func (s *controlSim) serving() []*controlHost {
	var out []*controlHost
	for _, id := range s.ids {
		if !s.hosts[id].gone {
			out = append(out, s.hosts[id])
		}
	}
	return out
}

// members describes a membership: "?" marks a learner, "!" a host that is gone or has
// lost that disk.
func (s *controlSim) members(ms []consensus.Member) string {
	var out []string
	for _, m := range ms {
		word := m.ID
		if m.Learner {
			word += "?"
		}
		if h := s.hosts[m.ID]; h.gone || h.incarnation != m.Incarnation {
			word += "!"
		}
		out = append(out, word)
	}
	return strings.Join(out, " ")
}

// margin returns how many voters of a membership may lose their disks, besides those that
// have, so that a majority keeps theirs. lost are further hosts whose disks are lost.
func (s *controlSim) margin(ms []consensus.Member, lost map[string]bool) int {
	voters, intact := 0, 0
	for _, m := range ms {
		if m.Learner {
			continue
		}
		voters++
		if h := s.hosts[m.ID]; !h.gone && h.incarnation == m.Incarnation && !lost[m.ID] {
			intact++
		}
	}
	return intact - (voters/2 + 1)
}

func (s *controlSim) lost() map[string]bool {
	out := make(map[string]bool)
	for _, id := range s.ids {
		if s.hosts[id].lostUntil > s.now {
			out[id] = true
		}
	}
	return out
}

// describe describes the hosts for a violation.
func (s *controlSim) describe() string {
	var out []string
	for _, h := range s.serving() {
		word := h.id + " down"
		if h.machine != nil {
			st := h.machine.Status(s.clock())
			word = fmt.Sprintf("%s %s term %d leader %s last %d commit %d [%s]", h.id, st.Role, st.Term, st.Leader.ID, st.Last, st.Commit, s.members(h.machine.Members()))
			if len(st.Joining) > 0 {
				word += fmt.Sprintf(" joining %v", st.Joining)
			}
		}
		out = append(out, word)
	}
	return strings.Join(out, "; ") + fmt.Sprint("; counted as lost: ", slices.Sorted(maps.Keys(s.lost())))
}
