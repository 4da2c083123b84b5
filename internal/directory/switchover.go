package directory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

const (
	// pollInterval is the pause between two checks whether all hosts have
	// released the old primary.
	pollInterval = 20 * time.Millisecond
	// statusInterval is the pause between two rounds of status calls, each of
	// which takes a slot of the server.
	statusInterval = 100 * time.Millisecond
	// promoteTimeout bounds a call to the external promotion service.
	promoteTimeout = time.Second
	// promoteRetryDelay is the pause before a failed call is repeated.
	promoteRetryDelay = 200 * time.Millisecond
	// roleTimeout bounds the wait for the promoted server to become the primary,
	// after which a target is chosen again. A promotion takes a few hundred ms.
	roleTimeout = 2 * time.Second
	// refusedTargetDelay is how long a server whose promotion failed is not
	// chosen again.
	refusedTargetDelay = time.Second
	// demoteTimeout bounds the attempts to inform the old primary that it was
	// superseded.
	demoteTimeout = 10 * time.Second
	// demoteRetryDelay is the pause between two such attempts.
	demoteRetryDelay = time.Second
)

// switchover replaces the primary of one group. It is used by one goroutine.
type switchover struct {
	leadership *leadership
	group      string
	cause      cause
	successor  string               // server that leads a later term; only with causeSuperseded
	refusedAt  map[string]time.Time // when the promotion of a server last failed, by server id
	requests   map[string]int       // requests to promote each server whose first one is of this switchover
	startedAt  time.Time
	surveyed   []string // what the servers last answered, as logged
}

// statusResult is the result of a status call to a server.
type statusResult struct {
	server directoryrpc.Server
	status statement.ServerStatus
	err    error
}

// run performs the switchover until it is done, given up or the leadership ends.
func (sw *switchover) run() {
	sw.startedAt = time.Now()
	l := sw.leadership
	if !sw.begin() {
		return
	}
	complete, ok := sw.awaitRelease()
	if !ok {
		return
	}
	for l.ctx.Err() == nil {
		g, ok := sw.currentGroup()
		if !ok {
			return
		}
		if g.Target == "" {
			sw.chooseTarget(g, complete)
			continue
		}
		if sw.promote(g) {
			return
		}
	}
}

// currentGroup returns the group and whether it is switching.
func (sw *switchover) currentGroup() (directoryrpc.Group, bool) {
	g := sw.leadership.machine.State().Groups[sw.group]
	return g, g.Switching
}

// begin logs the group as switching, so that its primary gets no new statements.
// It returns false if that failed.
func (sw *switchover) begin() bool {
	g := sw.leadership.machine.State().Groups[sw.group]
	if g.Switching {
		return true
	}
	next := g
	next.Switching, next.Target = true, ""
	if sw.successor != "" && !slices.Contains(g.Asked, sw.successor) {
		next.Asked = append(slices.Clone(g.Asked), sw.successor)
	}
	err := sw.updateGroup(g, next)
	sw.event("switch_begun", g).Err(err).Msg("starting a switchover; the old primary gets no new statements")
	return err == nil
}

// updateGroup replaces the group in the log, unless its generation has changed.
func (sw *switchover) updateGroup(old, next directoryrpc.Group) error {
	return sw.leadership.propose(Command{Group: &SetGroup{Group: next, ExpectedGeneration: old.Generation}})
}

// awaitRelease waits until no host uses the old primary. ok is false if the
// leadership ended first; complete is as in sessions.positionsComplete.
func (sw *switchover) awaitRelease() (complete, ok bool) {
	l := sw.leadership
	version := l.machine.UrgentVersion() // at least that of the switching group
	for !l.sessions.released(version) {
		if !l.sleep(pollInterval) {
			return false, false
		}
	}
	complete = l.sessions.positionsComplete(sw.group, version)
	g, _ := sw.currentGroup()
	sw.event("switch_released", g).Bool("all", complete).Dur("after_ms", time.Since(sw.startedAt)).Msg("no host uses the old primary any more")
	return complete, true
}

