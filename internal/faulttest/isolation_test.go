package faulttest_test

import (
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/matryer/is"
)

const (
	// noControlLimit is the documented limit for the time after which an entry
	// without control stops accepting new work: 3 s plus the TTL of a lease.
	noControlLimit = 3*time.Second + 1200*time.Millisecond
	// ownerChangeLimit is the limit for the time until the leases of a lost
	// host have a new owner: the TTL with clock drift, and the change of the
	// owner.
	ownerChangeLimit = noControlLimit
)

// TestEntryWithoutControlStops guards against an entry that is cut off from
// control and keeps working with an outdated configuration, and against its
// isolation stopping the other entries. A cut of either direction alone has
// the same effect as a cut of both.
func TestEntryWithoutControlStops(t *testing.T) {
	is := is.New(t)
	ctx, in := startInstallation(t, "")
	for _, tc := range []struct {
		name                         string
		cutToControl, cutFromControl bool
	}{{"both ways", true, true}, {"answers lost", false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			is.NoErr(in.WaitServing(ctx))
			load := startLoad(ctx, t, in, tc.name, mixedKinds...)
			time.Sleep(time.Second)
			const cutEntry = 2
			cutAt := load.Now()
			for i := range 3 {
				if tc.cutToControl {
					in.Network.Cut(faulttest.EntryID(cutEntry), faulttest.ControlID(i))
				}
				if tc.cutFromControl {
					in.Network.Cut(faulttest.ControlID(i), faulttest.EntryID(cutEntry))
				}
			}
			time.Sleep(noControlLimit + 2*time.Second)
			healedAt := load.Now()
			in.Network.Heal()
			is.NoErr(in.WaitServing(ctx))
			time.Sleep(time.Second)
			ops := stopLoad(ctx, t, in, load, in.Repair)
			afterLimit := func(op faulttest.Op) bool { return op.Start > cutAt+noControlLimit && op.End < healedAt }
			expectNoOps(t, "new work was accepted after the limit", ops, func(op faulttest.Op) bool {
				return afterLimit(op) && sessionEntry(op) == cutEntry && op.Outcome != faulttest.NotRun
			})
			expectNoOps(t, "work at the other entries failed", ops, func(op faulttest.Op) bool {
				return op.Start > cutAt+ownerChangeLimit && op.End < healedAt && sessionEntry(op) != cutEntry && op.Outcome != faulttest.Acked
			})
			var lastWork time.Duration
			refused, elsewhere, afterHeal := 0, 0, 0
			for _, op := range ops {
				isCut := sessionEntry(op) == cutEntry
				switch {
				case isCut && op.Outcome == faulttest.Acked && op.Start > cutAt && op.End < healedAt:
					lastWork = max(lastWork, op.Start-cutAt)
				case isCut && afterLimit(op):
					refused++
				case isCut && op.Outcome == faulttest.Acked && op.Start > healedAt:
					afterHeal++
				case !isCut && afterLimit(op):
					elsewhere++
				}
			}
			is.True(refused > 0 && elsewhere > 0 && afterHeal > 0)
			gap, _ := faulttest.LongestGap(ops)
			t.Logf("last work of the entry began %s after the cut; %d refused there and %d done elsewhere after the limit; longest gap in writes %s; %v",
				lastWork, refused, elsewhere, gap, outcomeCounts(ops))
		})
	}
}
