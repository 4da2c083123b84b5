package process

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/rs/zerolog"
)

// membershipPause is how often the leader looks for hosts that ask to join.
const membershipPause = time.Second

// membership changes the members of the replicated log. Only the leader acts.
type membership struct {
	node *consensus.Node
	log  zerolog.Logger
	// dataCentres returns the data centre of each host by id. Where two hosts
	// share one and one of them is silent for replace, the other has taken its
	// place, and it is removed. nil keeps all.
	dataCentres func() map[string]string
	replace     time.Duration
}

// maxVoters bounds the hosts that vote; further ones only follow. With more
// voters every change waits for more disks and survives no more losses than the
// deployments have to bear.
const maxVoters = 7

// loop brings control hosts back that lost their disk. Such a host
// asks to join under its id with a new incarnation. The leader removes the old
// incarnation, which can't vote any more, adds the new one as a learner, and
// promotes it once it has caught up. One change is made at a time, so the
// membership is never short of more than that one vote.
func (p *membership) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if p.node.IsLeader() {
			p.admit(ctx, p.node.Status())
		}
		pause(ctx, membershipPause)
	}
}

func (p *membership) admit(ctx context.Context, st consensus.Status) {
	if len(st.Joining) > 0 {
		joining := st.Joining[0]
		if old, ok := otherIncarnation(st, joining); ok {
			p.change(ctx, consensus.Change{Kind: consensus.Remove, Member: old})
			return
		}
		p.change(ctx, consensus.Change{Kind: consensus.AddLearner, Member: joining})
		return
	}
	if m, ok := p.nextVoter(st); ok {
		p.change(ctx, consensus.Change{Kind: consensus.Promote, Member: m})
		return
	}
	if gone, ok := p.surplus(st); ok {
		p.change(ctx, consensus.Change{Kind: consensus.Remove, Member: gone})
	}
}

// nextVoter returns the learner to promote. An even number of voters has no
// majority when it is cut in half and survives no more losses than one voter
// less, so the number is kept odd.
func (p *membership) nextVoter(st consensus.Status) (consensus.Member, bool) {
	var ready []consensus.Member
	for _, m := range st.Members {
		if m.Learner && m.Match > 0 && m.Match >= st.Commit {
			ready = append(ready, m.Member)
		}
	}
	n := voters(st)
	if len(ready) == 0 || n >= maxVoters {
		return consensus.Member{}, false
	}
	if p.dataCentres == nil || n%2 == 0 || len(ready) > 1 {
		return ready[0], true
	}
	places := p.dataCentres()
	for _, gone := range st.Members {
		if !gone.Learner && gone.ID != st.ID && gone.ContactAge >= p.replace && places[gone.ID] == places[ready[0].ID] {
			return ready[0], true
		}
	}
	return consensus.Member{}, false
}

func voters(st consensus.Status) int {
	n := 0
	for _, m := range st.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// surplus returns a silent member whose place another one has taken.
func (p *membership) surplus(st consensus.Status) (consensus.Member, bool) {
	if p.dataCentres == nil {
		return consensus.Member{}, false
	}
	places := p.dataCentres()
	for _, gone := range st.Members {
		if gone.ID == st.ID || gone.ContactAge < p.replace || places[gone.ID] == "" {
			continue
		}
		for _, m := range st.Members {
			if m.ID != gone.ID && !m.Learner && places[m.ID] == places[gone.ID] && m.ContactAge < p.replace {
				return gone.Member, true
			}
		}
	}
	return consensus.Member{}, false
}

// otherIncarnation returns the member with the id of a joining host. Only a
// host of the declared membership is replaced without an operator.
func otherIncarnation(st consensus.Status, joining consensus.Member) (consensus.Member, bool) {
	for _, m := range st.Members {
		if m.ID == joining.ID && m.Incarnation != joining.Incarnation {
			return m.Member, true
		}
	}
	return consensus.Member{}, false
}

func (p *membership) change(ctx context.Context, c consensus.Change) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err := p.node.ChangeMembers(ctx, c)
	p.log.Info().Err(err).Str("change", string(c.Kind)).Str("member", c.Member.ID).
		Str("incarnation", c.Member.Incarnation).Msg("membership of control")
}
