package directory

import (
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/rs/zerolog"
)

// event starts a log line about the change of a primary.
func (w *switchover) event(kind string, g directoryrpc.Group) *zerolog.Event {
	return w.lead.opts.Events.Event(kind).Str("group", w.name).Str("cause", string(w.cause)).
		Uint64("generation", g.Generation).Str("primary", g.Primary).Str("target", g.Target)
}
