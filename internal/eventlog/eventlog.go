// Package eventlog writes the structured log of a process: JSON lines, one for
// each decision that affects a request or changes the state that the process
// acts on.
//
// The volume is bounded: each kind of event has its own rate limit, so that many
// events of one kind don't displace the others. Events above the limit are
// counted, not formatted. Writing never blocks: lines are buffered in a ring of
// fixed size, and when the output is too slow the oldest lines are dropped and
// counted. Of a line longer than 16 KiB only the beginning is written.
//
// # Usage
//
//	log := eventlog.New(eventlog.Options{Output: os.Stdout, Host: "entry-1", Registry: reg})
//	defer log.Close()
//	log.Event("request_refused").Str("request", id).Dur("age_ms", age).Msg("the queue is full")
//
// Event returns nil for an event above the rate limit; the methods of a nil event
// do nothing.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

const (
	// defaultEventsPerSecond is the rate limit of each kind. With about 25 kinds
	// and 300 bytes a line it bounds a process to 150 KB a second.
	defaultEventsPerSecond = 20
	// defaultBurstEvents allows for all requests that one failed backend server
	// affects.
	defaultBurstEvents = 60
	// bufferLines is the number of lines that are buffered for the output.
	bufferLines = 2000
	// samplesPerSecond is the rate limit of each kind that is logged by Sample.
	samplesPerSecond = 1
	// dropReportInterval is the shortest time between two reports of dropped
	// lines.
	dropReportInterval = 5 * time.Second
)

// Options configures a Log.
type Options struct {
	Output   io.Writer
	Host     string
	Level    zerolog.Level
	Registry metrics.Registry // nil for none
}

// Log is the log of a process. Methods are safe for concurrent use; a nil Log
// writes nothing.
type Log struct {
	logger  zerolog.Logger
	writer  diode.Writer
	dropped metrics.Counter

	mu         sync.Mutex
	limiters   map[string]*rate.Limiter
	unreported int64 // lines dropped since the last report
	lastReport time.Time
}

// New returns a log that writes to opts.Output in the background.
func New(opts Options) *Log {
	l := &Log{limiters: make(map[string]*rate.Limiter), dropped: metrics.NewCounter(), lastReport: time.Now()}
	if opts.Registry != nil {
		_ = opts.Registry.Register("log.lines_dropped", l.dropped) // fails for a second log with this registry, whose counter is then not exported
	}
	l.writer = diode.NewWriter(opts.Output, bufferLines, 0, func(missed int) { l.countDropped(int64(missed)) })
	l.logger = zerolog.New(newLineLimiter(l.writer, opts.Host)).Level(opts.Level).With().Timestamp().Str("host", opts.Host).Logger()
	return l
}

// Logger returns the underlying logger without rate limits, for parts that log
// rarely.
func (l *Log) Logger() zerolog.Logger {
	if l == nil {
		return zerolog.Nop()
	}
	return l.logger
}

// Event starts a line for an event of kind, or returns nil if kind is above its
// rate limit.
func (l *Log) Event(kind string) *zerolog.Event {
	return l.event(kind, defaultEventsPerSecond, defaultBurstEvents)
}

// Sample starts a line for a successful request, of which only a sample is
// logged. Events above the rate limit are not counted as dropped.
func (l *Log) Sample(kind string) *zerolog.Event {
	return l.event(kind, samplesPerSecond, samplesPerSecond)
}

func (l *Log) event(kind string, perSecond rate.Limit, burst int) *zerolog.Event {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	limiter := l.limiters[kind]
	if limiter == nil {
		limiter = rate.NewLimiter(perSecond, burst)
		l.limiters[kind] = limiter
	}
	l.mu.Unlock()
	if !limiter.Allow() {
		if perSecond != samplesPerSecond {
			l.countDropped(1)
		}
		return nil
	}
	return l.logger.Info().Str("event", kind)
}

// countDropped counts n lines that were not written. It logs their number at most
// once in dropReportInterval.
func (l *Log) countDropped(n int64) {
	l.dropped.Inc(n)
	l.mu.Lock()
	l.unreported += n
	now := time.Now()
	if now.Sub(l.lastReport) < dropReportInterval {
		l.mu.Unlock()
		return
	}
	count := l.unreported
	l.unreported, l.lastReport = 0, now
	l.mu.Unlock()
	l.logger.Warn().Str("event", "log_dropped").Int64("lines", count).Msg("log lines were dropped: rate limit exceeded or buffer full")
}

// Close writes the buffered lines and stops the log.
func (l *Log) Close() error {
	if l == nil {
		return nil
	}
	return l.writer.Close()
}
