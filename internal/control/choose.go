package control

import (
	"maps"
	"slices"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// majority returns the number of members that form a majority of n.
func majority(n int) int { return n/2 + 1 }

// choose returns the member that becomes primary. fenced holds the answers to
// Fence by server id, members is the number of members of the group, and
// isAvoided reports the members that should not become primary if possible.
//
// Every acknowledged write is on a majority of the members, so at least one
// fenced member has it, and so has the one with the greatest received position.
// An avoided member is passed over if that loses no write: if another member
// has received as much, or if the members that are not avoided are a majority
// themselves.
func choose(fenced map[string]MemberStatus, members int, isAvoided func(id string) bool) (string, error) {
	if len(fenced) < majority(members) {
		return "", errkind.New(errkind.NoMember, "%d of %d members are fenced", len(fenced), members)
	}
	best, allowed, count := "", "", 0
	for _, id := range slices.Sorted(maps.Keys(fenced)) {
		pos := fenced[id].Received
		if best == "" || pos.Compare(fenced[best].Received) > 0 {
			best = id
		}
		if isAvoided(id) {
			continue
		}
		count++
		if allowed == "" || pos.Compare(fenced[allowed].Received) > 0 {
			allowed = id
		}
	}
	if allowed != "" && (count >= majority(members) || fenced[allowed].Received.AtLeast(fenced[best].Received)) {
		return allowed, nil
	}
	return best, nil
}
