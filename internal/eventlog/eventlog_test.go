package eventlog_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
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

// blockedWriter is an output whose Write does not return until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestBlockedOutputDoesNotBlockEvents guards against a process that waits for the
// output of its log. The clock of the bubble advances only while all goroutines
// wait, so it shows every wait, however busy the machine is. The processor time
// is measured apart.
func TestBlockedOutputDoesNotBlockEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{make(chan struct{})}
		log := eventlog.New(eventlog.Options{Output: w, Host: "h"})
		logger := log.Logger()
		start, startCPU := time.Now(), processorTime(t)
		for range 100_000 {
			log.Event("statement_failed").Str("request", "x").Msg("")
			logger.Info().Msg("without a rate limit")
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.True(processorTime(t)-startCPU < 5*time.Second)
		close(w.release)
		is.NoErr(log.Close())
	})
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
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

// TestLongLine guards against memory and output that grow with the length of a name
// that a caller or a configuration chose.
func TestLongLine(t *testing.T) {
	is := is.New(t)
	out := new(output)
	log := eventlog.New(eventlog.Options{Output: out, Host: "h"})
	log.Event("statement_failed").Str("request", "r1").Str("database", strings.Repeat("\"x", 500_000)).Msg("")
	log.Event("statement_failed").Str("request", "r2").Str("database", strings.Repeat("x", 10_000)).Msg("")
	is.NoErr(log.Close())
	lines := out.lines()
	is.Equal(len(lines), 2)
	var cut struct {
		Event, Host, Head string
		Bytes             int
	}
	is.NoErr(json.Unmarshal([]byte(lines[0]), &cut))
	is.Equal(cut.Event, "log_line_cut")
	is.Equal(cut.Host, "h")
	is.True(cut.Bytes > 1_000_000)
	is.True(strings.Contains(cut.Head, `"request":"r1"`))
	is.True(len(lines[0]) < 16<<10)
	is.True(strings.Contains(lines[1], `"request":"r2"`) && len(lines[1]) > 10_000)
}
