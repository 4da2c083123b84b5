package directory

import (
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/rs/zerolog"
)

// event starts a log event with the fields of the switchover and its group.
func (sw *switchover) event(kind string, g directoryrpc.Group) *zerolog.Event {
	return sw.leadership.opts.Events.Event(kind).Str("group", sw.group).Str("cause", string(sw.cause)).
		Uint64("generation", g.Generation).Str("primary", g.Primary).Str("target", g.Target)
}
