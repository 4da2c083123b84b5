package eventlog

import (
	"io"

	"github.com/rs/zerolog"
)

const (
	// maxLineBytes limits a line: names in it come from callers and documents, and
	// bufferLines lines are kept in memory.
	maxLineBytes = 16 << 10
	// lineHeadBytes is the length of the part of a longer line that is kept.
	lineHeadBytes = 4 << 10
)

// lineLimiter writes lines, and in place of a line that is too long an event with its
// beginning.
type lineLimiter struct {
	w      io.Writer
	logger zerolog.Logger // writes to w
}

func newLineLimiter(w io.Writer, host string) *lineLimiter {
	return &lineLimiter{w: w, logger: zerolog.New(w).With().Timestamp().Str("host", host).Logger()}
}

func (l *lineLimiter) Write(p []byte) (int, error) {
	if len(p) <= maxLineBytes {
		return l.w.Write(p)
	}
	l.logger.Warn().Str("event", "log_line_cut").Int("bytes", len(p)).Bytes("head", p[:lineHeadBytes]).Msg("a line was too long")
	return len(p), nil
}
