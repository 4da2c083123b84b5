package policy

import "slices"

// index speeds up lookups in a Config. It is immutable.
type index struct {
	groups   map[string]int // name to index in Config.DatabaseGroups
	ranks    map[string]int // name to index in Config.Ranks; the empty name for the default rank
	policies []compiledPolicy
}

// compiledPolicy is a policy with its parsed selectors.
type compiledPolicy struct {
	policy *Policy
	groups Selector
	ranks  Selector
}

// indexed returns the index that Parse built, or a new one for a Config that
// Parse did not create.
func (c *Config) indexed() *index {
	if c.index != nil {
		return c.index
	}
	return newIndex(c)
}

// newIndex returns the index of c without the policies that have a malformed
// selector: these match nothing. Parse rejects them.
func newIndex(c *Config) *index {
	x := &index{groups: make(map[string]int, len(c.DatabaseGroups))}
	for i := len(c.DatabaseGroups) - 1; i >= 0; i-- {
		x.groups[c.DatabaseGroups[i].Name] = i // the first group of a repeated name wins
	}
	x.ranks = make(map[string]int, len(c.TrafficRanks)+1)
	for i, r := range slices.Backward(c.Ranks()) {
		x.ranks[r.Name] = i
	}
	if i := slices.IndexFunc(c.Ranks(), func(r TrafficRank) bool { return r.Name == "" || r.Default }); i >= 0 {
		x.ranks[""] = i
	}
	for i := range c.Policies {
		p := &c.Policies[i]
		groups, errGroups := ParseSelector(p.Groups)
		ranks, errRanks := ParseSelector(p.Ranks)
		if errGroups == nil && errRanks == nil {
			x.policies = append(x.policies, compiledPolicy{policy: p, groups: groups, ranks: ranks})
		}
	}
	return x
}

func (p *compiledPolicy) matches(g DatabaseGroup, r TrafficRank) bool {
	return p.groups.Matches(g.Name, g.Labels) && p.ranks.Matches(r.Name, r.Labels)
}
