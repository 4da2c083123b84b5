package control_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// traffic writes to the primary of the group "orders" through its owner,
// replicates, and checks the invariants every 4 ms of simulated time.
type traffic struct {
	w     *world
	acked logpos.Position // greatest acknowledged position
	count int             // acknowledged writes
	last  time.Time       // of the last acknowledged write
	gap   time.Duration   // longest time between two of them
	// violations are kept and not reported at once, because some tests expect
	// them with a mechanism switched off.
	violations []string
	named      uint64 // last term whose primary was checked
}

func (w *world) startTraffic() *traffic {
	tr := &traffic{w: w, last: time.Now()}
	ctx, cancel := context.WithCancel(w.t.Context())
	w.endTraffic = cancel
	w.running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(4 * time.Millisecond)
			v := w.view()
			w.mu.Lock()
			tr.check(v)
			tr.write(v)
			w.mu.Unlock()
		}
	})
	return tr
}

func (tr *traffic) violate(format string, args ...any) {
	if len(tr.violations) < 5 {
		tr.violations = append(tr.violations, fmt.Sprintf(format, args...))
	}
}

// check is called with w.mu held.
func (tr *traffic) check(v *controlView) {
	acting := make(map[string][]string)
	roles := make(map[string][]string)
	for _, h := range tr.w.hosts {
		for id, primary := range h.acts() {
			acting[id] = append(acting[id], h.info.ID)
			if primary {
				group := v.Servers[id].Group
				roles[group] = append(roles[group], h.info.ID+" for "+id)
			}
		}
	}
	for id, hosts := range acting {
		if len(hosts) > 1 {
			tr.violate("%s has the owners %v", id, hosts)
		}
	}
	for group, owners := range roles {
		if len(owners) > 1 {
			tr.violate("%s has the primary owners %v", group, owners)
		}
	}
	g := v.Groups["orders"]
	if g.Phase == controlrpc.PhaseSteady && g.Term != tr.named {
		tr.named = g.Term
		for _, owner := range roles["orders"] {
			if !strings.HasSuffix(owner, " for "+g.Primary) {
				tr.violate("%s was named while %s still acted", g.Primary, owner)
			}
		}
		if s := tr.w.servers["at-"+g.Primary]; !s.from.Covers(tr.acked) {
			tr.violate("%s was promoted from %v without %v", g.Primary, s.from, tr.acked)
		}
	}
}

// write makes one write at every server that accepts writes and whose owner
// acts as the owner of a primary. It is called with w.mu held.
func (tr *traffic) write(v *controlView) {
	for _, h := range tr.w.hosts {
		for id, primary := range h.acts() {
			s := tr.w.servers["at-"+id]
			if !primary || h.blind || s.down || !s.primary || v.Servers[id].Group != "orders" {
				continue
			}
			members := v.Groups["orders"].Members
			s.received = logpos.Position{Term: s.term, LSN: s.received.LSN + 1}
			copies := 1
			for _, r := range tr.w.servers {
				if r == s || r.follows != s.address || r.term != s.term || r.down || tr.w.lag[r.id] {
					continue
				}
				r.received = s.received
				if slices.Contains(members, r.id) {
					copies++
				}
			}
			if copies > len(members)/2 {
				tr.acked = tr.acked.Max(s.received)
				tr.count++
				tr.gap, tr.last = max(tr.gap, time.Since(tr.last)), time.Now()
			}
		}
	}
}

// progress waits until new writes are acknowledged.
func (tr *traffic) progress(limit time.Duration) {
	tr.w.t.Helper()
	tr.w.mu.Lock()
	start := tr.count
	tr.w.mu.Unlock()
	tr.w.eventually(limit, "writes are acknowledged", func() bool {
		tr.w.mu.Lock()
		defer tr.w.mu.Unlock()
		return tr.count > start+5
	})
}

// longestGap returns the longest time without an acknowledged write since the
// last call.
func (tr *traffic) longestGap() time.Duration {
	tr.w.mu.Lock()
	defer tr.w.mu.Unlock()
	gap := tr.gap
	tr.gap = 0
	return gap
}
