package directory

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

const (
	// step is the pause between two looks at something that is awaited.
	step = 20 * time.Millisecond
	// askEvery is the pause between two rounds of status calls. Each call
	// takes a slot of the server.
	askEvery = 100 * time.Millisecond
	// promoteTimeout bounds a call of the outside service.
	promoteTimeout = time.Second
	// promoteEvery is the pause before the call is repeated.
	promoteEvery = 200 * time.Millisecond
	// roleWait is how long a promoted server is waited for before the call is
	// repeated. A promotion takes a few hundred ms.
	roleWait = 2 * time.Second
	// refusedFor keeps a server that does not run from being chosen again.
	refusedFor = time.Second
	// demoteFor is how long the old primary is told that it was superseded.
	demoteFor = 10 * time.Second
	// demoteEvery is the pause between two such calls.
	demoteEvery = time.Second
)

// switchover moves the primary of one group. One goroutine owns it.
type switchover struct {
	lead    *leadership
	name    string
	cause   cause
	refused map[string]time.Time // servers that do not run, and when that was seen
	started time.Time
}

// candidate is a server and its answer to a status call.
type candidate struct {
	server directoryrpc.Server
	status statement.ServerStatus
	err    error
}

func (w *switchover) run() {
	w.started = time.Now()
	l := w.lead
	if !w.begin() {
		return
	}
	all, ok := w.awaitRelease()
	if !ok {
		return
	}
	for l.ctx.Err() == nil {
		g, ok := w.current()
		if !ok {
			return
		}
		if g.Target == "" {
			w.choose(g, all)
			continue
		}
		if w.promote(g) {
			return
		}
	}
}

// current returns the group while it is switching.
func (w *switchover) current() (directoryrpc.Group, bool) {
	g := w.lead.machine.State().Groups[w.name]
	return g, g.Switching
}

// begin logs that the primary takes no statements any more.
func (w *switchover) begin() bool {
	g := w.lead.machine.State().Groups[w.name]
	if g.Switching {
		return true
	}
	next := g
	next.Switching, next.Target = true, ""
	err := w.set(g, next)
	w.event("switch_begun", g).Err(err).Msg("the primary takes no more statements")
	return err == nil
}

// set logs the next state of the group, unless it is no longer in the old one.
func (w *switchover) set(old, next directoryrpc.Group) error {
	return w.lead.propose(Command{Group: &SetGroup{Group: next, Expect: old.Generation}})
}

// awaitRelease waits until no host uses the old primary.
func (w *switchover) awaitRelease() (all, ok bool) {
	begun := w.lead.machine.State().Version
	for {
		done, all := w.lead.sessions.released(begun)
		if done {
			g, _ := w.current()
			w.event("switch_released", g).Bool("all", all).Dur("after_ms", time.Since(w.started)).Msg("no host uses the old primary")
			return all, true
		}
		if !w.lead.sleep(step) {
			return false, false
		}
	}
}

// choose logs the server to promote, or gives a planned change up.
func (w *switchover) choose(g directoryrpc.Group, all bool) {
	l := w.lead
	s := l.machine.State()
	required := l.sessions.latest(w.name)
	deadline := time.Now().Add(l.opts.CatchUp)
	for {
		found := w.ask(s, g)
		primary := slices.IndexFunc(found, func(c candidate) bool {
			return c.server.ID == g.Primary && c.status.Role == statement.Primary
		})
		if primary >= 0 {
			required = required.Max(found[primary].status.Received)
		}
		best, ok := w.best(s, g, found)
		complete := ok && best.status.Received.Covers(required) && (all || primary >= 0)
		switch {
		case complete, w.mayLose(time.Now().After(deadline), primary >= 0) && ok:
			w.target(g, best, required, complete)
			return
		case w.cause == causePartial && time.Now().After(deadline),
			primary >= 0 && time.Now().After(deadline) && !s.Servers[g.Primary].Draining,
			primary >= 0 && w.cause == causeLost:
			// It answers, and no other server has all that it acknowledged.
			w.keep(g)
			return
		}
		if !l.sleep(askEvery) {
			return
		}
		s = l.machine.State()
	}
}

// mayLose reports whether a server that lacks acknowledged commits may lead,
// because the primary is gone or leaves.
func (w *switchover) mayLose(late, primaryAnswers bool) bool {
	switch {
	case w.cause == causeLeaving:
		return late
	case primaryAnswers || w.cause == causePartial:
		return false
	}
	return late || w.cause.forced()
}

func (w *switchover) target(g directoryrpc.Group, best candidate, required logpos.Position, complete bool) {
	next := g
	next.Target = best.server.ID
	err := w.set(g, next)
	w.event("switch_target", g).Str("target", best.server.ID).Stringer("position", best.status.Received).
		Stringer("required", required).Bool("complete", complete).Err(err).Msg("the next primary is chosen")
}

// keep ends a change that would lose acknowledged commits.
func (w *switchover) keep(g directoryrpc.Group) {
	next := g
	next.Switching, next.Target = false, ""
	err := w.set(g, next)
	w.event("switch_given_up", g).Err(err).Msg("no server has everything; the primary stays")
}

// ask returns the status of every server of the group that answers. A primary
// that is taken for lost is not waited for.
func (w *switchover) ask(s directoryrpc.State, g directoryrpc.Group) []candidate {
	ctx, cancel := context.WithTimeout(w.lead.ctx, probeTimeout)
	defer cancel()
	answers := make(chan candidate, len(s.Servers))
	awaited := 0
	for _, srv := range s.Servers {
		if srv.Group != g.Name {
			continue
		}
		if srv.ID != g.Primary || !w.cause.forced() {
			awaited++
		}
		w.lead.group.Go(func() { w.runAsk(ctx, srv, answers) })
	}
	var found []candidate
	for awaited > 0 {
		c := <-answers
		if c.err == nil {
			found = append(found, c)
		}
		if c.server.ID != g.Primary || !w.cause.forced() {
			awaited--
		}
	}
	return found
}

