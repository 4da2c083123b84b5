package policy

import (
	"fmt"

	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
	"github.com/zeebo/errs"
	"k8s.io/apimachinery/pkg/labels"
)

// maxFloorSum bounds the sum of the floors of all ranks: a larger sum would
// leave the most urgent rank without priority.
const maxFloorSum = 0.9

// floorSumTolerance absorbs the rounding error of a sum of decimal fractions.
const floorSumTolerance = 1e-9

// checker collects all problems of a configuration, so that one check reports
// them all.
type checker struct {
	file     string
	text     string
	lines    tomlstrict.Lines // located when the first problem is found
	problems errs.Group
}

// declaration identifies a declared object in error messages.
type declaration struct {
	section   string
	index     int
	name      string
	seenNames map[string]bool // names of the section
}

func (c *Config) check(file, text string) error {
	k := &checker{file: file, text: text}
	k.checkGroups(c.DatabaseGroups)
	k.checkPools(c.ProxyPools)
	k.checkRanks(c.TrafficRanks)
	k.checkPolicies(c.Policies)
	return k.problems.Err()
}

// report adds a problem of a key; the empty key stands for the whole object.
// The problem of an absent key has the line of its object.
func (k *checker) report(d declaration, key, format string, args ...any) {
	if k.lines == nil {
		k.lines = tomlstrict.Locate(k.text)
	}
	location := k.file
	path := fmt.Sprintf("%s[%d]", d.section, d.index)
	line, ok := k.lines[path+"."+key]
	if !ok {
		line, ok = k.lines[path]
	}
	if ok {
		location = fmt.Sprintf("%s:%d", k.file, line)
	}
	if key != "" {
		key += ": "
	}
	k.problems.Add(Error.New("%s: %s %q: %s%s", location, d.section, d.name, key, fmt.Sprintf(format, args...)))
}

// checkNameAndLabels checks what all kinds of objects have: a unique name, and
// labels.
func (k *checker) checkNameAndLabels(d declaration, declaredLabels map[string]string) {
	switch {
	case d.name == "":
		k.report(d, "name", "is missing")
	case d.seenNames[d.name]:
		k.report(d, "name", "is declared twice")
	}
	d.seenNames[d.name] = true
	if _, ok := declaredLabels[nameLabel]; ok {
		k.report(d, "labels", "the label %q is reserved", nameLabel)
	}
}

func (k *checker) checkSelector(d declaration, key, text string) {
	if _, err := labels.Parse(text); err != nil {
		k.report(d, key, "selector %q: %v", text, err)
	}
}

func (k *checker) checkGroups(groups []DatabaseGroup) {
	seen := make(map[string]bool)
	for i, g := range groups {
		d := declaration{"database_group", i, g.Name, seen}
		k.checkNameAndLabels(d, g.Labels)
		if g.Members < 1 {
			k.report(d, "members", "is %d, must be at least 1", g.Members)
		}
	}
}

func (k *checker) checkPools(pools []ProxyPool) {
	seen := make(map[string]bool)
	for i, p := range pools {
		d := declaration{"proxy_pool", i, p.Name, seen}
		k.checkNameAndLabels(d, p.Labels)
		k.checkSelector(d, "hosts", p.Hosts)
	}
}

func (k *checker) checkRanks(ranks []TrafficRank) {
	seen := make(map[string]bool)
	orders := make(map[int]string)
	sum, defaultRanks := 0.0, 0
	for i, r := range ranks {
		d := declaration{"traffic_rank", i, r.Name, seen}
		k.checkNameAndLabels(d, r.Labels)
		if !(r.Floor >= 0 && r.Floor <= 1) { // also refuses NaN
			k.report(d, "floor", "is %v, must be from 0 to 1", r.Floor)
		}
		if other, ok := orders[r.Order]; ok {
			k.report(d, "order", "%d is taken by %q", r.Order, other)
		}
		orders[r.Order] = r.Name
		sum += r.Floor
		if r.Default {
			defaultRanks++
		}
	}
	if sum > maxFloorSum+floorSumTolerance {
		k.problems.Add(Error.New("%s: traffic_rank: floor: the floors add up to %.2f, must be at most %.2f", k.file, sum, maxFloorSum))
	}
	if len(ranks) > 0 && defaultRanks != 1 {
		k.problems.Add(Error.New("%s: traffic_rank: default: %d ranks are the default, must be exactly 1", k.file, defaultRanks))
	}
}

func (k *checker) checkPolicies(policies []Policy) {
	seen := make(map[string]bool)
	for i, p := range policies {
		d := declaration{"policy", i, p.Name, seen}
		k.checkNameAndLabels(d, nil)
		k.checkSelector(d, "groups", p.Groups)
		k.checkSelector(d, "ranks", p.Ranks)
		if p.QueueLimit != nil && *p.QueueLimit < 1 {
			k.report(d, "queue_limit", "is %d, must be at least 1", *p.QueueLimit)
		}
		if p.RetryBudget != nil && !(*p.RetryBudget >= 0 && *p.RetryBudget <= 1) { // also refuses NaN
			k.report(d, "retry_budget", "is %v, must be from 0 to 1", *p.RetryBudget)
		}
		if p.Deadline != nil && p.Deadline.Std() == 0 {
			k.report(d, "deadline", "is 0, must be positive")
		}
	}
}
