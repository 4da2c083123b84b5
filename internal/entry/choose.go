package entry

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// choose picks the member for a read that requires pos. Replicas come before
// the primary, those that have applied pos before those that may reach it
// while the owner waits. Among equals it takes the better of two random ones,
// which spreads load without all entries choosing the same member at a time.
// Replicas that lag behind are left out in favour of the primary; members that
// failed lately are tried when nothing else is left.
//
// An error of kind Overloaded means that the queue of the rank is full at
// every member, and of kind NoMember that none is left.
func (gv *groupView) choose(pos logpos.Position, rank string, replicas bool, tried map[*target]bool, now time.Time) (*target, error) {
	var best [standingSuspect + 1][]scored
	var primary scored
	full := 0
	for _, t := range gv.targets {
		if t.draining && !t.primary || !t.primary && !replicas || tried[t] {
			continue
		}
		if t.member.full(rank, now) {
			full++
			continue
		}
		class, cost := t.member.judge(pos, gv.view.ahead[rank], now)
		s := scored{t, class, cost}
		if t.primary {
			primary = s
			continue
		}
		best[class] = append(best[class], s)
	}
	for _, class := range []standing{standingCovers, standingMay} {
		if len(best[class]) > 0 {
			return pickOfTwo(best[class]), nil
		}
	}
	if primary.target != nil && primary.class != standingSuspect {
		return primary.target, nil
	}
	for _, class := range []standing{standingBehind, standingSuspect} {
		if len(best[class]) > 0 {
			return pickOfTwo(best[class]), nil
		}
	}
	if primary.target != nil {
		return primary.target, nil
	}
	if full > 0 {
		return nil, errkind.New(errkind.Overloaded, "rank %q: the queue is full at every member of group %q", rank, gv.name)
	}
	return nil, errkind.New(errkind.NoMember, "no member of group %q can serve the read", gv.name)
}

func pickOfTwo(list []scored) *target {
	a := list[rand.IntN(len(list))]
	b := list[rand.IntN(len(list))]
	if b.cost < a.cost {
		a = b
	}
	return a.target
}