// chooseTarget logs the server to promote, or gives up the switchover and keeps
// the primary. positionsComplete reports whether the positions that hosts have
// reported cover every acknowledged commit; an answer of the primary does too.
func (sw *switchover) chooseTarget(g directoryrpc.Group, positionsComplete bool) {
	l := sw.leadership
	required := l.sessions.highestPosition(sw.group)
	deadline := time.Now().Add(l.opts.CatchUpTimeout)
	for {
		s := l.machine.State()
		sv := sw.survey(s, g)
		if leading, ok := newestPrimary(sv.results, sv.lineage.term); ok {
			sw.setTarget(g, leading, required, false) // its promotion has taken effect
			return
		}
		primary, primaryAnswers := sv.primary(g)
		if primaryAnswers {
			required = required.Max(primary.status.Received)
		}
		pastDeadline := time.Now().After(deadline)
		best, ok := sw.bestTarget(s, g, sv)
		complete := ok && sv.lineage.includes(best.status.Received, required) && (positionsComplete || primaryAnswers)
		switch {
		case complete, ok && sw.mayLoseCommits(g, pastDeadline, primaryAnswers) && (sv.lineage.follows(best.status) || sw.waitedForTerm()):
			sw.setTarget(g, best, required, complete)
			return
		case primaryAnswers && (sw.cause == causeLost || pastDeadline && !s.Servers[g.Primary].Draining):
			// Another server would lose commits that the primary has acknowledged.
			if len(g.Asked) == 0 {
				sw.keepPrimary(g)
				return
			}
			if !sw.recentlyRefused(g.Primary) {
				sw.setTarget(g, primary, required, true)
				return
			}
		case sw.cause == causePartlyUnreachable && pastDeadline && len(g.Asked) == 0:
			sw.keepPrimary(g)
			return
		}
		if !l.sleep(statusInterval) {
			return
		}
	}
}

// waitedForTerm reports whether the servers that have commits of the recorded term were
// awaited long enough.
func (sw *switchover) waitedForTerm() bool {
	return time.Since(sw.startedAt) >= sw.leadership.opts.EarlierTermTimeout
}

// survey is what the servers of a group answer.
type survey struct {
	results  []statusResult
	lineage  lineage
	complete bool // every server of the group has answered
}

// survey asks the servers of the group for their status.
func (sw *switchover) survey(s directoryrpc.State, g directoryrpc.Group) survey {
	results, complete := sw.queryServers(s, g)
	sw.logSurvey(g, results)
	return survey{results, lineage{sw.recordedTerm(g, results), g.Starts}, complete}
}

// primary returns the answer of the recorded primary, if it still leads its term.
func (sv survey) primary(g directoryrpc.Group) (statusResult, bool) {
	for _, c := range sv.results {
		if c.server.ID == g.Primary && leads(c.status, sv.lineage.term) {
			return c, true
		}
	}
	return statusResult{}, false
}

// recordedTerm returns the term of the recorded primary, as far as it is known. A primary
// whose promotion was not requested since shows it itself.
func (sw *switchover) recordedTerm(g directoryrpc.Group, results []statusResult) uint64 {
	recorded := sw.leadership.recordedTerm(g)
	for _, c := range results {
		if g.Term == 0 && c.server.ID == g.Primary && c.status.Role == statement.Primary && !slices.Contains(g.Asked, g.Primary) {
			recorded = max(recorded, c.status.Term)
		}
	}
	return recorded
}

// newestPrimary returns the server that leads the latest term after the recorded one, if any.
func newestPrimary(results []statusResult, recorded uint64) (newest statusResult, ok bool) {
	for _, c := range results {
		if c.status.Role == statement.Primary && c.status.Term > max(recorded, newest.status.Term) {
			newest, ok = c, true
		}
	}
	return newest, ok
}

// recentlyRefused reports whether the promotion of a server failed a short time ago.
func (sw *switchover) recentlyRefused(id string) bool {
	return time.Since(sw.refusedAt[id]) < refusedTargetDelay
}

