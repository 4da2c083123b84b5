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
	// voters is the number of voters to keep. A surplus one that was silent for
	// replace is removed, because a host at another address has taken its
	// place. 0 keeps all.
	voters  int
	replace time.Duration
}

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
	for _, m := range st.Members {
		if m.Learner && m.Match > 0 && m.Match >= st.Commit {
			p.change(ctx, consensus.Change{Kind: consensus.Promote, Member: m.Member})
			return
		}
	}
	if gone, ok := p.surplus(st); ok {
		p.change(ctx, consensus.Change{Kind: consensus.Remove, Member: gone})
	}
}

// surplus returns the voter that has been silent for longest, if there are more
// voters than needed.
func (p *membership) surplus(st consensus.Status) (consensus.Member, bool) {
	var gone consensus.MemberStatus
	voters := 0
	for _, m := range st.Members {
		if m.Learner {
			continue
		}
		voters++
		if m.ID != st.ID && m.ContactAge > gone.ContactAge {
			gone = m
		}
	}
	return gone.Member, p.voters > 0 && voters > p.voters && gone.ContactAge > p.replace
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
