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

// attempt is one try to name a primary of one group. Each attempt logs a term
// of its own, so that two members are never promoted at the same term, also
// when a deposed leader is still at work. It may stop after any step; the
// next attempt, by this or another leader, starts again at a greater term.
type attempt struct {
	opts     Options
	log      *Log
	machine  *Machine
	sessions *Sessions
	logger   zerolog.Logger
	calls    *sync.WaitGroup // calls that may outlast the attempt, until their context ends

	group string
	cause Cause

	was     controlrpc.Group             // the group before the attempt
	members map[string]controlrpc.Server // of the group
	next    []string                     // members after the attempt, nil for no change
	joining map[string]controlrpc.Server // server of next that is no member yet
	need    int                          // members that must be fenced
	term    uint64                       // of this attempt
	began   time.Time                    // when the leader saw that the state grants no role
	before  map[string]MemberStatus      // status before the attempt
	chosen  string                       // the new primary
}

// errNotNeeded ends an attempt whose reason no longer holds.
var errNotNeeded = errkind.New(errkind.Conflict, "the primary is well")

// run carries out all steps.
func (a *attempt) run(ctx context.Context) error {
	if err := a.prepare(ctx); err != nil {
		return err
	}
	if err := a.begin(ctx); err != nil {
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
	byMembers := maps.Clone(fenced)
	maps.DeleteFunc(byMembers, func(id string, _ MemberStatus) bool { _, ok := a.joining[id]; return ok })
	a.chosen, err = choose(byMembers, members, a.avoid)
	if err != nil {
		return err
	}
	if err := a.promote(ctx, a.chosen); err != nil {
		return err
	}
	next := a.allowedMembers(fenced)
	if err := a.name(ctx, a.chosen, next); err != nil {
		return err
	}
	switch {
	case a.cause == CauseMembers && next == nil:
		return errkind.New(errkind.NoMember, "too few of %v have every acknowledged write to become the members", a.next)
	case a.cause.planned() && a.avoid(a.chosen):
		return errkind.New(errkind.NoMember, "only %q has every acknowledged write and is primary again", a.chosen)
	}
	return nil
}

// prepare reads the group and checks that the attempt is needed and can
// succeed. A group is left alone while too few members answer, because an
// attempt that cannot finish stops writes that may still work.
func (a *attempt) prepare(ctx context.Context) error {
	v := a.machine.View()
	g, ok := v.Groups[a.group]
	if !ok {
		return errkind.New(errkind.UnknownGroup, "there is no group %q", a.group)
	}
	a.was = g
	a.members = make(map[string]controlrpc.Server, len(g.Members))
	for _, id := range g.Members {
		a.members[id] = v.Servers[id]
	}
	a.need = majority(len(g.Members))
	if !v.named[a.group] {
		// Nothing is known yet about who has which records.
		a.need = len(g.Members)
	}
	a.before = a.askAll(ctx, a.opts.ProbeTimeout, a.status)
	if st, ok := a.before[g.Primary]; ok && a.cause == CauseSuspect && st.Primary && st.Term == g.Term {
		return errNotNeeded
	}
	if len(a.before) < a.need {
		return errkind.New(errkind.NoMember, "%d of %d members answer, %d are needed", len(a.before), len(g.Members), a.need)
	}
	if a.cause == CauseMembers {
		return a.prepareMembers(ctx, v)
	}
	if a.cause.planned() {
		other := func(id string) bool { _, ok := a.before[id]; return ok && !a.avoid(id) }
		if !slices.ContainsFunc(g.Members, other) {
			return errkind.New(errkind.NoMember, "no other member can become primary")
		}
	}
	return nil
}

// begin logs the next term, from which moment no reply grants the role.
func (a *attempt) begin(ctx context.Context) error {
	a.term = a.was.Term + 1
	for _, st := range a.before {
		// A member may know a greater term than the state if the state was
		// set up anew. It would refuse a smaller one.
		a.term = max(a.term, st.Term+1)
	}
	if a.opts.disabled.preparation {
		a.began = time.Now()
		return nil
	}
	err := a.log.change(ctx, Command{Begin: &BeginTerm{
		Group: a.group, ExpectTerm: a.was.Term, ExpectPhase: a.was.Phase, Term: a.term,
	}})
	a.began = time.Now()
	return err
}

// fenceAndRelease fences the members and waits for the old owner. A planned
// change does it one after the other: the owner finishes first, the other
// members receive what it wrote, and nothing is lost that was not yet
// acknowledged. Otherwise both go on at the same time, to save time.
func (a *attempt) fenceAndRelease(ctx context.Context) (map[string]MemberStatus, error) {
	if a.cause.planned() && a.before[a.was.Primary].Primary {
		if err := a.release(ctx); err != nil {
			return nil, err
		}
		a.catchUp(ctx)
		return a.fence(ctx)
	}
	var released error
	var group sync.WaitGroup
	group.Go(func() { released = a.release(ctx) })
	fenced, err := a.fence(ctx)
	group.Wait()
	if err != nil {
		return nil, err
	}
	return fenced, released
}

// release waits until the owner of the last primary no longer acts for it.
func (a *attempt) release(ctx context.Context) error {
	old, ok := a.machine.View().old[a.group]
	if !ok {
		return nil // no primary of this group was ever owned
	}
	w := &letGo{
		opts: a.opts, machine: a.machine, sessions: a.sessions,
		holder: holder{old.Host, old.Incarnation}, unlisted: a.began,
		args: ownerrpc.RevokeArgs{Server: old.Server, Term: a.term - 1},
	}
	return w.wait(ctx)
}

// catchUp waits until a member that may become primary has received what the
// present primary has. It only spares unacknowledged writes, so it gives up
// after a while.
func (a *attempt) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.CatchUp)
	defer cancel()
	for {
		all := a.askAll(ctx, a.opts.ProbeTimeout, a.status)
		primary, ok := all[a.was.Primary]
		if !ok {
			return
		}
		if a.next != nil && covered(all, a.next, a.was.Primary) >= majority(len(a.next)) {
			return
		}
		for id, st := range all {
			if a.next == nil && !a.avoid(id) && st.Received.Covers(primary.Received) {
				return
			}
		}
		if sleep(ctx, askAgain) != nil {
			return
		}
	}
}

