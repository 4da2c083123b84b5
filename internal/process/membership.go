package process

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/rs/zerolog"
)

// membershipInterval is how often the leader checks whether the membership must
// change. After a change it checks at once: several hosts may have to be replaced,
// with three changes each, before the next ones are lost.
const membershipInterval = 250 * time.Millisecond

// membership maintains the members of the replicated log. Only the leader acts.
type membership struct {
	node *consensus.Node
	log  zerolog.Logger
	// dataCentres returns the data centre of each host by id. If one of two
	// hosts in a data centre has not answered for replaceTimeout, the other one
	// replaces it and it is removed. If both answer, the younger one votes. If
	// dataCentres is nil, no host is replaced this way.
	dataCentres    func() map[string]string
	replaceTimeout time.Duration
}

// maxVoters bounds the number of voters; further hosts stay learners. With more
// voters every change would wait for more disks, and deployments do not have to
// survive the loss of more hosts than this.
const maxVoters = 7

// silentLearnerTimeout is how long a replaced learner must not have answered before it is
// removed. It takes no vote away, and a host that was only cut off would join again, as if
// it were the successor of its successor.
const silentLearnerTimeout = time.Minute

// minVoters is the number of voters that is never reduced for a successor.
const minVoters = 3

// loop adds control hosts that ask to join, such as those that lost their disk.
// Such a host asks to join under its id with a new incarnation. The leader
// removes the old incarnation, which can't vote any more, adds the new one as a
// learner, and promotes it once it has caught up. One change is made at a time,
// so that the membership never lacks more than that one vote.
func (p *membership) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.node.IsLeader() || !p.reconcile(ctx) {
			pause(ctx, membershipInterval)
		}
	}
}

// reconcile makes the next change of the membership, if any, and reports whether it
// was made.
func (p *membership) reconcile(ctx context.Context) bool {
	c, ok := p.nextChange(p.node.Status())
	return ok && p.change(ctx, c)
}

// nextChange returns the next change of the membership, if any.
func (p *membership) nextChange(st consensus.Status) (consensus.Change, bool) {
	if len(st.Joining) > 0 {
		joining := st.Joining[0]
		if old, ok := otherIncarnation(st, joining); ok {
			return consensus.Change{Kind: consensus.Remove, Member: old}, true
		}
		return consensus.Change{Kind: consensus.AddLearner, Member: joining}, true
	}
	promote := func() (consensus.Change, bool) {
		m, ok := p.nextVoter(st)
		return consensus.Change{Kind: consensus.Promote, Member: m}, ok
	}
	remove := func() (consensus.Change, bool) {
		m, ok := p.replacedMember(st)
		return consensus.Change{Kind: consensus.Remove, Member: m}, ok
	}
	demote := func() (consensus.Change, bool) {
		m, ok := p.succeededVoter(st)
		return consensus.Change{Kind: consensus.Demote, Member: m}, ok
	}
	var order []func() (consensus.Change, bool)
	switch n := countVoters(st); {
	case n%2 == 0 && n > minVoters:
		// One voter less bears as many losses. Another one more would keep a host that
		// is about to go.
		order = []func() (consensus.Change, bool){remove, demote, promote}
	case n >= maxVoters:
		order = []func() (consensus.Change, bool){remove, demote}
	default:
		order = []func() (consensus.Change, bool){promote, remove}
	}
	for _, next := range order {
		if c, ok := next(); ok {
			return c, true
		}
	}
	return consensus.Change{}, false
}

// succeededVoter returns the oldest voter that has a successor, if any: a voter, or if
// there may be no further voter, a learner that could vote in its place.
func (p *membership) succeededVoter(st consensus.Status) (oldest consensus.Member, ok bool) {
	full := countVoters(st) >= maxVoters
	learners := p.caughtUp(st)
	for _, older := range st.Members {
		if older.Learner || ok && older.Joined >= oldest.Joined {
			continue
		}
		succeeded := p.successors(st, older) > 0 && (!full || len(learners) > 0 && p.successors(st, learners[0]) == 0)
		for _, l := range learners {
			succeeded = succeeded || full && p.succeeds(st, l, older)
		}
		if succeeded {
			oldest, ok = older.Member, true
		}
	}
	return oldest, ok
}

// successors returns the number of voters that answer and joined later than a host in the
// same data centre. They then are its planned successors, or stay beside it; which one isn't
// known before the host stops. The vote goes to the younger one in time, because the next
// disk may be lost as soon as the older one has stopped. It never goes back, as the older
// one did not join again.
func (p *membership) successors(st consensus.Status, older consensus.MemberStatus) int {
	n := 0
	for _, younger := range st.Members {
		if !younger.Learner && p.succeeds(st, younger, older) && (younger.ID == st.ID || younger.ContactAge < p.replaceTimeout) {
			n++
		}
	}
	return n
}

// succeeds reports whether one host joined later than another one in the same data centre.
// That tells which host a new one replaces only if data centres with several hosts are the
// exception.
func (p *membership) succeeds(st consensus.Status, younger, older consensus.MemberStatus) bool {
	if p.dataCentres == nil || younger.ID == older.ID || younger.Joined <= older.Joined {
		return false
	}
	dataCentres := p.dataCentres()
	dc := dataCentres[younger.ID]
	return dc != "" && dc == dataCentres[older.ID] && 2*p.sharedDataCentres(st, dataCentres) < countDataCentres(st, dataCentres)
}

