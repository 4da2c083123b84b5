package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxRecorded is the greatest duration that the histogram distinguishes.
const maxRecorded = 5 * time.Minute

// keptViolations bounds the violations that are described in the report.
const keptViolations = 10

// tally collects the results of one rank. Methods are safe for concurrent
// use.
type tally struct {
	mu        sync.Mutex
	rank      Rank
	report    RankReport
	histogram *hdrhistogram.Histogram // microseconds
	lastWrite time.Time               // last acknowledged write
}

func newTally(r Rank) *tally {
	return &tally{
		rank:      r,
		report:    RankReport{Rank: r.Name, Refused: make(map[string]int64), Failed: make(map[string]int64)},
		histogram: hdrhistogram.New(1, maxRecorded.Microseconds(), 3),
	}
}

// record adds the result of one operation that took d until now.
func (t *tally) record(write bool, v verdict, code string, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Attempts++
	if write {
		t.report.Writes++
	}
	switch v {
	case verdictOK:
		t.report.OK++
		if d <= t.rank.OnTime {
			t.report.OnTime++
		}
		_ = t.histogram.RecordValue(max(1, min(d, maxRecorded).Microseconds())) // in range by construction
		if write {
			if !t.lastWrite.IsZero() {
				t.report.WriteGap = max(t.report.WriteGap, now.Sub(t.lastWrite))
			}
			t.lastWrite = now
		}
	case verdictRefused:
		t.report.Refused[code]++
	case verdictFailed:
		t.report.Failed[code]++
	case verdictUnknown:
		t.report.Unknown++
	}
}

// violation adds a failed check.
func (t *tally) violation(v Violation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v.Rank = t.rank.Name
	t.report.Violations++
	if len(t.report.Examples) < keptViolations {
		t.report.Examples = append(t.report.Examples, v)
	}
}

// moved counts a planned change of the DSN.
func (t *tally) moved() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Moves++
}

// result returns the report of the rank.
func (t *tally) result() RankReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.P50 = time.Duration(t.histogram.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(t.histogram.ValueAtQuantile(99)) * time.Microsecond
	r.Max = time.Duration(t.histogram.Max()) * time.Microsecond
	return r
}
