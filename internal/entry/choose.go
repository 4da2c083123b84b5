package entry

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// choose picks the member for a read that requires pos. Replicas come before
// the primary. Among the replicas that have applied pos, and those that may
// reach it while the owner waits, it takes the one with the least expected
// time, wait included: a near replica whose last report is old has usually
// applied more than the report says.
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
	for i := range best[standingMay] {
		best[standingMay][i].cost += expectedWait
	}
	if able := append(best[standingCovers], best[standingMay]...); len(able) > 0 {
		return pick(able), nil
	}
	if primary.target != nil && primary.class != standingSuspect {
		return primary.target, nil
	}
	for _, class := range []standing{standingBehind, standingSuspect} {
		if len(best[class]) > 0 {
			return pick(best[class]), nil
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

const (
	// expectedWait is half the default limit of the wait at a replica.
	expectedWait = 10 * time.Millisecond
	// maxCompared covers the members of a usual group.
	maxCompared = 4
)

// pick takes the candidate with the least cost. A random tenth keeps equal
// candidates from being chosen by all entries at the same time. Among many
// candidates it looks at a random few only, for the same reason.
func pick(list []scored) *target {
	if len(list) > maxCompared {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:maxCompared]
	}
	var best *target
	var least time.Duration
	for _, s := range list {
		cost := s.cost + time.Duration(rand.Float64()*float64(s.cost)/10)
		if best == nil || cost < least {
			best, least = s.target, cost
		}
	}
	return best
}
