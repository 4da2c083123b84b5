package eventlog_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// output collects the lines of a log.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.b.String()), "\n")
}

// blockedWriter is an output whose Write never returns.
type blockedWriter struct{ entered chan struct{} }

func (s *blockedWriter) Write([]byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	select {}
}

// TestBlockedOutputDoesNotBlockEvents guards against a process that waits for the
// output of its log.
func TestBlockedOutputDoesNotBlockEvents(t *testing.T) {
	is := is.New(t)
	log := eventlog.New(eventlog.Options{Output: &blockedWriter{make(chan struct{}, 1)}, Host: "h"})
	logger := log.Logger()
	start := time.Now()
	for range 100_000 {
		log.Event("statement_failed").Str("request", "x").Msg("")
		logger.Info().Msg("without a rate limit")
	}
	is.True(time.Since(start) < 5*time.Second)
}

// TestRateLimitOfEachKind guards against many events of one kind that fill the
// log or displace other kinds, and against dropped lines that are not counted.
func TestRateLimitOfEachKind(t *testing.T) {
	is := is.New(t)
	out, reg := new(output), metrics.NewRegistry()
	log := eventlog.New(eventlog.Options{Output: out, Host: "h", Registry: reg})
	for range 1000 {
		log.Event("flood").Str("request", "x").Msg("")
	}
	log.Event("rare").Str("request", "y").Msg("")
	is.NoErr(log.Close())
	kinds := make(map[string]int)
	for _, line := range out.lines() {
		var m map[string]any
		is.NoErr(json.Unmarshal([]byte(line), &m))
		kinds[m["event"].(string)]++
	}
	is.True(kinds["flood"] >= 60 && kinds["flood"] < 100)
	is.Equal(kinds["rare"], 1)
	is.Equal(metrics.GetOrRegisterCounter("log.lines_dropped", reg).Count(), int64(1000-kinds["flood"]))
}
