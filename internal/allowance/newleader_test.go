package allowance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

// TestNewLeader guards against a new leader that fills its buckets while a host still has
// tokens of the earlier one: both would be used in one window.
func TestNewLeader(t *testing.T) {
	limit := allowance.Limit{Rate: 100, Burst: 10} // capacity 56, stock limit 47
	for _, tc := range []struct {
		earlier allowance.Earlier
		saved   int // tokens at a host that does not name them
	}{{allowance.EarlierSettled, 47}, {allowance.EarlierUnsettled, 56}} {
		t.Run(fmt.Sprint(tc.earlier), func(t *testing.T) {
			now := time.Unix(1, 0)
			l := allowance.NewLedger(allowance.LedgerOptions{ID: 2, Params: platform, TTL: testTTL, Hold: testHold, Earlier: tc.earlier, Now: now})
			l.SetLimits(now, map[string]allowance.Limit{"c": limit})
			held, used, sequence := 0, uint64(0), uint64(0)
			call := func() {
				sequence++
				reply := l.Process(now, &directoryrpc.AllowanceArgs{
					Host: directoryrpc.Host{ID: "h"}, Sequence: sequence, Ledger: 2, Full: sequence == 1,
					Customers: []directoryrpc.AllowanceUse{{Customer: "c", Used: used, Held: held, Waiting: 100}},
				})
				for _, g := range reply.Customers {
					held += g.Tokens
				}
			}
			advance := func(d time.Duration, use bool) {
				for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
					call()
					if use {
						used, held = used+uint64(held), 0
					}
				}
			}
			advance(testTTL-20*time.Millisecond, false) // the host saves what it gets
			sent := tc.saved                            // the other host uses its tokens now
			advance(platform.Window, true)
			if sent += int(used); float64(sent) > platform.Bound(limit) {
				t.Errorf("%d operations in one window, the bound is %.0f", sent, platform.Bound(limit))
			}
			t.Logf("%d operations in one window, the bound is %.0f", sent, platform.Bound(limit))
		})
	}
}
