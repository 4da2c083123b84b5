package gateway

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/database"
)

// view is an immutable snapshot of the directory state and the configuration,
// by which statements are routed.
type view struct {
	state directoryrpc.State
	cfg   *database.Config
	ranks schedule.RankTable // of cfg
	// keyOwners holds the name of the customer of each key of cfg.
	keyOwners map[database.KeyDigest]string
	groups    map[string]*groupView
	changed   chan struct{} // closed when a newer view replaces this one
}

// declares reports whether the configuration declares the named database.
func (v *view) declares(name string) bool {
	_, ok := v.cfg.Databases[name]
	return ok
}

// groupView is the state of a database group within a view.
type groupView struct {
	group      *group
	generation uint64 // of the directory's group record
	switching  bool
	primary    *member // nil if the group has no primary
	members    []*member
}

// primaryUsable reports whether statements may be sent to the primary. A
// draining primary takes statements for primaryDrainTime.
func (gv *groupView) primaryUsable() bool {
	return gv != nil && gv.primary != nil && !gv.switching && gv.primary.drainingFor() < primaryDrainTime
}

// reachableWithin is how recently a server must have answered to be reported as
// reachable.
const reachableWithin = 3 * time.Second

// report returns this host's observation of the primary. If it is failing, the
// report includes the other servers that this host reaches.
func (gv *groupView) report(now time.Time) directoryrpc.Report {
	r := directoryrpc.Report{Group: gv.group.name, Generation: gv.generation}
	gv.group.mu.Lock()
	r.Position = gv.group.latestPosition
	gv.group.mu.Unlock()
	if gv.primary != nil {
		r.FailingFor, r.LastAnswerAge = gv.primary.failingFor(now), gv.primary.sinceLastAnswer(now)
	}
	for _, m := range gv.members {
		if ago := m.sinceLastAnswer(now); m != gv.primary && ago > 0 && ago < reachableWithin && m.failingFor(now) == 0 && r.FailingFor > 0 {
			r.Reachable = append(r.Reachable, m.server.ID)
		}
	}
	return r
}

// chooseForRead returns the server for a read that any of them may run, or nil if
// all were tried or are draining. Servers in backoff after a failure come last and
// lagging replicas before them. Within a class the lowest cost wins. It includes
// the wait in the queue, so load spreads when a queue grows.
func (gv *groupView) chooseForRead(tried map[*member]bool, now time.Time) *member {
	var best *member
	var class readClass
	var lowestCost time.Duration
	for _, m := range gv.members {
		if tried[m] || m.drainingFor() > 0 {
			continue
		}
		c, cost := m.classify(now)
		if best == nil || c < class || c == class && cost < lowestCost {
			best, class, lowestCost = m, c, cost
		}
	}
	return best
}
