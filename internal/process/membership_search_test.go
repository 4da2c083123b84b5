package process_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
)

var (
	searchSeeds = flag.Uint64("membership.seeds", 8, "number of seeds of the membership search, for each size of the site")
	searchSeed  = flag.Uint64("membership.seed", 1, "first seed of the membership search")
	searchLen   = flag.Int("membership.actions", 10, "largest number of disturbances of a history")
	searchTrace = flag.Bool("membership.trace", false, "log what happens in the membership search")
)

// site is a size of an installation and what it must bear.
type site struct {
	hosts, tolerance int
	catchUp          time.Duration
}

var sites = []site{{3, 1, 4 * time.Second}, {6, 2, 6 * time.Second}, {5, 2, 6 * time.Second}, {7, 2, 6 * time.Second}}

// simAction is one disturbance. Its seed determines its details, so that they stay when
// other actions are left out.
type simAction struct {
	after time.Duration // pause before
	kind  string
	seed  uint64
}

func (a simAction) String() string { return fmt.Sprintf("+%v %s (%d)", a.after, a.kind, a.seed) }

var actionKinds = []string{
	"lose disk", "lose disk", "lose disk", "lose disk of the leader", "replace, gone first", "replace, gone first",
	"replace, new first", "replace, new first", "power loss", "kill", "kill leader", "kill all", "freeze", "freeze leader",
	"cut off", "cut off leader", "cut one way", "halves", "message loss", "restart", "lose disk again",
}

// plan returns the random history of a seed.
func plan(seed uint64, st site) []simAction {
	r := rand.New(rand.NewPCG(seed, 3))
	var out []simAction
	for range 1 + r.IntN(*searchLen) {
		var pause time.Duration
		switch r.IntN(4) {
		case 0: // overlaps
			pause = time.Duration(r.Int64N(int64(time.Second)))
		case 1: // as early as the losses that must be borne allow
			pause = st.catchUp + time.Duration(r.Int64N(int64(time.Second)))
		default:
			pause = time.Duration(r.Int64N(int64(2 * st.catchUp)))
		}
		out = append(out, simAction{pause.Round(time.Millisecond), actionKinds[r.IntN(len(actionKinds))], uint64(r.Uint32())})
	}
	return out
}

// TestMembershipBearsLosses guards against a membership of the control hosts that bears
// fewer lost disks than the site must bear, after losses and replacements of hosts.
func TestMembershipBearsLosses(t *testing.T) {
	for _, st := range sites {
		t.Run(fmt.Sprintf("%d hosts", st.hosts), func(t *testing.T) {
			t.Parallel()
			for seed := *searchSeed; seed < *searchSeed+*searchSeeds; seed++ {
				log := func(string, ...any) {}
				if *searchTrace {
					log = t.Logf
				}
				history := plan(seed, st)
				v := playHistory(seed, st, history, log)
				if v == "" {
					continue
				}
				for i := 0; i < len(history); { // leave out what is not needed
					shorter := slices.Delete(slices.Clone(history), i, i+1)
					if w := playHistory(seed, st, shorter, log); w != "" {
						history, v = shorter, w
						i = 0
					} else {
						i++
					}
				}
				t.Errorf("seed %d: %v: %s", seed, history, v)
			}
		})
	}
}

// playHistory plays a history, a final fault and the checks; it returns the violation.
func playHistory(seed uint64, st site, history []simAction, log func(string, ...any)) (failed violation) {
	defer func() {
		if v, ok := recover().(violation); ok {
			failed = v
		}
	}()
	s := newControlSim(seed, st.hosts, log)
	s.advance(7 * time.Second)
	traffic := []time.Duration{0, 300 * time.Millisecond, 10 * time.Millisecond}[seed%3]
	if traffic > 0 {
		s.loopTraffic(traffic)
	}
	s.checkBears(st)
	for _, a := range history {
		s.advance(a.after)
		s.checkMargin(st)
		s.act(st, a)
	}
	calm := seed%2 == 0
	if calm {
		s.awaitCalm(st)
		s.checkBears(st)
	} else {
		s.advance(s.between(0, st.catchUp))
	}
	s.finalFault(st)
	return ""
}

// loopTraffic proposes commands for the rest of the history.
func (s *controlSim) loopTraffic(interval time.Duration) {
	if l := s.leader(); l != nil {
		s.propose(l, "x")
	}
	s.after(interval, func() { s.loopTraffic(interval) })
}