// sharedDataCentres returns the number of data centres with several hosts that answer.
func (p *membership) sharedDataCentres(st consensus.Status, dataCentres map[string]string) int {
	hosts := make(map[string]int)
	shared := 0
	for _, m := range st.Members {
		if dc := dataCentres[m.ID]; dc != "" && (m.ID == st.ID || m.ContactAge < p.replaceTimeout) {
			if hosts[dc]++; hosts[dc] == 2 {
				shared++
			}
		}
	}
	return shared
}

// countDataCentres returns the number of data centres of the members.
func countDataCentres(st consensus.Status, dataCentres map[string]string) int {
	seen := make(map[string]bool)
	for _, m := range st.Members {
		if dc := dataCentres[m.ID]; dc != "" {
			seen[dc] = true
		}
	}
	return len(seen)
}

// caughtUp returns the learners that may be promoted, last those that have a successor and
// may be about to go.
func (p *membership) caughtUp(st consensus.Status) []consensus.MemberStatus {
	var out []consensus.MemberStatus
	for _, m := range st.Members {
		if m.Learner && m.CaughtUp && p.registered(m.ID) {
			out = append(out, m)
		}
	}
	successors := func(older consensus.MemberStatus) int {
		n := p.successors(st, older)
		for _, younger := range out {
			if p.succeeds(st, younger, older) {
				n++
			}
		}
		return n
	}
	slices.SortStableFunc(out, func(a, b consensus.MemberStatus) int { return cmp.Compare(successors(a), successors(b)) })
	return out
}

// nextVoter returns the learner to promote, if any. The number of voters is kept
// odd: an even number has no majority when a partition cuts it in half, and
// survives no more losses than one voter less. It becomes even only until a
// second learner is promoted, until an unresponsive voter of the learner's data
// centre is removed, or until a voter that has a successor is demoted. If dataCentres is
// nil, every learner that has caught up is promoted.
func (p *membership) nextVoter(st consensus.Status) (consensus.Member, bool) {
	caughtUp := p.caughtUp(st)
	n := countVoters(st)
	if len(caughtUp) == 0 || n >= maxVoters {
		return consensus.Member{}, false
	}
	if p.dataCentres == nil || n%2 == 0 {
		return caughtUp[0].Member, true
	}
	dataCentres := p.dataCentres()
	_, succeeded := p.succeededVoter(st)
	for _, learner := range caughtUp {
		for _, m := range st.Members {
			silent := m.ID != st.ID && m.ContactAge >= p.replaceTimeout && dataCentres[m.ID] == dataCentres[learner.ID]
			if !m.Learner && (silent || (succeeded || p.succeeds(st, learner, m)) && p.successors(st, learner) == 0) {
				return learner.Member, true
			}
		}
	}
	for _, second := range caughtUp[1:] {
		if !p.succeeds(st, caughtUp[0], second) {
			return caughtUp[0].Member, true
		}
	}
	return consensus.Member{}, false
}

// registered reports whether the data centre of a host is known, without which nobody
// could replace the host.
func (p *membership) registered(id string) bool {
	return p.dataCentres == nil || p.dataCentres()[id] != ""
}

func countVoters(st consensus.Status) int {
	n := 0
	for _, m := range st.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// replacedMember returns an unresponsive member, if any, that another voter in its data
// centre has replaced. A learner that has caught up replaces it too if there may be no
// further voter: it could never be promoted otherwise.
func (p *membership) replacedMember(st consensus.Status) (consensus.Member, bool) {
	if p.dataCentres == nil {
		return consensus.Member{}, false
	}
	dataCentres, full := p.dataCentres(), countVoters(st) >= maxVoters
	for _, old := range st.Members {
		timeout := p.replaceTimeout
		if old.Learner {
			timeout = silentLearnerTimeout
		}
		if old.ID == st.ID || old.ContactAge < timeout || dataCentres[old.ID] == "" {
			continue
		}
		for _, successor := range st.Members {
			mayReplace := !successor.Learner || full && successor.CaughtUp
			if successor.ID != old.ID && mayReplace && dataCentres[successor.ID] == dataCentres[old.ID] && successor.ContactAge < p.replaceTimeout {
				return old.Member, true
			}
		}
	}
	return consensus.Member{}, false
}

// otherIncarnation returns the member with the id of a joining host but another
// incarnation, if there is one. The joining host replaces this member without an
// operator; a host with the id of no member replaces none.
func otherIncarnation(st consensus.Status, joining consensus.Member) (consensus.Member, bool) {
	for _, m := range st.Members {
		if m.ID == joining.ID && m.Incarnation != joining.Incarnation {
			return m.Member, true
		}
	}
	return consensus.Member{}, false
}

// change requests a change and reports whether it was committed.
func (p *membership) change(ctx context.Context, c consensus.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err := p.node.ChangeMembers(ctx, c)
	line := p.log.Info()
	if err != nil {
		line = p.log.Warn()
	}
	line.Err(err).Str("event", "membership_change").Str("change", string(c.Kind)).Str("member", c.Member.ID).
		Str("incarnation", c.Member.Incarnation).Int("voters", countVoters(p.node.Status())).Msg("requested a change of the control members")
	return err == nil
}
