package directory

import (
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/rs/zerolog"
)

// event starts a log event with the fields of the switchover and its group.
func (w *switchover) event(kind string, g directoryrpc.Group) *zerolog.Event {
	return w.leadership.opts.Events.Event(kind).Str("group", w.group).Str("cause", string(w.cause)).
		Uint64("generation", g.Generation).Str("primary", g.Primary).Str("target", g.Target)
}
