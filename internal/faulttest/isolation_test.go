package faulttest_test

import (
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/matryer/is"
)

const (
	// staleLimit is the stated time after which an entry without control
	// stops taking new work: 3 s plus the ttl of a lease.
	staleLimit = 3*time.Second + 1200*time.Millisecond
	// settleLimit is the time until the leases of a lost host have a new
	// owner: the ttl with drift, and the change of the owner.
	settleLimit = staleLimit
)

// TestEntryWithoutControlStops guards against an entry that goes on with an
// outdated configuration, and against its isolation stopping the others. Each
// direction of the cut alone has the same effect as both.
func TestEntryWithoutControlStops(t *testing.T) {
	is := is.New(t)
	ctx, in := start(t, "")
	for _, tc := range []struct {
		name         string
		toward, away bool
	}{{"both ways", true, true}, {"answers lost", false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			is.NoErr(in.WaitServing(ctx))
			load := startLoad(ctx, t, in, tc.name, mixed...)
			time.Sleep(time.Second)
			const cut = 2
			at := load.Now()
			for i := range 3 {
				if tc.toward {
					in.Network.Cut(faulttest.EntryID(cut), faulttest.ControlID(i))
				}
				if tc.away {
					in.Network.Cut(faulttest.ControlID(i), faulttest.EntryID(cut))
				}
			}
			time.Sleep(staleLimit + 2*time.Second)
			healed := load.Now()
			in.Network.Heal()
			is.NoErr(in.WaitServing(ctx))
			time.Sleep(time.Second)
			ops := stopLoad(ctx, t, in, load, in.Repair)
			window := func(op faulttest.Op) bool { return op.Start > at+staleLimit && op.End < healed }
			reportOps(t, "new work after the limit", ops, func(op faulttest.Op) bool {
				return window(op) && sessionEntry(op) == cut && op.Outcome != faulttest.NotRun
			})
			reportOps(t, "work elsewhere", ops, func(op faulttest.Op) bool {
				return op.Start > at+settleLimit && op.End < healed && sessionEntry(op) != cut && op.Outcome != faulttest.Acked
			})
			var last time.Duration
			refused, elsewhere, after := 0, 0, 0
			for _, op := range ops {
				isCut := sessionEntry(op) == cut
				switch {
				case isCut && op.Outcome == faulttest.Acked && op.Start > at && op.End < healed:
					last = max(last, op.Start-at)
				case isCut && window(op):
					refused++
				case isCut && op.Outcome == faulttest.Acked && op.Start > healed:
					after++
				case !isCut && window(op):
					elsewhere++
				}
			}
			is.True(refused > 0 && elsewhere > 0 && after > 0)
			gap, _ := faulttest.LongestGap(ops)
			t.Logf("last work of the entry began %s after the cut; %d refused there and %d done elsewhere after the limit; longest gap in writes %s; %v",
				last, refused, elsewhere, gap, counts(ops))
		})
	}
}
