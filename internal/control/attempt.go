package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rs/zerolog"
)

// attempt is one attempt to name a primary of one group. Each attempt logs a
// new term, so that two members are never promoted at the same term, even if a
// deposed leader is still running an attempt. It may stop after any step; the
// next attempt, by this or another leader, starts over at a greater term.
type attempt struct {
	opts     Options
	log      *Log
	machine  *Machine
	sessions *Sessions
	logger   zerolog.Logger
	calls    *sync.WaitGroup // calls that may outlive the attempt, until their context ends

	group string
	cause Cause

	oldGroup      controlrpc.Group             // the group before the attempt
	members       map[string]controlrpc.Server // of the group
	newMembers    []string                     // members after the attempt, nil to keep the members
	joining       map[string]controlrpc.Server // servers of newMembers that are not members yet
	minFenced     int                          // number of members that must be fenced
	term          uint64                       // term of this attempt
	roleRevokedAt time.Time                    // when the leader first saw that the state grants no role
	statusBefore  map[string]MemberStatus      // members' status before the attempt
	chosen        string                       // the new primary
}

// errNotNeeded ends an attempt whose cause no longer applies.
var errNotNeeded = errkind.New(errkind.Conflict, "the primary is healthy")

// run carries out all steps.
func (a *attempt) run(ctx context.Context) error {
	if err := a.prepare(ctx); err != nil {
		return err
	}
	if err := a.logTerm(ctx); err != nil {
		return err
	}
	fenced, err := a.fenceAndRelease(ctx)
	if err != nil {
		return err
	}
	members := len(a.members)
	if a.opts.disabled.majority {
		members = 1
	}
	fencedMembers := maps.Clone(fenced)
	maps.DeleteFunc(fencedMembers, func(id string, _ MemberStatus) bool { _, ok := a.joining[id]; return ok })
	a.chosen, err = choose(fencedMembers, members, a.isAvoided)
	if err != nil {
		return err
	}
	if err := a.promote(ctx, a.chosen); err != nil {
		return err
	}
	next := a.allowedMembers(fenced)
	if err := a.logPrimary(ctx, a.chosen, next); err != nil {
		return err
	}
	switch {
	case a.cause == CauseMembers && next == nil:
		return errkind.New(errkind.NoMember, "too few of %v have every acknowledged write to become the members", a.newMembers)
	case a.cause.planned() && a.isAvoided(a.chosen):
		return errkind.New(errkind.NoMember, "only %q has every acknowledged write and is primary again", a.chosen)
	}
	return nil
}

// prepare reads the group and checks that the attempt is needed and can
// succeed. It gives up if too few members answer, because an attempt that
// cannot finish would stop writes that may still work.
func (a *attempt) prepare(ctx context.Context) error {
	v := a.machine.View()
	g, ok := v.Groups[a.group]
	if !ok {
		return errkind.New(errkind.UnknownGroup, "there is no group %q", a.group)
	}
	a.oldGroup = g
	a.members = make(map[string]controlrpc.Server, len(g.Members))
	for _, id := range g.Members {
		a.members[id] = v.Servers[id]
	}
	a.minFenced = majority(len(g.Members))
	if !v.hadPrimary[a.group] {
		// The group has had no primary, so any member may have the most records.
		a.minFenced = len(g.Members)
	}
	a.statusBefore = a.callAll(ctx, a.opts.ProbeTimeout, a.status)
	if st, ok := a.statusBefore[g.Primary]; ok && a.cause == CauseSuspect && st.Primary && st.Term == g.Term {
		return errNotNeeded
	}
	if len(a.statusBefore) < a.minFenced {
		return errkind.New(errkind.NoMember, "%d of %d members answer, %d are needed", len(a.statusBefore), len(g.Members), a.minFenced)
	}
	if a.cause == CauseMembers {
		return a.prepareMembers(ctx, v)
	}
	if a.cause.planned() {
		other := func(id string) bool { _, ok := a.statusBefore[id]; return ok && !a.isAvoided(id) }
		if !slices.ContainsFunc(g.Members, other) {
			return errkind.New(errkind.NoMember, "no other member can become primary")
		}
	}
	return nil
}

// logTerm logs the next term. From then on no heartbeat reply grants the
// primary role of the old one.
func (a *attempt) logTerm(ctx context.Context) error {
	a.term = a.oldGroup.Term + 1
	for _, st := range a.statusBefore {
		// A member may know a greater term than the state if the state was
		// created from scratch. It would refuse a smaller term.
		a.term = max(a.term, st.Term+1)
	}
	if a.opts.disabled.intentLogging {
		a.roleRevokedAt = time.Now()
		return nil
	}
	err := a.log.change(ctx, Command{Begin: &BeginTerm{
		Group: a.group, ExpectTerm: a.oldGroup.Term, ExpectPhase: a.oldGroup.Phase, Term: a.term,
	}})
	a.roleRevokedAt = time.Now()
	return err
}

