package policy

// index speeds up lookups in a Config. It is immutable.
type index struct {
	groups   map[string]int // name to position in Config.DatabaseGroups
	policies []compiledPolicy
}

// compiledPolicy is a policy with its parsed selectors.
type compiledPolicy struct {
	policy *Policy
	groups Selector
	ranks  Selector
}

// indexed returns the index that Parse built, or a new one for a Config that
// was built by hand.
func (c *Config) indexed() *index {
	if c.index != nil {
		return c.index
	}
	return newIndex(c)
}

// newIndex leaves out policies with a malformed selector: they match nothing.
// Parse refuses them.
func newIndex(c *Config) *index {
	x := &index{groups: make(map[string]int, len(c.DatabaseGroups))}
	for i := len(c.DatabaseGroups) - 1; i >= 0; i-- {
		x.groups[c.DatabaseGroups[i].Name] = i // the first of equal names stays
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
