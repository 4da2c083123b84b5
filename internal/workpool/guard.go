package workpool

import (
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Guard calls f and reports whether it returned. A panic of f is logged with its
// stack, and ends only the work of the caller: one connection or one request
// instead of the process. f must not hold a lock that it does not release by
// defer.
func Guard(logger zerolog.Logger, f func()) (returned bool) {
	defer func() {
		if returned {
			return
		}
		logger.Error().Str("event", "panic").Interface("panic", recover()).Bytes("stack", debug.Stack()).
			Msg("recovered from a panic; ending the work in progress")
	}()
	f()
	return true
}
