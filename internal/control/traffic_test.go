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

// traffic simulates writes and replication of the group "orders" and checks the
// invariants every 4 ms of simulated time.
type traffic struct {
	cl         *cluster
	acked      logpos.Position // greatest acknowledged position
	ackedCount int             // acknowledged writes
	lastAcked  time.Time       // time of the last acknowledged write
	maxGap     time.Duration   // longest time between two acknowledged writes
	// violations are collected and not reported at once, because some tests
	// expect them with a mechanism disabled.
	violations  []string
	checkedTerm uint64 // last term whose primary was checked
}

func (cl *cluster) startTraffic() *traffic {
	tr := &traffic{cl: cl, lastAcked: time.Now()}
	ctx, cancel := context.WithCancel(cl.t.Context())
	cl.stopTraffic = cancel
	cl.running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(4 * time.Millisecond)
			v := cl.view()
			cl.mu.Lock()
			tr.check(v)
			tr.write(v)
			cl.mu.Unlock()
		}
	})
	return tr
}

// addViolation records a violation, up to five in total.
func (tr *traffic) addViolation(format string, args ...any) {
	if len(tr.violations) < 5 {
		tr.violations = append(tr.violations, fmt.Sprintf(format, args...))
	}
}

// check records violations of the invariants. The caller holds cl.mu.
func (tr *traffic) check(v *controlView) {
	acting := make(map[string][]string)
	roles := make(map[string][]string)
	for _, h := range tr.cl.hosts {
		for id, primary := range h.activeLeases() {
			acting[id] = append(acting[id], h.info.ID)
			if primary {
				group := v.Servers[id].Group
				roles[group] = append(roles[group], h.info.ID+" for "+id)
			}
		}
	}
	for id, hosts := range acting {
		if len(hosts) > 1 {
			tr.addViolation("%s has the owners %v", id, hosts)
		}
	}
	for group, owners := range roles {
		if len(owners) > 1 {
			tr.addViolation("%s has the primary owners %v", group, owners)
		}
	}
	g := v.Groups["orders"]
	if g.Phase == controlrpc.PhaseSteady && g.Term != tr.checkedTerm {
		tr.checkedTerm = g.Term
		for _, owner := range roles["orders"] {
			if !strings.HasSuffix(owner, " for "+g.Primary) {
				tr.addViolation("%s was named while %s still acted", g.Primary, owner)
			}
		}
		if s := tr.cl.servers["at-"+g.Primary]; !s.promotedFrom.AtLeast(tr.acked) {
			tr.addViolation("%s was promoted from %v without %v", g.Primary, s.promotedFrom, tr.acked)
		}
	}
}

// write simulates one write at every server that accepts writes and whose owner
// acts as the owner of a primary. The caller holds cl.mu.
func (tr *traffic) write(v *controlView) {
	for _, h := range tr.cl.hosts {
		for id, primary := range h.activeLeases() {
			s := tr.cl.servers["at-"+id]
			if !primary || h.serversUnreachable || s.down || !s.primary || v.Servers[id].Group != "orders" {
				continue
			}
			members := v.Groups["orders"].Members
			s.received = logpos.Position{Term: s.term, LSN: s.received.LSN + 1}
			copies := 1
			for _, r := range tr.cl.servers {
				if r == s || r.follows != s.address || r.term != s.term || r.down || tr.cl.lag[r.id] {
					continue
				}
				r.received = s.received
				if slices.Contains(members, r.id) {
					copies++
				}
			}
			if copies > len(members)/2 {
				tr.acked = tr.acked.Max(s.received)
				tr.ackedCount++
				tr.maxGap, tr.lastAcked = max(tr.maxGap, time.Since(tr.lastAcked)), time.Now()
			}
		}
	}
}

// awaitWrites waits until new writes are acknowledged.
func (tr *traffic) awaitWrites(limit time.Duration) {
	tr.cl.t.Helper()
	tr.cl.mu.Lock()
	start := tr.ackedCount
	tr.cl.mu.Unlock()
	tr.cl.eventually(limit, "writes are acknowledged", func() bool {
		tr.cl.mu.Lock()
		defer tr.cl.mu.Unlock()
		return tr.ackedCount > start+5
	})
}

// takeMaxGap returns the longest time without an acknowledged write since the
// last call.
func (tr *traffic) takeMaxGap() time.Duration {
	tr.cl.mu.Lock()
	defer tr.cl.mu.Unlock()
	gap := tr.maxGap
	tr.maxGap = 0
	return gap
}
