package policy

import (
	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("policy")

// maxFloors bounds the sum of the floors of all ranks: a larger sum would
// leave the most urgent rank no priority.
const maxFloors = 0.9

// Parse reads and checks a configuration. The file name is for errors only.
func Parse(file, text string) (*Config, error) {
	cfg := new(Config)
	if err := tomlstrict.Decode(file, text, cfg); err != nil {
		return nil, err
	}
	if err := cfg.check(file); err != nil {
		return nil, err
	}
	return cfg, nil
}

func (c *Config) check(file string) error {
	var group errs.Group
	group.Add(c.checkGroups(file), c.checkPools(file), c.checkRanks(file), c.checkPolicies(file))
	return group.Err()
}

func (c *Config) checkGroups(file string) error {
	var group errs.Group
	seen := make(map[string]bool)
	for i, g := range c.DatabaseGroups {
		group.Add(checkName(file, "database_group", i, g.Name, seen))
		if g.Members < 1 {
			group.Add(Error.New("%s: database_group %q: members is %d, must be at least 1", file, g.Name, g.Members))
		}
		group.Add(checkLabels(file, "database_group", g.Name, g.Labels))
	}
	return group.Err()
}

func (c *Config) checkPools(file string) error {
	var group errs.Group
	seen := make(map[string]bool)
	for i, p := range c.ProxyPools {
		group.Add(checkName(file, "proxy_pool", i, p.Name, seen))
		if _, err := ParseSelector(p.Hosts); err != nil {
			group.Add(Error.New("%s: proxy_pool %q: hosts: %v", file, p.Name, err))
		}
		group.Add(checkLabels(file, "proxy_pool", p.Name, p.Labels))
	}
	return group.Err()
}

func (c *Config) checkRanks(file string) error {
	var group errs.Group
	seen := make(map[string]bool)
	orders := make(map[int]string)
	sum, defaultRanks := 0.0, 0
	for i, r := range c.TrafficRanks {
		group.Add(checkName(file, "traffic_rank", i, r.Name, seen))
		if r.Floor < 0 || r.Floor > 1 {
			group.Add(Error.New("%s: traffic_rank %q: floor is %v, must be from 0 to 1", file, r.Name, r.Floor))
		}
		if other, ok := orders[r.Order]; ok {
			group.Add(Error.New("%s: traffic_rank %q: order %d is taken by %q", file, r.Name, r.Order, other))
		}
		orders[r.Order] = r.Name
		sum += r.Floor
		if r.Default {
			defaultRanks++
		}
		group.Add(checkLabels(file, "traffic_rank", r.Name, r.Labels))
	}
	if sum > maxFloors {
		group.Add(Error.New("%s: traffic_rank: the floors add up to %.2f, must be at most %.2f", file, sum, maxFloors))
	}
	if len(c.TrafficRanks) > 0 && defaultRanks != 1 {
		group.Add(Error.New("%s: traffic_rank: %d ranks are the default, must be exactly 1", file, defaultRanks))
	}
	return group.Err()
}

func (c *Config) checkPolicies(file string) error {
	var group errs.Group
	seen := make(map[string]bool)
	for i, p := range c.Policies {
		group.Add(checkName(file, "policy", i, p.Name, seen))
		for key, text := range map[string]string{"groups": p.Groups, "ranks": p.Ranks} {
			if _, err := ParseSelector(text); err != nil {
				group.Add(Error.New("%s: policy %q: %s: %v", file, p.Name, key, err))
			}
		}
		if p.QueueLimit != nil && *p.QueueLimit < 1 {
			group.Add(Error.New("%s: policy %q: queue_limit is %d, must be at least 1", file, p.Name, *p.QueueLimit))
		}
		if p.RetryBudget != nil && (*p.RetryBudget < 0 || *p.RetryBudget > 1) {
			group.Add(Error.New("%s: policy %q: retry_budget is %v, must be from 0 to 1", file, p.Name, *p.RetryBudget))
		}
		if p.Deadline != nil && p.Deadline.Std() == 0 {
			group.Add(Error.New("%s: policy %q: deadline is 0, must be positive", file, p.Name))
		}
	}
	return group.Err()
}

func checkName(file, kind string, i int, name string, seen map[string]bool) error {
	if name == "" {
		return Error.New("%s: %s number %d has no name", file, kind, i+1)
	}
	if seen[name] {
		return Error.New("%s: %s %q is declared twice", file, kind, name)
	}
	seen[name] = true
	return nil
}

func checkLabels(file, kind, name string, labels map[string]string) error {
	if _, ok := labels[nameLabel]; ok {
		return Error.New("%s: %s %q: the label %q is reserved", file, kind, name, nameLabel)
	}
	return nil
}