// fence fences the members at the term of the attempt. It returns the answers
// once all have come, or a little after enough have come.
func (a *attempt) fence(ctx context.Context) (map[string]MemberStatus, error) {
	need := a.need
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
		joined <- a.askServers(ctx, a.joining, a.opts.ProbeTimeout, len(a.joining), len(a.joining), fence)
	})
	fenced := a.askServers(ctx, a.members, a.opts.StepTimeout, need, len(a.before), fence)
	if len(fenced) < need {
		return nil, errkind.New(errkind.NoMember, "%d of %d members are fenced, %d are needed", len(fenced), len(a.members), need)
	}
	maps.Copy(fenced, <-joined)
	if a.opts.disabled.fenced {
		return a.before, nil
	}
	return fenced, nil
}

// promote makes the member primary of the term. A lost answer is asked for
// again; the member cannot have been fenced in between by this leader.
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
		if sleep(ctx, askAgain) != nil {
			return errkind.Wrap(errkind.NoPrimary, err, "promoting server %q", id)
		}
	}
}

// name logs the primary. The answer of the log may be lost; the state then
// tells whether another attempt is needed.
func (a *attempt) name(ctx context.Context, id string, members []string) error {
	commands := []Command{{Name: &NamePrimary{Group: a.group, Term: a.term, Server: id, Members: members}}}
	if a.opts.disabled.preparation {
		commands = slices.Insert(commands, 0, Command{Begin: &BeginTerm{
			Group: a.group, ExpectTerm: a.was.Term, ExpectPhase: a.was.Phase, Term: a.term,
		}})
	}
	results, err := a.log.propose(ctx, commands...)
	if err != nil {
		return err
	}
	return results[len(results)-1].Err()
}

// avoid reports whether another member should become primary if possible.
func (a *attempt) avoid(id string) bool {
	return a.machine.View().OutOfService(id) || (id == a.was.Primary && a.cause.replaces()) ||
		(a.next != nil && !slices.Contains(a.next, id))
}
