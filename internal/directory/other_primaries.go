package directory

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
)

// otherPrimaryInterval is the minimum pause between two status calls to one server that is
// announced as the primary and isn't the recorded one.
const otherPrimaryInterval = time.Second

// otherPrimaries finds a server of a group that leads a later term than the recorded primary:
// a promotion that was requested before that primary was recorded took effect after it. Such a
// server announces its role, and is asked for its term, because a superseded primary announces
// the role too until it has heard of its successor.
type otherPrimaries struct {
	mu         sync.Mutex
	generation uint64                  // of the group
	calls      map[string]*primaryCall // by server id
	successor  string                  // id of a server that leads a later term; empty if none is known
}

// primaryCall is the latest status call to a server that is announced as the primary.
type primaryCall struct {
	server   directoryrpc.Server // as announced
	begun    time.Time
	running  bool
	outdated bool // the server leads no later term
}

// check returns the id of a server that leads a later term, or "" if none is known. It starts
// the status calls that are due.
func (o *otherPrimaries) check(l *leadership, g directoryrpc.Group, servers []directoryrpc.Server) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, srv := range servers {
		if srv.ID == g.Primary || srv.Role != statement.Primary || !o.calls[srv.ID].due(srv) {
			continue
		}
		if o.calls == nil {
			o.calls = make(map[string]*primaryCall)
		}
		call := &primaryCall{server: srv, begun: time.Now(), running: true}
		o.calls[srv.ID] = call
		l.workers.Go(func() { o.runCall(l, g, call) })
	}
	return o.successor
}

// due reports whether the server is to be asked, or asked again. c is nil before the first call.
func (c *primaryCall) due(srv directoryrpc.Server) bool {
	switch {
	case c == nil:
		return true
	case c.running:
		return false
	case !c.server.Same(srv):
		return true // it was announced anew
	}
	return !c.outdated && time.Since(c.begun) >= otherPrimaryInterval
}

// runCall asks a server for its term.
func (o *otherPrimaries) runCall(l *leadership, g directoryrpc.Group, call *primaryCall) {
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	st, err := l.opts.Members.Status(ctx, call.server)
	recorded := l.recordedTerm(g)
	l.opts.Events.Event("other_primary_checked").Str("group", g.Name).Str("server", call.server.ID).Str("role", string(st.Role)).
		Uint64("term", st.Term).Uint64("recorded_term", recorded).Err(err).Msg("asked another server that is announced as the primary for its term")
	o.mu.Lock()
	defer o.mu.Unlock()
	call.running = false
	switch {
	case err != nil || recorded == 0 || o.generation != g.Generation:
	case leads(st, recorded+1):
		o.successor = call.server.ID
	default:
		call.outdated = true
	}
}

// known returns the server that leads a later term, or "" if none is known.
func (o *otherPrimaries) known() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.successor
}

// reset clears the observations when the generation of the group changes.
func (o *otherPrimaries) reset(generation uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.generation, o.calls, o.successor = generation, nil, ""
}
