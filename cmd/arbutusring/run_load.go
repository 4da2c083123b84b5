package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/arbutusring/arbutusring/internal/load"
	"github.com/integrii/flaggy"
)

// loadFlags holds the flags of the load generator.
type loadFlags struct {
	dsns     []string
	ranks    []string
	seed     uint64
	count    int64
	duration time.Duration
	csvFile  string
}

func defaultLoadFlags() loadFlags {
	return loadFlags{seed: 1, duration: 5 * time.Second}
}

func (c *commandLine) addLoad(sub *flaggy.Subcommand) {
	sub.StringSlice(&c.load.dsns, "d", "dsn", "DSN of an entry host; may be repeated; default that of dev")
	sub.StringSlice(&c.load.ranks, "r", "rank", "NAME:SESSIONS:READ_SHARE[:MAX_STALENESS[:RATE]]; may be repeated; default normal:8:0.8")
	sub.UInt64(&c.load.seed, "", "seed", "seed of the operations")
	sub.Int64(&c.load.count, "n", "count", "limit of operations; 0 for none")
	sub.Duration(&c.load.duration, "", "duration", "longest duration")
	sub.String(&c.load.csvFile, "", "csv", "file for the report as CSV")
	c.addOutput(sub)
}

// runLoad runs the load and prints the report. It returns an error if
// read-your-writes was violated.
func (c *commandLine) runLoad(ctx context.Context) error {
	opts := load.Options{DSNs: c.load.dsns, Seed: c.load.seed, Count: c.load.count, Duration: c.load.duration}
	if len(opts.DSNs) == 0 {
		for _, a := range defaultDevFlags().callers {
			opts.DSNs = append(opts.DSNs, "postgres://caller@"+a+"/dev?sslmode=disable")
		}
	}
	rankTexts := c.load.ranks
	if len(rankTexts) == 0 {
		rankTexts = []string{"normal:8:0.8"}
	}
	for _, text := range rankTexts {
		rank, err := parseRank(text)
		if err != nil {
			return usageError{err}
		}
		opts.Ranks = append(opts.Ranks, rank)
	}
	report, err := load.Run(ctx, opts)
	if err != nil {
		return err
	}
	if err := c.writeReport(report); err != nil {
		return err
	}
	if n := report.Violations(); n > 0 {
		return fmt.Errorf("read-your-writes was violated %d times", n)
	}
	return nil
}

func (c *commandLine) writeReport(report load.Report) error {
	if c.load.csvFile != "" {
		f, err := os.Create(c.load.csvFile)
		if err != nil {
			return err
		}
		if err := errors.Join(report.WriteCSV(f), f.Close()); err != nil {
			return err
		}
	}
	if c.output == outputJSON {
		return c.printJSON(report)
	}
	return report.WriteText(c.stdout)
}

// parseRank parses NAME:SESSIONS:READ_SHARE[:MAX_STALENESS[:RATE]].
func parseRank(text string) (load.Rank, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 3 || len(parts) > 5 {
		return load.Rank{}, fmt.Errorf("rank %q is not of the form NAME:SESSIONS:READ_SHARE[:MAX_STALENESS[:RATE]]", text)
	}
	rank := load.Rank{Name: parts[0], MoveEvery: 20}
	if _, err := fmt.Sscan(parts[1], &rank.Sessions); err != nil {
		return load.Rank{}, fmt.Errorf("sessions of rank %q: %w", text, err)
	}
	if _, err := fmt.Sscan(parts[2], &rank.ReadShare); err != nil {
		return load.Rank{}, fmt.Errorf("read share of rank %q: %w", text, err)
	}
	if len(parts) > 3 && parts[3] != "" {
		d, err := time.ParseDuration(parts[3])
		if err != nil {
			return load.Rank{}, fmt.Errorf("staleness of rank %q: %w", text, err)
		}
		rank.MaxStaleness = d
	}
	if len(parts) > 4 {
		if _, err := fmt.Sscan(parts[4], &rank.Rate); err != nil {
			return load.Rank{}, fmt.Errorf("rate of rank %q: %w", text, err)
		}
	}
	return rank, nil
}