// fenceAndRelease fences the members and waits for the old owner's release. A
// planned change does so in sequence: the owner finishes first and the other
// members receive what it wrote, so that unacknowledged writes are not lost
// either. Otherwise both run concurrently, to save time.
func (a *attempt) fenceAndRelease(ctx context.Context) (map[string]MemberStatus, error) {
	if a.cause.planned() && a.statusBefore[a.oldGroup.Primary].Primary {
		if err := a.awaitOwnerRelease(ctx); err != nil {
			return nil, err
		}
		a.awaitCatchUp(ctx)
		return a.fence(ctx)
	}
	var releaseErr error
	var wg sync.WaitGroup
	wg.Go(func() { releaseErr = a.awaitOwnerRelease(ctx) })
	fenced, err := a.fence(ctx)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	return fenced, releaseErr
}

// awaitOwnerRelease waits until the owner of the last primary no longer acts
// for it.
func (a *attempt) awaitOwnerRelease(ctx context.Context) error {
	old, ok := a.machine.View().oldOwners[a.group]
	if !ok {
		return nil // the last primary never had an owner, or there was none
	}
	w := &releaseWaiter{
		opts: a.opts, machine: a.machine, sessions: a.sessions,
		holder: holder{old.Host, old.Incarnation}, revokedAt: a.roleRevokedAt,
		args: ownerrpc.RevokeArgs{Server: old.Server, Term: a.term - 1},
	}
	return w.wait(ctx)
}

// awaitCatchUp waits until a member that may become primary has received what
// the present primary has. This protects only unacknowledged writes, so it
// gives up after Options.CatchUpTimeout.
func (a *attempt) awaitCatchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.CatchUpTimeout)
	defer cancel()
	for {
		all := a.callAll(ctx, a.opts.ProbeTimeout, a.status)
		primary, ok := all[a.oldGroup.Primary]
		if !ok {
			return
		}
		if a.newMembers != nil && countCaughtUp(all, a.newMembers, a.oldGroup.Primary) >= majority(len(a.newMembers)) {
			return
		}
		for id, st := range all {
			if a.newMembers == nil && !a.isAvoided(id) && st.Received.AtLeast(primary.Received) {
				return
			}
		}
		if sleep(ctx, retryInterval) != nil {
			return
		}
	}
}

// fence fences the members at the term of the attempt. It returns once all
// members have answered, or Options.FenceGrace after enough have.
func (a *attempt) fence(ctx context.Context) (map[string]MemberStatus, error) {
	need := a.minFenced
	if a.opts.disabled.majority {
		need = 1
	}
	fence := func(ctx context.Context, s controlrpc.Server) (MemberStatus, error) {
		st, err := a.opts.Members.Fence(ctx, s.Address, a.term)
		if err == nil && st.Term != a.term {
			err = errkind.New(errkind.StaleTerm, "server %q is fenced at term %d", s.ID, st.Term)
		}
		return st, err
	}
	joined := make(chan map[string]MemberStatus, 1)
	a.calls.Go(func() {
		joined <- a.callServers(ctx, a.joining, a.opts.ProbeTimeout, len(a.joining), len(a.joining), fence)
	})
	fenced := a.callServers(ctx, a.members, a.opts.StepTimeout, need, len(a.statusBefore), fence)
	if len(fenced) < need {
		return nil, errkind.New(errkind.NoMember, "%d of %d members are fenced, %d are needed", len(fenced), len(a.members), need)
	}
	maps.Copy(fenced, <-joined)
	if a.opts.disabled.fencedPositions {
		return a.statusBefore, nil
	}
	return fenced, nil
}

// promote makes the member primary of the term. It repeats a call whose answer
// was lost; this leader cannot have fenced the member in between.
func (a *attempt) promote(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, a.opts.StepTimeout)
	defer cancel()
	for {
		st, err := a.opts.Members.Promote(ctx, a.members[id].Address, a.term)
		if err == nil && (!st.Primary || st.Term != a.term || st.ServerID != id) {
			return errkind.New(errkind.StaleTerm, "server %q was not promoted: it is %q at term %d", id, st.ServerID, st.Term)
		}
		if err == nil {
			return nil
		}
		if sleep(ctx, retryInterval) != nil {
			return errkind.Wrap(errkind.NoPrimary, err, "promoting server %q", id)
		}
	}
}

// logPrimary logs the primary. If the answer of the log is lost, the state
// shows whether another attempt is needed.
func (a *attempt) logPrimary(ctx context.Context, id string, members []string) error {
	commands := []Command{{Name: &NamePrimary{Group: a.group, Term: a.term, Server: id, Members: members}}}
	if a.opts.disabled.intentLogging {
		commands = slices.Insert(commands, 0, Command{Begin: &BeginTerm{
			Group: a.group, ExpectTerm: a.oldGroup.Term, ExpectPhase: a.oldGroup.Phase, Term: a.term,
		}})
	}
	results, err := a.log.propose(ctx, commands...)
	if err != nil {
		return err
	}
	return results[len(results)-1].Err()
}

// isAvoided reports whether a member other than id should become primary if
// possible.
func (a *attempt) isAvoided(id string) bool {
	return a.machine.View().OutOfService(id) || (id == a.oldGroup.Primary && a.cause.replacesPrimary()) ||
		(a.newMembers != nil && !slices.Contains(a.newMembers, id))
}