// mayLoseCommits reports whether a server that may lack acknowledged commits may
// be promoted: at once if the primary is lost or acts as a replica, otherwise
// after the deadline. If only some hosts fail to reach the primary, or it answers
// and is not leaving, no commit may be lost. Once a promotion was requested, a primary
// that does not answer counts as lost, because no host may use it any more.
func (sw *switchover) mayLoseCommits(g directoryrpc.Group, pastDeadline, primaryAnswers bool) bool {
	switch {
	case sw.cause == causeLeaving:
		return pastDeadline
	case primaryAnswers:
		return false
	case sw.cause == causePartlyUnreachable:
		return pastDeadline && len(g.Asked) > 0
	}
	return pastDeadline || sw.cause.forced()
}

// setTarget logs best as the server to promote. From then on its promotion may take effect.
func (sw *switchover) setTarget(g directoryrpc.Group, best statusResult, required logpos.Position, complete bool) {
	next := g
	next.Target = best.server.ID
	if !slices.Contains(g.Asked, best.server.ID) {
		next.Asked = append(slices.Clone(g.Asked), best.server.ID)
		sw.requests[best.server.ID] = 0
	}
	err := sw.updateGroup(g, next)
	sw.event("switch_target", g).Str("target", best.server.ID).Stringer("position", best.status.Received).
		Stringer("required", required).Bool("complete", complete).Err(err).Msg("recording the server to promote")
}

// keepPrimary ends a switchover that would lose acknowledged commits. No promotion may have
// been requested.
func (sw *switchover) keepPrimary(g directoryrpc.Group) {
	next := g
	next.Switching, next.Target = false, ""
	err := sw.updateGroup(g, next)
	sw.event("switch_given_up", g).Err(err).Msg("giving up the switchover: no other server has every acknowledged commit")
}

// queryServers returns the status of every server of the group that answers. In a
// forced switchover it does not wait for the old primary, unless that may be promoted.
// complete reports whether every server has answered.
func (sw *switchover) queryServers(s directoryrpc.State, g directoryrpc.Group) (results []statusResult, complete bool) {
	ctx, cancel := context.WithTimeout(sw.leadership.ctx, probeTimeout)
	defer cancel()
	answers := make(chan statusResult, len(s.Servers))
	awaitsPrimary := !sw.cause.forced() || len(g.Asked) > 0
	pending, servers := 0, 0
	for _, srv := range s.Servers {
		if srv.Group != g.Name {
			continue
		}
		servers++
		if srv.ID != g.Primary || awaitsPrimary {
			pending++
		}
		sw.leadership.workers.Go(func() { sw.leadership.runStatusCall(ctx, srv, answers) })
	}
	for pending > 0 {
		c := <-answers
		if c.err == nil {
			results = append(results, c)
		}
		if c.server.ID != g.Primary || awaitsPrimary {
			pending--
		}
	}
	return results, len(results) == servers
}

// logSurvey logs what the servers answered, if that has changed. Without it, a server
// that does not answer can't be told from one that acts in an earlier term.
func (sw *switchover) logSurvey(g directoryrpc.Group, results []statusResult) {
	var answers []string
	for _, c := range results {
		answers = append(answers, fmt.Sprintf("%s %s term %d at %s", c.server.ID, c.status.Role, c.status.Term, c.status.Received))
	}
	slices.Sort(answers)
	if slices.Equal(answers, sw.surveyed) {
		return
	}
	sw.surveyed = answers
	sw.event("switch_surveyed", g).Strs("answers", answers).Msg("asked the servers of the group for their status")
}

