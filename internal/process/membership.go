package process

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
)

// membershipPause is how often the leader looks for hosts that ask to join.
const membershipPause = time.Second

// loopMembership brings control hosts back that lost their disk. Such a host
// asks to join under its id with a new incarnation. The leader removes the old
// incarnation, which can't vote any more, adds the new one as a learner, and
// promotes it once it has caught up. One change is made at a time, so the
// membership is never short of more than that one vote.
func (p *Control) loopMembership(ctx context.Context) {
	for ctx.Err() == nil {
		if p.node.IsLeader() {
			p.admit(ctx, p.node.Status())
		}
		pause(ctx, membershipPause)
	}
}

func (p *Control) admit(ctx context.Context, st consensus.Status) {
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

func (p *Control) change(ctx context.Context, c consensus.Change) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err := p.node.ChangeMembers(ctx, c)
	p.log.Info().Err(err).Str("change", string(c.Kind)).Str("member", c.Member.ID).
		Str("incarnation", c.Member.Incarnation).Msg("membership of control")
}
