package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed    uint64
	Elapsed time.Duration
	Ranks   []RankReport // in the order of Options.Ranks
}

// RankReport is the result of one rank. Percentiles and the maximum are those
// of the latency of successful operations.
type RankReport struct {
	Rank       string
	Attempts   int64
	Writes     int64 // part of Attempts
	OK         int64
	Refused    map[string]int64 // not run, by SQLSTATE; "client" if the client failed before it sent anything
	Failed     map[string]int64 // error of the statement itself, by SQLSTATE
	Unknown    int64
	OnTime     int64         // succeeded within Rank.OnTime
	P50        time.Duration // zero if nothing succeeded
	P99        time.Duration
	Max        time.Duration
	WriteGap   time.Duration // longest time between two acknowledged writes of the rank
	Moves      int64
	Violations int64
	Examples   []Violation // the first violations
}

// OnTimeShare returns the share of attempts that succeeded on time, or 0 if
// there were none.
func (r RankReport) OnTimeShare() float64 {
	if r.Attempts == 0 {
		return 0
	}
	return float64(r.OnTime) / float64(r.Attempts)
}

// Violations returns the number of violations over all ranks.
func (r Report) Violations() int64 {
	var n int64
	for _, rank := range r.Ranks {
		n += rank.Violations
	}
	return n
}

func total(counts map[string]int64) int64 {
	var n int64
	for _, c := range counts {
		n += c
	}
	return n
}

// formatCounts formats counts by SQLSTATE, for example "53000:12 57P03:1".
func formatCounts(counts map[string]int64) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", code, counts[code]))
	}
	return strings.Join(parts, " ")
}

// WriteText writes the report as a table for people, followed by the counts by
// SQLSTATE and examples of violations.
func (r Report) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "seed %d, %.1f s, %d violations\n", r.Seed, r.Elapsed.Seconds(), r.Violations()); err != nil {
		return Error.Wrap(err)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "rank\tattempts\tok\tnot_run\tfailed\tunknown\tp50\tp99\tmax\ton time\twrite gap\tmoves\tviolations\t")
	for _, rank := range r.Ranks {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%.2f%%\t%v\t%d\t%d\t\n", rank.Rank, rank.Attempts, rank.OK, total(rank.Refused),
			total(rank.Failed), rank.Unknown, roundDuration(rank.P50), roundDuration(rank.P99), roundDuration(rank.Max), 100*rank.OnTimeShare(), roundDuration(rank.WriteGap), rank.Moves, rank.Violations)
	}
	if err := tw.Flush(); err != nil {
		return Error.Wrap(err)
	}
	for _, rank := range r.Ranks {
		for _, line := range [][2]string{{"not_run", formatCounts(rank.Refused)}, {"failed", formatCounts(rank.Failed)}} {
			if line[1] == "" {
				continue
			}
			if _, err := fmt.Fprintf(w, "%s: %s by SQLSTATE: %s\n", rank.Rank, line[0], line[1]); err != nil {
				return Error.Wrap(err)
			}
		}
		for _, v := range rank.Examples {
			if _, err := fmt.Fprintf(w, "%s: violation of %s, key %s: %s\n", rank.Rank, v.Kind, v.Key, v.Detail); err != nil {
				return Error.Wrap(err)
			}
		}
	}
	return nil
}

func roundDuration(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// WriteCSV writes the report as CSV: a header line and one line for each rank.
// Durations are in microseconds.
func (r Report) WriteCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	rows := [][]string{{
		"seed", "elapsed_us", "rank", "attempts", "writes", "ok", "not_run", "not_run_by_sqlstate", "failed", "failed_by_sqlstate",
		"unknown", "p50_us", "p99_us", "max_us", "on_time_share", "write_gap_us", "moves", "violations",
	}}
	number := func(n int64) string { return strconv.FormatInt(n, 10) }
	for _, rank := range r.Ranks {
		rows = append(rows, []string{
			strconv.FormatUint(r.Seed, 10), number(r.Elapsed.Microseconds()), rank.Rank, number(rank.Attempts), number(rank.Writes), number(rank.OK),
			number(total(rank.Refused)), formatCounts(rank.Refused), number(total(rank.Failed)), formatCounts(rank.Failed), number(rank.Unknown),
			number(rank.P50.Microseconds()), number(rank.P99.Microseconds()), number(rank.Max.Microseconds()),
			strconv.FormatFloat(rank.OnTimeShare(), 'f', 6, 64), number(rank.WriteGap.Microseconds()), number(rank.Moves), number(rank.Violations),
		})
	}
	return Error.Wrap(cw.WriteAll(rows))
}