// bestTarget returns the most advanced server that may be promoted. With
// synchronous replication, enough replicas must have answered that at least one
// of them has every acknowledged commit.
//
// A log with commits that were rolled back is left out, unless nothing else can ever lead:
// every server that is known has answered, and the others had time to be announced.
func (sw *switchover) bestTarget(s directoryrpc.State, g directoryrpc.Group, sv survey) (statusResult, bool) {
	var best statusResult
	var ok bool
	answered := 0
	for _, c := range sv.results {
		recorded, acting := c.server.ID == g.Primary, c.status.Role == statement.Primary
		if recorded && acting && len(g.Asked) == 0 {
			continue
		}
		answered++
		if recorded && !acting && !sw.cause.forced() || sw.recentlyRefused(c.server.ID) {
			continue
		}
		if !sv.lineage.holds(c.status) && !(sv.complete && sw.waitedForTerm()) {
			continue
		}
		if !ok || sv.better(c, best, g.Primary) {
			best, ok = c, true
		}
	}
	if syncReplicas := sw.leadership.opts.SyncReplicas(s, g.Name); syncReplicas > 0 && (best.server.ID != g.Primary || best.status.Role != statement.Primary) {
		total := 0
		for _, srv := range s.Servers {
			if srv.Group == g.Name && srv.ID != g.Primary {
				total++
			}
		}
		ok = ok && answered > total-syncReplicas
	}
	return best, ok
}

// better reports whether a is a better target than b: servers without commits that were
// rolled back come first, then those that are not draining, those that have received more
// of the log, those that lead already, and those other than the primary that is to be
// replaced.
func (sv survey) better(a, b statusResult, primary string) bool {
	if held := sv.lineage.holds(a.status); held != sv.lineage.holds(b.status) {
		return held
	}
	if a.server.Draining != b.server.Draining {
		return b.server.Draining
	}
	if a.status.Received.LSN != b.status.Received.LSN {
		return a.status.Received.LSN > b.status.Received.LSN
	}
	if b.server.ID == primary || a.server.ID == primary {
		return b.server.ID == primary
	}
	return a.status.Role == statement.Primary && b.status.Role != statement.Primary
}

// promote promotes the logged target and reports whether the switchover is done.
func (sw *switchover) promote(g directoryrpc.Group) bool {
	l := sw.leadership
	target, known := l.machine.State().Servers[g.Target]
	if !known {
		sw.clearTarget(g, g.Asked)
		return false
	}
	if err := sw.requestPromotion(g); errkind.Of(err) == errkind.Conflict {
		sw.refusedAt[g.Target] = time.Now()
		sw.clearTarget(g, sw.askedAfterRefusal(g))
		return false
	} else if err != nil {
		l.sleep(promoteRetryDelay)
		return false
	}
	st, promoted := sw.awaitPrimaryRole(g, target)
	if !promoted {
		if sw.refusedAt[g.Target] = time.Now(); l.ctx.Err() == nil {
			sw.clearTarget(g, g.Asked)
		}
		return false
	}
	l.sessions.recordPrimary(sw.group)
	next := g
	next.Primary, next.Switching, next.Target, next.Term, next.Asked = g.Target, false, "", st.Term, nil
	if st.Term > l.recordedTerm(g) {
		next.Starts = startTerm(g.Starts, st.Term, st.Received.LSN)
	}
	err := sw.updateGroup(g, next)
	sw.event("switch_done", g).Uint64("term", st.Term).Stringer("position", st.Received).Dur("after_ms", time.Since(sw.startedAt)).Err(err).Msg("recording the new primary")
	if err != nil {
		return false
	}
	for _, id := range append([]string{g.Primary}, g.Asked...) {
		if id != g.Target {
			l.workers.Go(func() { sw.runDemote(id, g.Target, st.Term) })
		}
	}
	return true
}

// askedAfterRefusal returns the servers whose promotion may have taken effect after that
// of the target was refused. An earlier request of it, which may have had no answer,
// still counts.
func (sw *switchover) askedAfterRefusal(g directoryrpc.Group) []string {
	if n, ok := sw.requests[g.Target]; !ok || n != 1 {
		return g.Asked
	}
	return slices.DeleteFunc(slices.Clone(g.Asked), func(id string) bool { return id == g.Target })
}

