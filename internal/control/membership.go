package control

import (
	"context"
	"slices"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// nextMembers returns the members that a steady group should have instead of
// its present ones, nil if it should keep them. Only one server changes at a
// time: one is added while there are fewer than declared, one is dropped while
// there are more, and otherwise one that is out of service is replaced. The
// primary stays. ready reports whether a server that is not a member may become
// one.
func nextMembers(v *View, g controlrpc.Group, ready func(id string) bool) []string {
	declared := v.Declared(g.Name)
	spares := len(v.GroupServers(g.Name)) > len(g.Members)
	if declared == 0 || (!spares && len(g.Members) <= declared) {
		return nil
	}
	drop := slices.IndexFunc(g.Members, func(id string) bool { return id != g.Primary && v.OutOfService(id) })
	if len(g.Members) > declared {
		if drop < 0 {
			drop = slices.IndexFunc(g.Members, func(id string) bool { return id != g.Primary })
		}
		return slices.Delete(slices.Clone(g.Members), drop, drop+1)
	}
	if len(g.Members) == declared && drop < 0 {
		return nil
	}
	for _, id := range v.GroupServers(g.Name) {
		if slices.Contains(g.Members, id) || v.OutOfService(id) || !ready(id) {
			continue
		}
		next := slices.Clone(g.Members)
		if len(next) < declared {
			return append(next, id)
		}
		next[drop] = id
		return next
	}
	return nil
}

// countCaughtUp returns how many of the servers have received everything that
// the chosen one had when it was fenced.
func countCaughtUp(fenced map[string]MemberStatus, servers []string, chosen string) int {
	n := 0
	for _, id := range servers {
		if st, ok := fenced[id]; ok && st.Received.AtLeast(fenced[chosen].Received) {
			n++
		}
	}
	return n
}

// prepareMembers waits for a server that can join: one that follows the primary
// and, within Options.CatchUpTimeout, receives everything that the primary has
// now.
func (a *attempt) prepareMembers(ctx context.Context, v *View) error {
	spares := make(map[string]controlrpc.Server)
	for _, id := range v.GroupServers(a.group) {
		if _, ok := a.members[id]; !ok {
			spares[id] = v.Servers[id]
		}
	}
	primary, ok := a.statusBefore[a.oldGroup.Primary]
	if !ok || !primary.Primary {
		return errkind.New(errkind.NoPrimary, "the primary does not answer")
	}
	ctx, cancel := context.WithTimeout(ctx, a.opts.CatchUpTimeout)
	defer cancel()
	for {
		status := a.callServers(ctx, spares, a.opts.ProbeTimeout, len(spares), len(spares), a.status)
		a.newMembers = nextMembers(v, a.oldGroup, func(id string) bool {
			st, ok := status[id]
			return ok && (a.opts.disabled.caughtUp || st.Term == a.oldGroup.Term && st.Received.AtLeast(primary.Received))
		})
		if a.newMembers != nil {
			break
		}
		if sleep(ctx, retryInterval) != nil {
			return errkind.New(errkind.NoMember, "no other server has caught up to become a member")
		}
	}
	a.joining = make(map[string]controlrpc.Server)
	for _, id := range a.newMembers {
		if s, ok := spares[id]; ok {
			a.joining[id] = s
		}
	}
	return nil
}

// allowedMembers returns the new members if they may replace the present ones,
// otherwise nil. The chosen member had every acknowledged write when it was
// fenced, and no write is acknowledged until the primary is named. So if a
// majority of the new members has received as much, every later majority of
// them has a member with every acknowledged write.
func (a *attempt) allowedMembers(fenced map[string]MemberStatus) []string {
	if !slices.Contains(a.newMembers, a.chosen) {
		return nil
	}
	if !a.opts.disabled.caughtUp && countCaughtUp(fenced, a.newMembers, a.chosen) < majority(len(a.newMembers)) {
		return nil
	}
	return a.newMembers
}
