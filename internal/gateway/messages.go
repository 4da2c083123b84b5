package gateway

import (
	"errors"

	"github.com/arbutusring/arbutusring/internal/correlation"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
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

// recordSkipped logs and counts copies of earlier answers of a server that were skipped.
func (g *Gateway) recordSkipped(s directoryrpc.Server, src statement.Source) {
	g.metrics.answersSkipped.Inc(int64(src.Skipped))
	g.opts.Events.Event("answer_repeated").Str("server", s.ID).Str("connection", src.Connection).Uint64("answer", src.Number).
		Int("copies", src.Skipped).Msg("a backend server repeated an earlier answer")
}

// unattributed reports whether err says that an answer could not be attributed. The
// server has answered then.
func unattributed(err error) bool {
	var e *correlation.Error
	return errors.As(err, &e)
}