// back makes a host run again after a while, and count as lost until it has caught up.
func (s *controlSim) back(st site, h *controlHost, d time.Duration) {
	h.lostUntil = max(h.lostUntil, s.now+d+st.catchUp)
	run := h.run
	s.after(d, func() {
		if h.run == run && !h.gone {
			s.start(h)
		}
	})
}

// extend lets the hosts that are catching up count as lost until catchUp after a fault
// of all hosts, which may end in d.
func (s *controlSim) extend(st site, d time.Duration) {
	for _, id := range s.ids {
		if h := s.hosts[id]; h.lostUntil > s.now {
			h.lostUntil = max(h.lostUntil, s.now+d+st.catchUp)
		}
	}
}

// act starts a disturbance, unless more hosts would be lost than must be borne.
func (s *controlSim) act(st site, a simAction) {
	r := rand.New(rand.NewPCG(a.seed, 4))
	var free []*controlHost
	for _, h := range s.serving() {
		if h.lostUntil <= s.now {
			free = append(free, h)
		}
	}
	slices.SortFunc(free, func(a, b *controlHost) int { return int(a.dataCentre[1]) - int(b.dataCentre[1]) })
	budget := st.tolerance - len(s.lost())
	ms := func(low, high int) time.Duration { return time.Duration(low+r.IntN(high-low+1)) * time.Millisecond }
	length := ms(300, 3000)
	var targets []*controlHost
	for _, i := range r.Perm(len(free)) {
		targets = append(targets, free[i])
	}
	l := s.leader()
	switch a.kind {
	case "power loss", "kill all":
		length = ms(300, 2000)
		if a.kind == "kill all" {
			length = ms(100, 1000)
		}
		s.log("%v: %s for %v", s.now, a.kind, length)
		s.extend(st, length)
		for _, h := range s.serving() {
			if h.machine != nil {
				s.stop(h)
				run := h.run
				s.after(length, func() {
					if h.run == run && !h.gone {
						s.start(h)
					}
				})
			}
		}
		return
	case "halves":
		length = ms(2000, 6000)
		s.extend(st, length)
		var ids, half []string
		for _, h := range s.serving() {
			ids = append(ids, h.id)
		}
		for _, i := range r.Perm(len(ids))[:len(ids)/2] {
			half = append(half, ids[i])
		}
		s.log("%v: halves %v for %v", s.now, half, length)
		s.cutLinks(length, func(a, b string) bool { return slices.Contains(half, a) != slices.Contains(half, b) })
		return
	case "message loss":
		s.log("%v: message loss", s.now)
		s.lossRate = 0.03
		s.after(ms(2000, 10000), func() { s.lossRate = 0 })
		return
	case "lose disk of the leader", "kill leader", "freeze leader", "cut off leader":
		if l == nil || l.lostUntil > s.now {
			return
		}
		targets = []*controlHost{l}
	}
	if a.kind == "lose disk again" { // it counts as lost already
		for _, h := range s.serving() {
			if h.lostUntil > s.now && h.machine != nil {
				s.log("%v: %s loses its disk again", s.now, h.id)
				s.loseDisk(h)
				s.back(st, h, length)
				return
			}
		}
		return
	}
	if budget < 1 || len(targets) == 0 {
		return
	}
	h := targets[0]
	s.log("%v: %s %s, %v", s.now, a.kind, h.id, length)
	switch a.kind {
	case "lose disk", "lose disk of the leader":
		for _, h := range targets[:min(1+r.IntN(budget), len(targets))] {
			s.log("%v: %s loses its disk", s.now, h.id)
			s.loseDisk(h)
			s.back(st, h, length)
		}
	case "replace, gone first":
		s.stop(h)
		h.gone, h.lostUntil = true, s.now+ms(500, 2500)+st.catchUp
		s.after(h.lostUntil-st.catchUp-s.now, func() { s.start(s.addHost(h.dataCentre)) })
	case "replace, new first":
		successor := s.addHost(h.dataCentre)
		s.start(successor)
		successor.lostUntil = s.now + st.catchUp
		s.stopReplaced(h, successor)
	case "kill", "kill leader":
		s.stop(h)
		s.back(st, h, ms(100, 1500))
	case "restart":
		s.stopPlanned(h, func() { s.back(st, h, length) })
		h.lostUntil = s.now + 2*simElectionTimeout + length + st.catchUp
	case "freeze", "freeze leader":
		h.frozen = h.machine != nil
		h.lostUntil = s.now + 4*time.Second + st.catchUp
		run := h.run
		s.after(4*time.Second, func() {
			if h.run == run {
				s.thaw(h)
			}
		})
	case "cut off", "cut off leader":
		length = ms(1000, 8000)
		h.lostUntil = s.now + length + st.catchUp
		s.cutLinks(length, func(a, b string) bool { return (a == h.id) != (b == h.id) })
	case "cut one way":
		length = ms(1000, 8000)
		h.lostUntil = s.now + length + st.catchUp
		from, one := r.IntN(2) == 0, r.IntN(2) == 0
		other := targets[len(targets)-1].id
		s.cutLinks(length, func(a, b string) bool {
			if !from {
				a, b = b, a
			}
			return a == h.id && b != h.id && (!one || b == other)
		})
	}
}

