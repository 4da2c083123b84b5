package policy

import (
	"cmp"
	"slices"
)

// implicitRank is used when the configuration declares no ranks.
var implicitRank = TrafficRank{Name: "default", Default: true}

// Group returns the declared group of that name.
func (c *Config) Group(name string) (DatabaseGroup, bool) {
	i, ok := c.indexed().groups[name]
	if !ok {
		return DatabaseGroup{}, false
	}
	return c.DatabaseGroups[i], true
}

// Ranks returns the declared ranks, or one implicit rank if there are none.
func (c *Config) Ranks() []TrafficRank {
	if len(c.TrafficRanks) == 0 {
		return []TrafficRank{implicitRank}
	}
	return c.TrafficRanks
}

// RanksInOrder returns the ranks in the order in which they are served.
func (c *Config) RanksInOrder() []TrafficRank {
	ranks := slices.Clone(c.Ranks())
	slices.SortStableFunc(ranks, func(a, b TrafficRank) int { return cmp.Compare(a.Order, b.Order) })
	return ranks
}

// Rank returns the rank of that name; the empty name gives the default rank.
func (c *Config) Rank(name string) (TrafficRank, bool) {
	i, ok := c.indexed().ranks[name]
	if !ok {
		return TrafficRank{}, false
	}
	return c.Ranks()[i], true
}

// Effective returns the values in effect for a rank at a group. It returns
// false if either is not declared; the empty rank is the default rank.
func (c *Config) Effective(group, rank string) (Effective, bool) {
	g, ok := c.Group(group)
	if !ok {
		return Effective{}, false
	}
	r, ok := c.Rank(rank)
	if !ok {
		return Effective{}, false
	}
	eff := defaults
	eff.Rank = r
	for _, p := range c.indexed().policies {
		if p.matches(g, r) {
			p.policy.overlay(&eff)
		}
	}
	return eff, true
}

// overlay replaces the values of eff that p states.
func (p *Policy) overlay(eff *Effective) {
	if p.Deadline != nil {
		eff.Deadline = p.Deadline.Std()
	}
	if p.QueueLimit != nil {
		eff.QueueLimit = *p.QueueLimit
	}
	if p.MaxStaleness != nil {
		eff.MaxStaleness = p.MaxStaleness.Std()
	}
	if p.ReplicaReads != nil {
		eff.ReplicaReads = *p.ReplicaReads
	}
	if p.HedgeAfter != nil {
		eff.HedgeAfter = p.HedgeAfter.Std()
	}
	if p.PositionWait != nil {
		eff.PositionWait = p.PositionWait.Std()
	}
	if p.RetryBudget != nil {
		eff.RetryBudget = *p.RetryBudget
	}
}
