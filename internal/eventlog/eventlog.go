// Package eventlog writes the structured log of a process: JSON lines, one for
// each decision that touches a request or changes what the process believes.
//
// The volume is bounded: each kind of event has its own rate, so that a flood
// of one kind leaves room for the others. Events above the rate are counted,
// not formatted. Writing never blocks: lines wait in a buffer of fixed size,
// and when the reader is slower than the writer the oldest are dropped and
// counted.
//
// # Usage
//
//	log := eventlog.New(eventlog.Options{Output: os.Stdout, Host: "entry-1", Registry: reg})
//	defer log.Close()
//	log.Event("request_refused").Str("request", id).Dur("age_ms", age).Msg("the queue is full")
//
// Event returns nil for an event above the rate; the methods of a nil event do
// nothing.
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
	// defaultRate is the events of one kind in a second. With about 25 kinds
	// of 300 bytes it bounds a process to 150 KB a second.
	defaultRate = 20
	// defaultBurst covers the requests that one failed backend server affects.
	defaultBurst = 60
	// bufferLines is the number of lines that wait for the reader.
	bufferLines = 2000
	// sampleRate is the successful requests logged in a second.
	sampleRate = 1
	// dropReport is the pause between reports of dropped lines.
	dropReport = 5 * time.Second
)

// Options configure a Log.
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

	mu       sync.Mutex
	limits   map[string]*rate.Limiter
	pending  int64 // dropped since the last report
	reported time.Time
}

// New returns a log that writes to opts.Output in the background.
func New(opts Options) *Log {
	l := &Log{limits: make(map[string]*rate.Limiter), dropped: metrics.NewCounter(), reported: time.Now()}
	if opts.Registry != nil {
		_ = opts.Registry.Register("log.lines_dropped", l.dropped) // a second log of a process shares nothing
	}
	l.writer = diode.NewWriter(opts.Output, bufferLines, 0, func(missed int) { l.drop(int64(missed)) })
	l.logger = zerolog.New(l.writer).Level(opts.Level).With().Timestamp().Str("host", opts.Host).Logger()
	return l
}

// Logger returns the logger behind the log, for parts that log rarely.
func (l *Log) Logger() zerolog.Logger {
	if l == nil {
		return zerolog.Nop()
	}
	return l.logger
}

// Event starts a line of that kind, or returns nil if the kind is above its
// rate.
func (l *Log) Event(kind string) *zerolog.Event { return l.event(kind, defaultRate, defaultBurst) }

// Sample starts a line for an ordinary result, of which few are kept.
func (l *Log) Sample(kind string) *zerolog.Event { return l.event(kind, sampleRate, sampleRate) }

func (l *Log) event(kind string, perSecond rate.Limit, burst int) *zerolog.Event {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	lim := l.limits[kind]
	if lim == nil {
		lim = rate.NewLimiter(perSecond, burst)
		l.limits[kind] = lim
	}
	l.mu.Unlock()
	if !lim.Allow() {
		if perSecond != sampleRate {
			l.drop(1)
		}
		return nil
	}
	return l.logger.Info().Str("event", kind)
}

// drop counts lines that were not written and reports their number from time
// to time.
func (l *Log) drop(n int64) {
	l.dropped.Inc(n)
	l.mu.Lock()
	l.pending += n
	now := time.Now()
	if now.Sub(l.reported) < dropReport {
		l.mu.Unlock()
		return
	}
	count := l.pending
	l.pending, l.reported = 0, now
	l.mu.Unlock()
	l.logger.Warn().Str("event", "log_dropped").Int64("lines", count).Msg("lines above the rate or the buffer were dropped")
}

// Close writes what is buffered.
func (l *Log) Close() error {
	if l == nil {
		return nil
	}
	return l.writer.Close()
}
