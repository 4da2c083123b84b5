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
	// probeInterval is the minimum pause between two status calls to a suspected
	// primary.
	probeInterval = 100 * time.Millisecond
	// roleGracePeriod is how long a primary may be announced as a replica before
	// it is replaced; a newer announcement may still be in transit.
	roleGracePeriod = time.Second
	// maxAnswerAge is the maximum age of the last answer that a host received
	// from the primary for the primary to be considered reachable.
	maxAnswerAge = time.Second
)

// cause is the reason for a switchover.
type cause string

const (
	causeNone              cause = ""
	causeLost              cause = "lost"       // it was removed, or hosts and the leader can't reach it
	causeLeaving           cause = "leaving"    // it announced that it is draining
	causePartlyUnreachable cause = "partial"    // some hosts do not reach it
	causeDemoted           cause = "demoted"    // it announces itself as a replica
	causeResumed           cause = "resumed"    // an earlier leader began the switchover
	causeSuperseded        cause = "superseded" // another server leads a later term
)

// forced reports whether the switchover proceeds without waiting for an answer of
// the old primary.
func (c cause) forced() bool { return c == causeLost || c == causeDemoted || c == causeSuperseded }

// primaryMonitor decides whether the primary of one group has to be replaced. The
// fields below mu are shared with the background probe.
type primaryMonitor struct {
	demotedSince time.Time // when the primary was first seen announced as a replica; zero if it is not
	generation   uint64    // generation of the group that the fields refer to
	others       otherPrimaries

	mu           sync.Mutex
	probing      bool
	lastProbe    time.Time    // end of the last probe
	failingSince time.Time    // start of the first failed probe; zero if the last one succeeded
	failures     int          // consecutive failed probes
	probed       statusResult // of the last probe
	probedAt     time.Time    // start of the last probe
}

// causeOfChange returns why the primary has to be replaced, or causeNone.
func (m *primaryMonitor) causeOfChange(l *leadership, s directoryrpc.State, g directoryrpc.Group, servers []directoryrpc.Server) cause {
	if m.generation != g.Generation {
		m.reset(g.Generation)
	}
	if m.others.check(l, g, servers) != "" {
		return causeSuperseded
	}
	primary, known := s.Servers[g.Primary]
	if !known {
		return causeLost
	}
	if primary.Draining && hasSuccessor(g, servers) {
		return causeLeaving
	}
	if primary.Role == statement.Replica {
		if m.demotedSince.IsZero() {
			m.demotedSince = time.Now()
		}
		if time.Since(m.demotedSince) > roleGracePeriod && m.confirmDemotion(l, g, primary) {
			return causeDemoted
		}
	} else {
		m.demotedSince = time.Time{}
	}
	if len(servers) == 1 {
		return causeNone // no other server can take over, and the group would take no statements
	}
	return m.causeFromReports(l, g, primary)
}

// leads reports whether a server shows the primary role in the given term or a later one.
func leads(st statement.ServerStatus, term uint64) bool {
	return st.Role == statement.Primary && st.Term >= term
}

// confirmDemotion reports whether a primary that is announced as a replica must be
// replaced. The announcement of a server that was just promoted may arrive later than
// the grace period, so the server itself is asked. If it does not answer, the
// announcement counts.
func (m *primaryMonitor) confirmDemotion(l *leadership, g directoryrpc.Group, primary directoryrpc.Server) bool {
	m.probe(l, primary)
	m.mu.Lock()
	defer m.mu.Unlock()
	asked := m.probed.server.ID == primary.ID && m.probedAt.After(m.demotedSince)
	return asked && (m.probed.err != nil || !leads(m.probed.status, l.recordedTerm(g)))
}

// causeFromReports evaluates the reports of the hosts and the probes of the
// leader. A host without a report does not suspect the primary. A primary is lost if neither the leader nor any host reaches it, or if
// most hosts and the leader fail to reach it. A primary that only some hosts
// reach is replaced without losing commits.
func (m *primaryMonitor) causeFromReports(l *leadership, g directoryrpc.Group, primary directoryrpc.Server) cause {
	if !l.sessions.isSuspected(g.Name) {
		return causeNone
	}
	var suspected, failing, partial, answered int
	for _, r := range l.sessions.reports(g.Name, g.Generation) {
		if r.FailingFor > 0 {
			suspected++
		}
		switch {
		case r.FailingFor >= l.opts.FailAfter:
			failing++
			if r.FailingFor >= l.opts.PartialFailAfter && len(r.Reachable) > 0 {
				partial++
			}
		case r.LastAnswerAge > 0 && r.LastAnswerAge < maxAnswerAge:
			answered++
		}
	}
	if suspected == 0 {
		return causeNone
	}
	m.probe(l, primary)
	m.mu.Lock()
	unreachable := m.failures >= 2 && time.Since(m.failingSince) >= l.opts.FailAfter
	// Most hosts and the leader fail to reach the primary.
	confirmedByLeader := m.failures >= 1 && 2*suspected > l.sessions.liveCount()
	m.mu.Unlock()
	switch {
	case failing > 0 && (unreachable && answered == 0 || confirmedByLeader):
		return causeLost
	case partial > 0 && failing > 0:
		return causePartlyUnreachable
	}
	return causeNone
}

// reset clears the observations when the generation of the group changes.
func (m *primaryMonitor) reset(generation uint64) {
	m.generation, m.demotedSince = generation, time.Time{}
	m.others.reset(generation)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failingSince, m.failures = time.Time{}, 0
}

// probe starts a status call to the primary in the background, at most one per
// probeInterval.
func (m *primaryMonitor) probe(l *leadership, primary directoryrpc.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing || time.Since(m.lastProbe) < probeInterval {
		return
	}
	m.probing = true
	l.workers.Go(func() { m.runProbe(l, primary) })
}

func (m *primaryMonitor) runProbe(l *leadership, primary directoryrpc.Server) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	st, err := l.opts.Members.Status(ctx, primary)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing, m.lastProbe = false, time.Now()
	m.probed, m.probedAt = statusResult{primary, st, err}, started
	switch {
	case err == nil || errkind.Of(err) == errkind.Overloaded:
		m.failingSince, m.failures = time.Time{}, 0
	case m.failingSince.IsZero():
		m.failingSince, m.failures = started, 1
	default:
		m.failures++
	}
	l.opts.Events.Event("primary_probed").Str("group", primary.Group).Str("server", primary.ID).Int("failures", m.failures).Err(err).Msg("probed a primary that hosts report as failing or that is announced as a replica")
}

// hasSuccessor reports whether the group has another server that is not draining.
func hasSuccessor(g directoryrpc.Group, servers []directoryrpc.Server) bool {
	for _, s := range servers {
		if s.ID != g.Primary && !s.Draining {
			return true
		}
	}
	return false
}
