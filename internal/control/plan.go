package control

import (
	"maps"
	"slices"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// Limits on moves that only improve the placement. Such a move costs a short
// gap in the service of the server, so few run at one time, and only towards
// hosts that have been stable for a while.
const (
	improvementsAtOnce = 4
	slackShare         = 4 // the busiest host may own a quarter more than the idlest, and one more
)

// Plan says which servers need another owner. It is a pure function of the
// state and of the liveness of the hosts.
type Plan struct {
	Revoke []controlrpc.Lease // leases that should move
	Target map[string]holder  // new owner of each server that is free or about to be
}

// candidate is a host that may be given servers.
type candidate struct {
	holder
	centre string
	region string
	count  int // servers that it owns or will own
}

// planner holds the working data of one makePlan call.
type planner struct {
	view    *View
	centres map[string][]*candidate
	regions map[string][]*candidate
	all     []*candidate
	byKey   map[holder]*candidate
	region  map[string]string // of each data centre, as its hosts say
	local   bool
}

// makePlan decides for every server. usable reports whether a holder sends
// heartbeats to this leader, live whether its leases may still be in force,
// and settled whether it has been up long enough to receive improvements. If
// local is true, servers go only to hosts of their own data centre.
func makePlan(v *View, usable, live, settled func(holder) bool, local bool) Plan {
	p := newPlanner(v, usable)
	p.local = local
	plan := Plan{Target: make(map[string]holder)}
	var free, kept []controlrpc.Lease
	moving := 0
	for _, id := range slices.Sorted(maps.Keys(v.Servers)) {
		l, ok := v.Leases[id]
		h := holder{l.Host, l.Incarnation}
		switch {
		case !ok:
			free = append(free, controlrpc.Lease{Server: id})
		case l.Revoking:
			moving++
			free = append(free, l)
		case v.HostDraining(l.Host) || v.Hosts[l.Host].Incarnation != l.Incarnation || !live(h):
			if len(p.nearest(id)) > 0 {
				moving++
				plan.Revoke = append(plan.Revoke, l)
			}
		default:
			kept = append(kept, l)
			if c := p.byKey[h]; c != nil {
				c.count++
			}
		}
	}
	for _, l := range free {
		if c := p.pick(l.Server); c != nil {
			c.count++
			plan.Target[l.Server] = c.holder
		}
	}
	if moving == 0 {
		plan.Revoke = append(plan.Revoke, p.improve(kept, settled)...)
	}
	return plan
}

func newPlanner(v *View, usable func(holder) bool) *planner {
	p := &planner{
		view: v, centres: make(map[string][]*candidate), regions: make(map[string][]*candidate),
		byKey: make(map[holder]*candidate), region: make(map[string]string),
	}
	for _, id := range slices.Sorted(maps.Keys(v.Hosts)) {
		h := v.Hosts[id]
		p.region[h.DataCentre] = h.Region
		key := holder{id, h.Incarnation}
		if v.HostDraining(id) || !usable(key) {
			continue
		}
		c := &candidate{holder: key, centre: h.DataCentre, region: h.Region}
		p.all = append(p.all, c)
		p.centres[h.DataCentre] = append(p.centres[h.DataCentre], c)
		p.regions[h.Region] = append(p.regions[h.Region], c)
		p.byKey[key] = c
	}
	return p
}

// nearest returns the candidates of the server's data centre, or else of its
// region, or else all.
func (p *planner) nearest(server string) []*candidate {
	centre := p.view.Servers[server].DataCentre
	if in := p.centres[centre]; len(in) > 0 || p.local {
		return in
	}
	if in := p.regions[p.region[centre]]; len(in) > 0 {
		return in
	}
	return p.all
}

// pick returns the nearest candidate that owns the fewest servers, the first
// by id among equals; nil if there is none.
func (p *planner) pick(server string) *candidate {
	return idlest(p.nearest(server))
}

func idlest(in []*candidate) *candidate {
	var best *candidate
	for _, c := range in {
		if best == nil || c.count < best.count {
			best = c
		}
	}
	return best
}

// improve returns a few leases that should move although their holder is
// well: to a nearer host, or from a busy host to an idle one in the same data
// centre. Servers that are not primary go first, because a move of the
// primary's owner interrupts writes.
func (p *planner) improve(kept []controlrpc.Lease, settled func(holder) bool) []controlrpc.Lease {
	slices.SortStableFunc(kept, func(a, b controlrpc.Lease) int {
		return btoi(p.isPrimary(a.Server)) - btoi(p.isPrimary(b.Server))
	})
	var out []controlrpc.Lease
	for _, l := range kept {
		if len(out) == improvementsAtOnce {
			break
		}
		from := p.byKey[holder{l.Host, l.Incarnation}]
		near := slices.DeleteFunc(slices.Clone(p.nearest(l.Server)), func(c *candidate) bool { return !settled(c.holder) })
		to := idlest(near)
		if from == nil || to == nil {
			continue
		}
		nearer := !slices.Contains(p.nearest(l.Server), from)
		if nearer || from.count > to.count+1+to.count/slackShare {
			from.count--
			to.count++
			out = append(out, l)
		}
	}
	return out
}

func (p *planner) isPrimary(server string) bool {
	return p.view.Groups[p.view.Servers[server].Group].Primary == server
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
