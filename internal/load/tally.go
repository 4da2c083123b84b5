package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxRecordedDuration is the greatest latency that the histogram distinguishes;
// longer ones are recorded as this.
const maxRecordedDuration = 5 * time.Minute

// maxExamples bounds the violations of each rank that the report describes.
const maxExamples = 10

// tally collects the results of one rank. It is safe for concurrent use.
type tally struct {
	mu        sync.Mutex
	rank      Rank
	report    RankReport
	histogram *hdrhistogram.Histogram // latency in microseconds
	lastWrite time.Time               // when the last write was acknowledged
}

func newTally(r Rank) *tally {
	return &tally{
		rank:      r,
		report:    RankReport{Rank: r.Name, Refused: make(map[string]int64), Failed: make(map[string]int64)},
		histogram: hdrhistogram.New(1, maxRecordedDuration.Microseconds(), 3),
	}
}

// record adds the result of one operation, which ended at now with the given
// latency.
func (t *tally) record(write bool, result opResult, code string, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Attempts++
	if write {
		t.report.Writes++
	}
	switch result {
	case opOK:
		t.report.OK++
		if latency <= t.rank.OnTime {
			t.report.OnTime++
		}
		_ = t.histogram.RecordValue(max(1, min(latency, maxRecordedDuration).Microseconds())) // clamped to the range, so it can't fail
		if write {
			if !t.lastWrite.IsZero() {
				t.report.WriteGap = max(t.report.WriteGap, now.Sub(t.lastWrite))
			}
			t.lastWrite = now
		}
	case opRefused:
		t.report.Refused[code]++
	case opFailed:
		t.report.Failed[code]++
	case opUnknown:
		t.report.Unknown++
	}
}

// addViolation counts a violation and keeps it as an example if there is room.
func (t *tally) addViolation(v Violation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v.Rank = t.rank.Name
	t.report.Violations++
	if len(t.report.Examples) < maxExamples {
		t.report.Examples = append(t.report.Examples, v)
	}
}

// countMove counts a planned move of a session to the next DSN.
func (t *tally) countMove() {
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