// requestPromotion asks the external service to promote the target. The read
// lease is checked immediately before, so that a superseded leader does not ask.
func (sw *switchover) requestPromotion(g directoryrpc.Group) error {
	l := sw.leadership
	if !l.log.LeaseValid() {
		return errkind.New(errkind.NotLeader, "the read lease has run out")
	}
	ctx, cancel := context.WithTimeout(l.ctx, promoteTimeout)
	defer cancel()
	if n, ok := sw.requests[g.Target]; ok {
		sw.requests[g.Target] = n + 1
	}
	err := l.opts.Promote(ctx, Promotion{Group: g.Name, Server: g.Target, Holder: l.opts.Host, Token: l.token, LeaseValid: l.log.LeaseValid})
	sw.event("promote_asked", g).Uint64("token", l.token).Err(err).Msg("requested the promotion of the target server")
	return err
}

// clearTarget removes the target from the logged group, so that a target is
// chosen again, and logs the servers whose promotion may have taken effect.
func (sw *switchover) clearTarget(g directoryrpc.Group, asked []string) {
	next := g
	next.Target, next.Asked = "", asked
	if err := sw.updateGroup(g, next); err != nil {
		sw.event("switch_retarget", g).Err(err).Msg("removing the target from the group failed")
		sw.leadership.sleep(statusInterval)
	}
}

// awaitPrimaryRole waits until the target reports that it is the primary in a later
// term than that of the recorded one, and returns its status. A server that still has the
// role from an earlier term has not been promoted yet. The target announces its new role;
// the periodic status call handles a lost announcement.
//
// One server leads a term. So a target that has the role in the recorded term is the
// recorded primary, which may have been restarted under another id. It still is the present
// one if no other promotion was requested. If one was, and the target has the role
// in the recorded term after roleTimeout, no other promotion had taken effect when its own
// was requested: a request to promote the present primary changes nothing.
func (sw *switchover) awaitPrimaryRole(g directoryrpc.Group, target directoryrpc.Server) (st statement.ServerStatus, promoted bool) {
	l := sw.leadership
	recorded := l.recordedTerm(g)
	lastQuery := time.Now()
	unchanged := false
	for deadline := lastQuery.Add(roleTimeout); time.Now().Before(deadline); {
		changed := l.machine.Changed()
		now := l.machine.State().Servers[target.ID]
		if now.Role == statement.Primary && now.Newer(target) || time.Since(lastQuery) >= statusInterval {
			lastQuery = time.Now()
			var err error
			st, err = sw.checkRole(g, target)
			unchanged = err == nil && leads(st, recorded) && st.Term == recorded
			onlyTarget := !slices.ContainsFunc(g.Asked, func(id string) bool { return id != target.ID })
			if err == nil && leads(st, recorded+1) || unchanged && onlyTarget {
				return st, true
			}
		}
		select {
		case <-l.ctx.Done():
			return st, false
		case <-changed:
		case <-time.After(statusInterval):
		}
	}
	return st, unchanged
}

// checkRole asks the target for its status.
func (sw *switchover) checkRole(g directoryrpc.Group, target directoryrpc.Server) (statement.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(sw.leadership.ctx, probeTimeout)
	defer cancel()
	st, err := sw.leadership.opts.Members.Status(ctx, target)
	sw.event("role_checked", g).Str("role", string(st.Role)).Uint64("term", st.Term).Stringer("position", st.Received).Err(err).Msg("asked the target server for its role")
	return st, err
}

// runDemote informs the old primary that it was superseded. The new primary
// informs it as well, so a failure needs no further handling.
func (sw *switchover) runDemote(old, primary string, term uint64) {
	l := sw.leadership
	for deadline := time.Now().Add(demoteTimeout); time.Now().Before(deadline); {
		s := l.machine.State()
		srv, known := s.Servers[old]
		if !known || s.Groups[sw.group].Primary != primary {
			return
		}
		ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
		err := l.opts.Members.Demote(ctx, srv, term)
		cancel()
		if err == nil {
			return
		}
		l.opts.Events.Event("demote_failed").Str("group", sw.group).Str("server", old).Uint64("term", term).Err(err).Msg("informing the old primary that it was superseded failed")
		if !l.sleep(demoteRetryDelay) {
			return
		}
	}
}