// cutLinks cuts the links from a to b that match, among all hosts that serve.
func (s *controlSim) cutLinks(d time.Duration, match func(a, b string) bool) {
	var links [][2]string
	for _, a := range s.serving() {
		for _, b := range s.serving() {
			if link := [2]string{a.id, b.id}; match(a.id, b.id) && !s.cut[link] {
				s.cut[link] = true
				links = append(links, link)
			}
		}
	}
	s.after(d, func() {
		for _, link := range links {
			delete(s.cut, link)
		}
	})
}

// stopReplaced stops a host once its successor does not count as lost any more.
func (s *controlSim) stopReplaced(h, successor *controlHost) {
	if wait := successor.lostUntil - s.now; wait > 0 {
		s.after(wait, func() { s.stopReplaced(h, successor) })
		return
	}
	if h.gone || s.final {
		return
	}
	s.log("%v: %s stops, replaced by %s", s.now, h.id, successor.id)
	s.stopPlanned(h, func() { h.gone = true })
}

// stopPlanned stops a host, which transfers its leadership first.
func (s *controlSim) stopPlanned(h *controlHost, then func()) {
	if h.runs() && h.machine.Role() == consensus.Leader {
		if err := h.machine.StartLeadershipTransfer(s.clock()); err == nil {
			s.output(h)
		}
		run := h.run
		s.after(2*simElectionTimeout, func() {
			if h.run == run {
				s.stop(h)
				then()
			}
		})
		return
	}
	s.stop(h)
	then()
}

// awaitCalm lets all faults end and every host catch up.
func (s *controlSim) awaitCalm(st site) {
	for {
		last := s.now
		for _, id := range s.ids {
			last = max(last, s.hosts[id].lostUntil)
		}
		if last == s.now && len(s.cut) == 0 && s.lossRate == 0 {
			break
		}
		s.advance(max(last-s.now, 100*time.Millisecond))
	}
	s.advance(st.catchUp)
}

// checkBears checks that the disks that must be borne may be lost now, whichever they are,
// and that each host knows the leader.
func (s *controlSim) checkBears(st site) {
	l := s.leader()
	if l == nil {
		s.fail("no leader: %s", s.describe())
	}
	if s.margin(l.machine.Members(), nil) < st.tolerance {
		s.fail("the voters bear fewer than %d lost disks: %s", st.tolerance, s.describe())
	}
	for _, h := range s.serving() {
		if known := h.machine.Status(s.clock()).Leader.ID; known != l.id {
			s.fail("%s does not know the leader: %s", h.id, s.describe())
		}
	}
}

// checkMargin checks that the disks that must be borne may be lost as soon as no host
// counts as lost.
func (s *controlSim) checkMargin(st site) {
	if newest := s.newest(); len(s.lost()) == 0 && newest != nil && s.margin(newest.machine.Members(), nil) < st.tolerance {
		s.fail("no host counts as lost, but the voters of %s bear fewer than %d lost disks: %s", newest.id, st.tolerance, s.describe())
	}
}

