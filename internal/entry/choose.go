package entry

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// choose returns the member for a read that requires pos. Members in tried are
// skipped; replicas states whether replicas may serve the read at all. If they
// may, choose prefers them to the primary. Among the replicas that have applied
// pos and those that may reach it while the owner waits, it takes the one with the
// least expected time to the answer, wait included: a near replica whose last
// report is old has usually applied more than the report states. The primary is
// preferred to replicas that are known to lag. Suspect members are used only if no
// other is left.
//
// If no member can be chosen, the error is of kind Overloaded if the rank's queue
// is full at any of them, and of kind NoMember otherwise.
func (gv *groupView) choose(pos logpos.Position, rank string, replicas bool, tried map[*target]bool, now time.Time) (*target, error) {
	var replicasBySuitability [suitabilitySuspect + 1][]candidate
	var primary candidate
	fullCount := 0
	for _, t := range gv.targets {
		if t.draining && !t.primary || !t.primary && !replicas || tried[t] {
			continue
		}
		if t.member.queueFull(rank, now) {
			fullCount++
			continue
		}
		suitability, cost := t.member.assessRead(pos, gv.view.ranksAhead[rank], now)
		c := candidate{t, suitability, cost}
		if t.primary {
			primary = c
			continue
		}
		replicasBySuitability[suitability] = append(replicasBySuitability[suitability], c)
	}
	for i := range replicasBySuitability[suitabilityMayApply] {
		replicasBySuitability[suitabilityMayApply][i].cost += expectedCatchUpWait
	}
	if suitable := append(replicasBySuitability[suitabilityApplied], replicasBySuitability[suitabilityMayApply]...); len(suitable) > 0 {
		return pickCheapest(suitable), nil
	}
	if primary.target != nil && primary.suitability != suitabilitySuspect {
		return primary.target, nil
	}
	for _, suitability := range []readSuitability{suitabilityLagging, suitabilitySuspect} {
		if len(replicasBySuitability[suitability]) > 0 {
			return pickCheapest(replicasBySuitability[suitability]), nil
		}
	}
	if primary.target != nil {
		return primary.target, nil
	}
	if fullCount > 0 {
		return nil, errkind.New(errkind.Overloaded, "rank %q: the queue is full at every member of group %q", rank, gv.name)
	}
	return nil, errkind.New(errkind.NoMember, "no member of group %q can serve the read", gv.name)
}

const (
	// expectedCatchUpWait is the time that a replica is expected to need to
	// reach the required position: half the default limit of the owner's wait.
	expectedCatchUpWait = 10 * time.Millisecond
	// maxComparedCandidates is large enough to compare all members of a usual
	// group.
	maxComparedCandidates = 4
)

// pickCheapest returns the candidate with the least cost. Each cost is raised by
// up to a random tenth, so that the entries don't all choose the same one of
// nearly equal candidates. Of many candidates only a random few are compared, for
// the same reason.
func pickCheapest(candidates []candidate) *target {
	if len(candidates) > maxComparedCandidates {
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:maxComparedCandidates]
	}
	var best *target
	var least time.Duration
	for _, c := range candidates {
		cost := c.cost + time.Duration(rand.Float64()*float64(c.cost)/10)
		if best == nil || cost < least {
			best, least = c.target, cost
		}
	}
	return best
}
