package control

import (
	"maps"
	"slices"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// Limits on moves that only improve the placement. Such a move briefly
// interrupts the service of the server, so few run at a time, and only to hosts
// that have been stable for minHostUptime.
const (
	maxImprovements  = 4
	imbalanceDivisor = 4 // the busiest host may own 1/imbalanceDivisor more servers than the least loaded one, plus one
)

// Plan holds the lease changes that are needed. It is a pure function of the
// state and the liveness of the hosts.
type Plan struct {
	Revoke []controlrpc.Lease // leases that should move
	Target map[string]holder  // new owner of each server without a lease or with a revoking one, by server id
}

// candidate is a host that may receive leases.
type candidate struct {
	holder
	dataCentre  string
	region      string
	serverCount int // servers that it owns or will own
}

// planner holds the working data of one makePlan call.
type planner struct {
	view         *View
	byDataCentre map[string][]*candidate
	byRegion     map[string][]*candidate
	all          []*candidate
	byHolder     map[holder]*candidate
	region       map[string]string // region of each data centre, according to its hosts
	localOnly    bool
	excludedHost func(server string) string
}

// makePlan plans the leases of all servers. usable reports whether a holder
// sends heartbeats to this leader, live whether its leases may still be in
// force, and settled whether it has been up long enough to receive leases that
// only improve the placement. If localOnly is true, leases go only to hosts in
// the data centre of the server. excludedHost returns a host that should not
// own a server, empty for none.
func makePlan(v *View, usable, live, settled func(holder) bool, excludedHost func(server string) string, localOnly bool) Plan {
	p := newPlanner(v, usable)
	p.localOnly, p.excludedHost = localOnly, excludedHost
	plan := Plan{Target: make(map[string]holder)}
	var free, kept, primaries []controlrpc.Lease
	moving := 0
	for _, group := range slices.Sorted(maps.Keys(v.serversByGroup)) {
		for _, id := range v.serversByGroup[group] {
			l, ok := v.Leases[id]
			h := holder{l.Host, l.Incarnation}
			switch {
			case !ok:
				free = append(free, controlrpc.Lease{Server: id})
			case l.Revoking:
				moving++
				free = append(free, l)
			case v.HostDraining(l.Host) || v.Hosts[l.Host].Incarnation != l.Incarnation || !live(h):
				if in, _ := p.nearest(id); len(in) > 0 {
					moving++
					plan.Revoke = append(plan.Revoke, l)
				}
			case excludedHost(id) == l.Host && p.pickOwner(id) != nil:
				moving++
				plan.Revoke = append(plan.Revoke, l)
			default:
				if v.Groups[group].Primary == id {
					primaries = append(primaries, l)
				} else {
					kept = append(kept, l)
				}
				if c := p.byHolder[h]; c != nil {
					c.serverCount++
				}
			}
		}
	}
	for _, l := range free {
		if c := p.pickOwner(l.Server); c != nil {
			c.serverCount++
			plan.Target[l.Server] = c.holder
		}
	}
	if moving == 0 {
		plan.Revoke = append(plan.Revoke, p.improve(append(kept, primaries...), settled)...)
	}
	return plan
}

func newPlanner(v *View, usable func(holder) bool) *planner {
	p := &planner{
		view: v, byDataCentre: make(map[string][]*candidate), byRegion: make(map[string][]*candidate),
		byHolder: make(map[holder]*candidate), region: make(map[string]string),
	}
	for _, id := range slices.Sorted(maps.Keys(v.Hosts)) {
		h := v.Hosts[id]
		p.region[h.DataCentre] = h.Region
		key := holder{id, h.Incarnation}
		if v.HostDraining(id) || !usable(key) {
			continue
		}
		c := &candidate{holder: key, dataCentre: h.DataCentre, region: h.Region}
		p.all = append(p.all, c)
		p.byDataCentre[h.DataCentre] = append(p.byDataCentre[h.DataCentre], c)
		p.byRegion[h.Region] = append(p.byRegion[h.Region], c)
		p.byHolder[key] = c
	}
	return p
}

// proximity is the data centre or region that a set of candidates shares with a
// server; both fields are empty if they share neither.
type proximity struct {
	dataCentre string // set if they are in the server's data centre
	region     string // set if they are only in its region
}

// nearest returns the candidates in the server's data centre, or else in its
// region, or else all, together with their proximity.
func (p *planner) nearest(server string) ([]*candidate, proximity) {
	dataCentre := p.view.Servers[server].DataCentre
	if in := p.byDataCentre[dataCentre]; len(in) > 0 || p.localOnly {
		return in, proximity{dataCentre: dataCentre}
	}
	region := p.region[dataCentre]
	if in := p.byRegion[region]; len(in) > 0 {
		return in, proximity{region: region}
	}
	return p.all, proximity{}
}

// pickOwner returns the least loaded of the nearest candidates, nil if there is
// none. It never returns the host that is excluded for the server: if the nearest
// candidates include no other host, it chooses from all other candidates, unless
// leases must stay in the data centre of the server.
func (p *planner) pickOwner(server string) *candidate {
	in, _ := p.nearest(server)
	excluded := p.excludedHost(server)
	if excluded == "" {
		return leastLoaded(in)
	}
	other := func(in []*candidate) *candidate {
		return leastLoaded(slices.DeleteFunc(slices.Clone(in), func(c *candidate) bool { return c.host == excluded }))
	}
	if c := other(in); c != nil || p.localOnly {
		return c
	}
	return other(p.all)
}

// leastLoaded returns the candidate that owns the fewest servers, the first by
// id among equals; nil if there is none.
func leastLoaded(in []*candidate) *candidate {
	var best *candidate
	for _, c := range in {
		if best == nil || c.serverCount < best.serverCount {
			best = c
		}
	}
	return best
}

// improve returns a few leases that should move although their holder is
// healthy: to a nearer host, or from a busy host to a less loaded one at the
// same proximity. Servers that are not primary come first in kept, because
// moving the lease of a primary interrupts writes.
func (p *planner) improve(kept []controlrpc.Lease, settled func(holder) bool) []controlrpc.Lease {
	leastLoadedAt := make(map[proximity]*candidate) // least loaded settled candidate by proximity
	var out []controlrpc.Lease
	for _, l := range kept {
		from := p.byHolder[holder{l.Host, l.Incarnation}]
		in, at := p.nearest(l.Server)
		to, ok := leastLoadedAt[at]
		if !ok {
			to = leastLoaded(slices.DeleteFunc(slices.Clone(in), func(c *candidate) bool { return !settled(c.holder) }))
			leastLoadedAt[at] = to
		}
		if from == nil || to == nil || p.excludedHost(l.Server) != "" {
			continue
		}
		far := (at.dataCentre != "" && from.dataCentre != at.dataCentre) || (at.region != "" && from.region != at.region)
		if far || from.serverCount > to.serverCount+1+to.serverCount/imbalanceDivisor {
			from.serverCount--
			to.serverCount++
			clear(leastLoadedAt)
			if out = append(out, l); len(out) == maxImprovements {
				break
			}
		}
	}
	return out
}
