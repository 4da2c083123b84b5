package gateway

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/database"
)

// view is what statements are routed by. It is never changed.
type view struct {
	state   directoryrpc.State
	cfg     *database.Config
	groups  map[string]*groupView
	changed chan struct{} // closed when the next view is in force
}

// declares reports whether the configuration has a database of that name.
func (v *view) declares(name string) bool {
	_, ok := v.cfg.Databases[name]
	return ok
}

// groupView is a database group within a view.
type groupView struct {
	group      *group
	generation uint64
	switching  bool
	primary    *member // nil if there is none
	members    []*member
}

// usable reports whether the primary takes statements.
func (gv *groupView) usable() bool {
	return gv != nil && gv.primary != nil && !gv.switching && gv.primary.drainingFor() < drainPrimary
}

// choose picks the server for a read that any of them may run. Replicas that
// are known to lag and servers that failed come last; among the others the
// least expected time decides, so that load spreads when a queue grows.
func (gv *groupView) choose(tried map[*member]bool, now time.Time) *member {
	var best *member
	var class standing
	var least time.Duration
	for _, m := range gv.members {
		if tried[m] || m.drainingFor() > 0 {
			continue
		}
		c, cost := m.judge(now)
		if best == nil || c < class || c == class && cost < least {
			best, class, least = m, c, cost
		}
	}
	return best
}
