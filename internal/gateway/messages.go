package gateway

import (
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/rs/zerolog"
)

// RecordRefusedMessage logs and counts a message of a caller that is no statement. Its
// text is not logged, because it may contain a key.
func (g *Gateway) RecordRefusedMessage(origin statement.Origin, reason string) {
	g.metrics.messagesRefused.Inc(1)
	withOrigin(g.opts.Events.Event("message_refused"), origin).Str("reason", reason).Msg("a message of a caller is malformed")
}

// withOrigin adds where a message began and ended in the input of its caller.
func withOrigin(e *zerolog.Event, origin statement.Origin) *zerolog.Event {
	if origin.Caller == "" {
		return e
	}
	return e.Str("caller", origin.Caller).Int64("begin", origin.Begin).Int64("end", origin.End)
}
