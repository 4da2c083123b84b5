package process

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/rs/zerolog"
)

// membershipInterval is how often the leader checks whether the membership must
// change. After a change it checks at once: several hosts may have to be replaced,
// with three changes each, before the next ones are lost.
const membershipInterval = time.Second

// membership maintains the members of the replicated log. Only the leader acts.
type membership struct {
	node *consensus.Node
	log  zerolog.Logger
	// dataCentres returns the data centre of each host by id. If one of two
	// hosts in a data centre has not answered for replaceTimeout, the other one
	// replaces it and it is removed. If dataCentres is nil, no host is replaced
	// this way.
	dataCentres    func() map[string]string
	replaceTimeout time.Duration
}

// maxVoters bounds the number of voters; further hosts stay learners. With more
// voters every change would wait for more disks, and deployments do not have to
// survive the loss of more hosts than this.
const maxVoters = 7

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
	if m, ok := p.nextVoter(st); ok {
		return consensus.Change{Kind: consensus.Promote, Member: m}, true
	}
	if replaced, ok := p.replacedMember(st); ok {
		return consensus.Change{Kind: consensus.Remove, Member: replaced}, true
	}
	return consensus.Change{}, false
}

// nextVoter returns the learner to promote, if any. The number of voters is kept
// odd: an even number has no majority when a partition cuts it in half, and
// survives no more losses than one voter less. It becomes even only until a
// second learner is promoted, or until an unresponsive voter of the learner's data
// centre is removed. If dataCentres is nil, every learner that has caught up is
// promoted.
func (p *membership) nextVoter(st consensus.Status) (consensus.Member, bool) {
	var caughtUp []consensus.Member
	for _, m := range st.Members {
		if m.Learner && m.CaughtUp && p.registered(m.ID) {
			caughtUp = append(caughtUp, m.Member)
		}
	}
	n := countVoters(st)
	if len(caughtUp) == 0 || n >= maxVoters {
		return consensus.Member{}, false
	}
	if p.dataCentres == nil || n%2 == 0 || len(caughtUp) > 1 {
		return caughtUp[0], true
	}
	dataCentres := p.dataCentres()
	joining := dataCentres[caughtUp[0].ID]
	for _, m := range st.Members {
		if !m.Learner && m.ID != st.ID && m.ContactAge >= p.replaceTimeout && dataCentres[m.ID] == joining {
			return caughtUp[0], true
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
		if old.ID == st.ID || old.ContactAge < p.replaceTimeout || dataCentres[old.ID] == "" {
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
