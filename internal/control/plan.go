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
	avoid   func(server string) string
}

// makePlan decides for every server. usable reports whether a holder sends
// heartbeats to this leader, live whether its leases may still be in force,
// and settled whether it has been up long enough to receive improvements. If
// local is true, servers go only to hosts of their own data centre. avoid names
// a host that should not own a server, empty for none.
func makePlan(v *View, usable, live, settled func(holder) bool, avoid func(server string) string, local bool) Plan {
	p := newPlanner(v, usable)
	p.local, p.avoid = local, avoid
	plan := Plan{Target: make(map[string]holder)}
	var free, kept, primaries []controlrpc.Lease
	moving := 0
	for _, group := range slices.Sorted(maps.Keys(v.byGroup)) {
		for _, id := range v.byGroup[group] {
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
			case avoid(id) == l.Host && p.pick(id) != nil:
				moving++
				plan.Revoke = append(plan.Revoke, l)
			default:
				if v.Groups[group].Primary == id {
					primaries = append(primaries, l)
				} else {
					kept = append(kept, l)
				}
				if c := p.byKey[h]; c != nil {
					c.count++
				}
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
		plan.Revoke = append(plan.Revoke, p.improve(append(kept, primaries...), settled)...)
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

// place is how near a set of candidates is to a server.
type place struct {
	centre string // set if in the server's data centre
	region string // set if only in its region
}

// nearest returns the candidates of the server's data centre, or else of its
// region, or else all, and which of these it was.
func (p *planner) nearest(server string) ([]*candidate, place) {
	centre := p.view.Servers[server].DataCentre
	if in := p.centres[centre]; len(in) > 0 || p.local {
		return in, place{centre: centre}
	}
	region := p.region[centre]
	if in := p.regions[region]; len(in) > 0 {
		return in, place{region: region}
	}
	return p.all, place{}
}

// pick returns the nearest candidate that owns the fewest servers, the first
// by id among equals; nil if there is none.
func (p *planner) pick(server string) *candidate {
	in, _ := p.nearest(server)
	host := p.avoid(server)
	if host == "" {
		return idlest(in)
	}
	other := func(in []*candidate) *candidate {
		return idlest(slices.DeleteFunc(slices.Clone(in), func(c *candidate) bool { return c.host == host }))
	}
	if c := other(in); c != nil {
		return c
	}
	return other(p.all)
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
// well: to a nearer host, or from a busy host to an idle one at the same
// place. Servers that are not primary come first in kept, because a move of the
// primary's owner interrupts writes.
func (p *planner) improve(kept []controlrpc.Lease, settled func(holder) bool) []controlrpc.Lease {
	idle := make(map[place]*candidate) // idlest settled candidate of a place
	var out []controlrpc.Lease
	for _, l := range kept {
		from := p.byKey[holder{l.Host, l.Incarnation}]
		in, at := p.nearest(l.Server)
		to, ok := idle[at]
		if !ok {
			to = idlest(slices.DeleteFunc(slices.Clone(in), func(c *candidate) bool { return !settled(c.holder) }))
			idle[at] = to
		}
		if from == nil || to == nil || p.avoid(l.Server) != "" {
			continue
		}
		far := (at.centre != "" && from.centre != at.centre) || (at.region != "" && from.region != at.region)
		if far || from.count > to.count+1+to.count/slackShare {
			from.count--
			to.count++
			clear(idle)
			if out = append(out, l); len(out) == improvementsAtOnce {
				break
			}
		}
	}
	return out
}
