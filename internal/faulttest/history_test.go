package faulttest_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/arbutusring/arbutusring/internal/testlog"
)

var (
	seeds     = flag.Int("faulttest.seeds", 2, "number of seeds")
	firstSeed = flag.Uint64("faulttest.seed", 1, "first seed")
	ops       = flag.Int("faulttest.ops", 400, "operations for each seed")
)

// TestHistory guards against violations of the guarantees listed in package
// faulttest under all of its faults, alone and in pairs.
func TestHistory(t *testing.T) {
	total := 0
	logs := testlog.New(t)
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		res, err := faulttest.Run(ctx, faulttest.RunOptions{
			Installation: faulttest.Options{
				Folder:  t.TempDir(),
				Logger:  logs.Logger(fmt.Sprint("seed-", seed)),
				Standin: standin.Options{ReplicationDelay: 5 * time.Millisecond, ServiceTime: time.Millisecond, LockTimeout: time.Second},
			},
			Seed: seed, Sessions: 8, Ops: *ops, Keys: 20,
		})
		cancel()
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
			continue
		}
		total += len(res.Ops)
		t.Logf("seed %d: %d operations, %v, faults %v", seed, len(res.Ops), res.Counts, res.Faults)
		for n, f := range res.Findings {
			if n < 10 {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
	}
	t.Logf("%d operations checked over %d seeds", total, *seeds)
}
