package directory

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// probeTimeout bounds a status call. A busy server in another region answers
	// within 300 ms.
	probeTimeout = 400 * time.Millisecond
	// probeEvery is the pause between two status calls to a suspected primary.
	probeEvery = 100 * time.Millisecond
	// roleGrace is how long a primary may announce itself as a replica before
	// another one is chosen; an announcement may be on its way.
	roleGrace = time.Second
	// answeredWithin is how recently a host must have had an answer of the
	// primary for it to count as alive.
	answeredWithin = time.Second
)

// cause says why a primary is changed.
type cause string

const (
	causeNone    cause = ""
	causeLost    cause = "lost"    // nobody reaches it
	causeLeaving cause = "leaving" // it announced its departure
	causePartial cause = "partial" // some hosts do not reach it
	causeDemoted cause = "demoted" // it takes itself for a replica
	causeResumed cause = "resumed" // an earlier leader began the change
)

// forced reports whether the change goes on without the primary's consent.
func (c cause) forced() bool { return c == causeLost || c == causeDemoted }

// watch judges the primary of one group over time. The fields below mu are
// written by the probe that runs in the background.
type watch struct {
	demotedSince time.Time
	generation   uint64

	mu       sync.Mutex
	probing  bool
	probed   time.Time // end of the last probe
	silent   time.Time // since when probes fail; zero if the last one succeeded
	failures int
}

// judge returns why the primary has to be changed.
func (w *watch) judge(l *leadership, s directoryrpc.State, g directoryrpc.Group, servers []directoryrpc.Server) cause {
	if w.generation != g.Generation {
		w.reset(g.Generation)
	}
	primary, known := s.Servers[g.Primary]
	if !known {
		return causeLost
	}
	if primary.Draining && hasSuccessor(g, servers) {
		return causeLeaving
	}
	if primary.Role == statement.Replica {
		if w.demotedSince.IsZero() {
			w.demotedSince = time.Now()
		}
		if time.Since(w.demotedSince) > roleGrace {
			return causeDemoted
		}
	} else {
		w.demotedSince = time.Time{}
	}
	return w.judgeReports(l, g, primary)
}

// judgeReports weighs what hosts see. A primary that nobody reaches is lost; a
// primary that some reach is moved to where all can reach it, without loss.
func (w *watch) judgeReports(l *leadership, g directoryrpc.Group, primary directoryrpc.Server) cause {
	var suspected, failing, partial, answered int
	views := l.sessions.views(g.Name, g.Generation)
	for _, r := range views {
		if r.Failing > 0 {
			suspected++
		}
		switch {
		case r.Failing >= l.opts.FailAfter:
			failing++
			if r.Failing >= l.opts.PartialAfter && len(r.Reachable) > 0 {
				partial++
			}
		case r.Answered > 0 && r.Answered < answeredWithin:
			answered++
		}
	}
	if suspected == 0 {
		return causeNone
	}
	w.probe(l, primary)
	w.mu.Lock()
	silent := w.failures >= 2 && time.Since(w.silent) >= l.opts.FailAfter
	// Most hosts and the leader see the same failure.
	agreed := w.failures >= 1 && 2*suspected > len(views)
	w.mu.Unlock()
	switch {
	case failing > 0 && (silent && answered == 0 || agreed):
		return causeLost
	case partial > 0 && failing > 0:
		return causePartial
	}
	return causeNone
}

func (w *watch) reset(generation uint64) {
	w.generation, w.demotedSince = generation, time.Time{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent, w.failures = time.Time{}, 0
}

// probe asks the primary for its status in the background.
func (w *watch) probe(l *leadership, primary directoryrpc.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probing || time.Since(w.probed) < probeEvery {
		return
	}
	w.probing = true
	l.group.Go(func() { w.runProbe(l, primary) })
}

func (w *watch) runProbe(l *leadership, primary directoryrpc.Server) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	_, err := l.opts.Members.Status(ctx, primary)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probing, w.probed = false, time.Now()
	switch {
	case err == nil || errkind.Of(err) == errkind.Overloaded:
		w.silent, w.failures = time.Time{}, 0
	case w.silent.IsZero():
		w.silent, w.failures = started, 1
	default:
		w.failures++
	}
	l.opts.Events.Event("primary_probed").Str("group", primary.Group).Str("server", primary.ID).Int("failures", w.failures).Err(err).Msg("status of a suspected primary")
}

// hasSuccessor reports whether another server of the group stays.
func hasSuccessor(g directoryrpc.Group, servers []directoryrpc.Server) bool {
	for _, s := range servers {
		if s.ID != g.Primary && !s.Draining {
			return true
		}
	}
	return false
}