// finalFault commits an entry, then takes the disks that hurt most, as many as must still
// be borne, and the power of all others, and checks that a leader has the entry.
func (s *controlSim) finalFault(st site) {
	kept := ""
	if l := s.leader(); l != nil {
		kept = "kept"
		s.propose(l, kept)
		for range 100 {
			if s.anyApplied(kept) {
				break
			}
			s.advance(10 * time.Millisecond)
		}
		if !s.anyApplied(kept) {
			kept = ""
		}
	}
	s.final = true
	worst := s.worstLoss(st)
	before := s.describe()
	s.log("%v: final fault: %v; %s", s.now, worst, before)
	clear(s.cut)
	s.lossRate = 0
	var last time.Duration
	for _, h := range s.serving() {
		if slices.Contains(worst, h) {
			s.loseDisk(h)
		} else {
			s.stop(h)
		}
		d := s.between(300*time.Millisecond, 2*time.Second)
		last = max(last, d)
		run := h.run
		s.after(d, func() {
			if h.run == run && !h.gone {
				s.start(h)
			}
		})
	}
	var ids []string
	for _, h := range worst {
		ids = append(ids, h.id)
	}
	s.advance(last + 3*time.Second)
	l := s.leader()
	if l == nil {
		s.fail("no leader after the loss of %v: %s; before: %s", ids, s.describe(), before)
	}
	if kept != "" && l.state["cmd "+kept] == "" {
		s.fail("an entry is lost after the loss of %v: %s; before: %s", ids, s.describe(), before)
	}
	s.advance(st.catchUp)
	for _, h := range s.serving() {
		if known := h.machine.Status(s.clock()).Leader.ID; known != s.leader().id {
			s.fail("%s does not know the leader after the loss of %v: %s; before: %s", h.id, ids, s.describe(), before)
		}
	}
}

func (s *controlSim) anyApplied(command string) bool {
	return slices.ContainsFunc(s.serving(), func(h *controlHost) bool { return h.runs() && h.state["cmd "+command] != "" })
}

// newest returns the running host that knows of the most committed entries, or nil.
func (s *controlSim) newest() *controlHost {
	var best *controlHost
	for _, h := range s.serving() {
		if h.machine != nil && (best == nil || h.machine.CommitIndex() > best.machine.CommitIndex()) {
			best = h
		}
	}
	return best
}

// worstLoss returns the hosts whose loss leaves the fewest voters of the newest
// membership, so that with those that count as lost no more are lost than must be borne.
func (s *controlSim) worstLoss(st site) []*controlHost {
	newest := s.newest()
	if newest == nil {
		return nil
	}
	ms := newest.machine.Members()
	best, margin := []*controlHost(nil), s.margin(ms, nil)
	consider := func(hosts ...*controlHost) {
		lost := s.lost()
		gone := make(map[string]bool)
		for _, h := range hosts {
			lost[h.id], gone[h.id] = true, true
		}
		if m := s.margin(ms, gone); len(lost) <= st.tolerance && m < margin {
			best, margin = hosts, m
		}
	}
	for _, a := range s.serving() {
		consider(a)
		for _, b := range s.serving() {
			if st.tolerance > 1 && a != b {
				consider(a, b)
			}
		}
	}
	return best
}

// TestLearnersVoteUnderTraffic guards against learners that are never promoted because an
// entry is always on its way to them.
func TestLearnersVoteUnderTraffic(t *testing.T) {
	for seed := range uint64(2) {
		s := newControlSim(seed, 6, t.Logf)
		s.loopTraffic(3 * time.Millisecond)
		s.advance(7 * time.Second)
		if margin := s.margin(s.leader().machine.Members(), nil); margin < 2 {
			t.Errorf("seed %d: the voters bear %d lost disks: %s", seed, margin, s.describe())
		}
	}
}

// TestVotersInSharedDataCentres guards against hosts that never vote, or gain and lose their
// votes for ever, because several are in one data centre and count as successors.
func TestVotersInSharedDataCentres(t *testing.T) {
	for _, dataCentres := range []int{1, 2, 3, 4, 5, 6} {
		for seed := range uint64(10) {
			s := newControlSimIn(seed, 6, dataCentres, t.Logf)
			s.advance(10 * time.Second)
			before := s.leader().machine.Members()
			s.advance(20 * time.Second)
			if after := s.leader().machine.Members(); s.margin(after, nil) < 2 || !slices.Equal(after, before) {
				t.Errorf("%d data centres, seed %d: the members are %s, were %s", dataCentres, seed, s.members(after), s.members(before))
			}
		}
	}
}