func (w *switchover) runAsk(ctx context.Context, srv directoryrpc.Server, answers chan<- candidate) {
	st, err := w.lead.opts.Members.Status(ctx, srv)
	answers <- candidate{srv, st, err}
}

// best returns the most advanced server that may lead. Where commits wait for
// replicas, so many servers must have answered that one of them has
// everything that was acknowledged.
func (w *switchover) best(s directoryrpc.State, g directoryrpc.Group, found []candidate) (candidate, bool) {
	var best candidate
	var ok bool
	replicas := 0
	for _, c := range found {
		if c.server.ID == g.Primary && c.status.Role == statement.Primary {
			continue
		}
		replicas++
		if c.server.ID == g.Primary && !w.cause.forced() || time.Since(w.refused[c.server.ID]) < refusedFor {
			continue
		}
		if !ok || better(c, best) {
			best, ok = c, true
		}
	}
	if sync := w.lead.opts.SyncReplicas(s, g.Name); sync > 0 {
		total := 0
		for _, srv := range s.Servers {
			if srv.Group == g.Name && srv.ID != g.Primary {
				total++
			}
		}
		ok = ok && replicas > total-sync
	}
	return best, ok
}

// better prefers a server that stays, then the one that has received more.
func better(a, b candidate) bool {
	if a.server.Draining != b.server.Draining {
		return b.server.Draining
	}
	return a.status.Received.Compare(b.status.Received) > 0
}

// promote promotes the logged target and reports whether the change is over.
func (w *switchover) promote(g directoryrpc.Group) bool {
	l := w.lead
	target, known := l.machine.State().Servers[g.Target]
	if !known {
		w.retarget(g)
		return false
	}
	if err := w.call(g); errkind.Of(err) == errkind.Conflict {
		w.refused[g.Target] = time.Now()
		w.retarget(g)
		return false
	} else if err != nil {
		l.sleep(promoteEvery)
		return false
	}
	term, leads := w.awaitRole(target)
	if !leads {
		if w.refused[g.Target] = time.Now(); l.ctx.Err() == nil {
			w.retarget(g)
		}
		return false
	}
	next := g
	next.Primary, next.Switching, next.Target = g.Target, false, ""
	err := w.set(g, next)
	w.event("switch_done", g).Uint64("term", term).Dur("after_ms", time.Since(w.started)).Err(err).Msg("the new primary is named")
	if err == nil && g.Primary != g.Target {
		l.group.Go(func() { w.runDemote(g.Primary, g.Target, term) })
	}
	return err == nil
}

// call asks the outside service for the promotion. The read lease of the
// leader is checked last, so that no superseded leader asks.
func (w *switchover) call(g directoryrpc.Group) error {
	l := w.lead
	if !l.log.LeaseValid() {
		return errkind.New(errkind.NotLeader, "the read lease has run out")
	}
	ctx, cancel := context.WithTimeout(l.ctx, promoteTimeout)
	defer cancel()
	err := l.opts.Promote(ctx, Promotion{Group: g.Name, Server: g.Target, Holder: l.opts.Host, Token: l.token})
	w.event("promote_asked", g).Uint64("token", l.token).Err(err).Msg("promotion")
	return err
}

// retarget logs that another server has to be chosen.
func (w *switchover) retarget(g directoryrpc.Group) {
	next := g
	next.Target = ""
	if err := w.set(g, next); err != nil {
		w.event("switch_retarget", g).Err(err).Msg("choosing another target failed")
		w.lead.sleep(askEvery)
	}
}

// awaitRole waits until the target says that it leads and returns its term. It
// announces the change by itself; the status call covers a lost announcement.
func (w *switchover) awaitRole(target directoryrpc.Server) (term uint64, leads bool) {
	asked := time.Now()
	for end := asked.Add(roleWait); time.Now().Before(end); {
		changed := w.lead.machine.Changed()
		now := w.lead.machine.State().Servers[target.ID]
		if now.Role == statement.Primary && now.Newer(target) || time.Since(asked) >= askEvery {
			asked = time.Now()
			ctx, cancel := context.WithTimeout(w.lead.ctx, probeTimeout)
			st, err := w.lead.opts.Members.Status(ctx, target)
			cancel()
			if err == nil && st.Role == statement.Primary {
				return st.Term, true
			}
		}
		select {
		case <-w.lead.ctx.Done():
			return 0, false
		case <-changed:
		case <-time.After(askEvery):
		}
	}
	return 0, false
}

// runDemote tells the old primary that it was superseded. It also learns that
// from the new one, so a failure needs no handling.
func (w *switchover) runDemote(old, primary string, term uint64) {
	l := w.lead
	for end := time.Now().Add(demoteFor); time.Now().Before(end); {
		s := l.machine.State()
		srv, known := s.Servers[old]
		if !known || s.Groups[w.name].Primary != primary {
			return
		}
		ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
		err := l.opts.Members.Demote(ctx, srv, term)
		cancel()
		if err == nil {
			return
		}
		l.opts.Events.Event("demote_failed").Str("group", w.name).Str("server", old).Uint64("term", term).Err(err).Msg("the old primary was not reached")
		if !l.sleep(demoteEvery) {
			return
		}
	}
}
