package policy

import (
	"fmt"

	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
	"github.com/zeebo/errs"
	"k8s.io/apimachinery/pkg/labels"
)

// maxFloors bounds the sum of the floors of all ranks: a larger sum would
// leave the most urgent rank no priority.
const maxFloors = 0.9

// floorTolerance absorbs the rounding of a sum of decimal fractions.
const floorTolerance = 1e-9

// checker collects every problem of a configuration.
type checker struct {
	file  string
	text  string
	lines tomlstrict.Lines // located when the first problem is found
	group errs.Group
}

// object is one declared object in errors.
type object struct {
	section string
	i       int
	name    string
	seen    map[string]bool // names of the section
}

func (c *Config) check(file, text string) error {
	k := &checker{file: file, text: text}
	k.groups(c.DatabaseGroups)
	k.pools(c.ProxyPools)
	k.ranks(c.TrafficRanks)
	k.policies(c.Policies)
	return k.group.Err()
}

// fail reports a problem of a key; the empty key stands for the whole object.
// A key that is absent has the line of its object.
func (k *checker) fail(o object, key, format string, args ...any) {
	if k.lines == nil {
		k.lines = tomlstrict.Locate(k.text)
	}
	place := k.file
	path := fmt.Sprintf("%s[%d]", o.section, o.i)
	line, ok := k.lines[path+"."+key]
	if !ok {
		line, ok = k.lines[path]
	}
	if ok {
		place = fmt.Sprintf("%s:%d", k.file, line)
	}
	if key != "" {
		key += ": "
	}
	k.group.Add(Error.New("%s: %s %q: %s%s", place, o.section, o.name, key, fmt.Sprintf(format, args...)))
}

// common checks what all objects have: a unique name, and labels.
func (k *checker) common(o object, set map[string]string) {
	switch {
	case o.name == "":
		k.fail(o, "name", "is missing")
	case o.seen[o.name]:
		k.fail(o, "name", "is declared twice")
	}
	o.seen[o.name] = true
	if _, ok := set[nameLabel]; ok {
		k.fail(o, "labels", "the label %q is reserved", nameLabel)
	}
}

func (k *checker) selector(o object, key, text string) {
	if _, err := labels.Parse(text); err != nil {
		k.fail(o, key, "selector %q: %v", text, err)
	}
}

func (k *checker) groups(groups []DatabaseGroup) {
	seen := make(map[string]bool)
	for i, g := range groups {
		o := object{"database_group", i, g.Name, seen}
		k.common(o, g.Labels)
		if g.Members < 1 {
			k.fail(o, "members", "is %d, must be at least 1", g.Members)
		}
	}
}

func (k *checker) pools(pools []ProxyPool) {
	seen := make(map[string]bool)
	for i, p := range pools {
		o := object{"proxy_pool", i, p.Name, seen}
		k.common(o, p.Labels)
		k.selector(o, "hosts", p.Hosts)
	}
}

func (k *checker) ranks(ranks []TrafficRank) {
	seen := make(map[string]bool)
	orders := make(map[int]string)
	sum, defaultRanks := 0.0, 0
	for i, r := range ranks {
		o := object{"traffic_rank", i, r.Name, seen}
		k.common(o, r.Labels)
		if !(r.Floor >= 0 && r.Floor <= 1) { // also refuses NaN
			k.fail(o, "floor", "is %v, must be from 0 to 1", r.Floor)
		}
		if other, ok := orders[r.Order]; ok {
			k.fail(o, "order", "%d is taken by %q", r.Order, other)
		}
		orders[r.Order] = r.Name
		sum += r.Floor
		if r.Default {
			defaultRanks++
		}
	}
	if sum > maxFloors+floorTolerance {
		k.group.Add(Error.New("%s: traffic_rank: floor: the floors add up to %.2f, must be at most %.2f", k.file, sum, maxFloors))
	}
	if len(ranks) > 0 && defaultRanks != 1 {
		k.group.Add(Error.New("%s: traffic_rank: default: %d ranks are the default, must be exactly 1", k.file, defaultRanks))
	}
}

func (k *checker) policies(policies []Policy) {
	seen := make(map[string]bool)
	for i, p := range policies {
		o := object{"policy", i, p.Name, seen}
		k.common(o, nil)
		k.selector(o, "groups", p.Groups)
		k.selector(o, "ranks", p.Ranks)
		if p.QueueLimit != nil && *p.QueueLimit < 1 {
			k.fail(o, "queue_limit", "is %d, must be at least 1", *p.QueueLimit)
		}
		if p.RetryBudget != nil && !(*p.RetryBudget >= 0 && *p.RetryBudget <= 1) { // also refuses NaN
			k.fail(o, "retry_budget", "is %v, must be from 0 to 1", *p.RetryBudget)
		}
		if p.Deadline != nil && p.Deadline.Std() == 0 {
			k.fail(o, "deadline", "is 0, must be positive")
		}
	}
}
