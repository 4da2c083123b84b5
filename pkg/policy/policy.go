// Package policy defines the declared configuration: database groups, proxy pools
// and traffic ranks, each with labels, and policies that select them by
// label.
//
// # Model
//
// A group, pool or rank declares what exists. A policy states values for
// everything that its selectors match; it never names a host. For one group
// and one rank the effective values are the defaults, overlaid by each
// matching policy in the order of the file, so a later policy wins.
//
// Selectors have the syntax of Kubernetes label selectors, for example
// "region in (munster),tier!=bulk". An empty selector matches everything.
// Besides the declared labels, every object has the label "name".
//
// # Usage
//
//	cfg, err := policy.Parse("policy.toml", text)
//	eff, ok := cfg.Effective("orders_munster", "urgent")
//	limit := eff.QueueLimit
package policy

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
)

// DatabaseGroup declares a group of backend servers that replicate one
// database. Callers name it as their database.
type DatabaseGroup struct {
	Name    string            `toml:"name"`
	Members int               `toml:"members"` // number of servers that a majority is counted from
	Labels  map[string]string `toml:"labels"`
}

// ProxyPool declares a set of entry hosts by a selector over host labels.
type ProxyPool struct {
	Name   string            `toml:"name"`
	Hosts  string            `toml:"hosts"` // selector over host labels, data_centre and region
	Labels map[string]string `toml:"labels"`
}

// TrafficRank declares a rank of work.
type TrafficRank struct {
	Name    string            `toml:"name"`
	Order   int               `toml:"order"`   // 0 is served first
	Floor   float64           `toml:"floor"`   // share of slot time reserved for the rank, 0 to 1
	Default bool              `toml:"default"` // rank of sessions that state none
	Labels  map[string]string `toml:"labels"`
}

// Policy states values for the groups and ranks that its selectors match. A
// nil value keeps the value of earlier policies.
type Policy struct {
	Name         string               `toml:"name"`
	Groups       string               `toml:"groups"` // selector over group labels
	Ranks        string               `toml:"ranks"`  // selector over rank labels
	Deadline     *tomlstrict.Duration `toml:"deadline"`
	QueueLimit   *int                 `toml:"queue_limit"`
	MaxStaleness *tomlstrict.Duration `toml:"max_staleness"`
	ReplicaReads *bool                `toml:"replica_reads"`
	HedgeAfter   *tomlstrict.Duration `toml:"hedge_after"`
	PositionWait *tomlstrict.Duration `toml:"position_wait"`
	RetryBudget  *float64             `toml:"retry_budget"`
}

// Config is a whole configuration. It is immutable after Parse. A Config
// that Parse did not create works too, but is indexed again at every lookup.
type Config struct {
	DatabaseGroups []DatabaseGroup `toml:"database_group"`
	ProxyPools     []ProxyPool     `toml:"proxy_pool"`
	TrafficRanks   []TrafficRank   `toml:"traffic_rank"`
	Policies       []Policy        `toml:"policy"`

	index *index // set by Parse; nil in any other Config
}

// Effective holds the values in effect for one rank at one group.
type Effective struct {
	Rank         TrafficRank
	Deadline     time.Duration // limit for a cycle whose caller states none
	QueueLimit   int           // largest number of cycles of the rank that wait at one server
	MaxStaleness time.Duration // staleness that reads accept if the caller states none; 0 for none: a read then requires the position of its session
	ReplicaReads bool          // reads may be served by replicas
	HedgeAfter   time.Duration // delay after which a repeatable read is also sent to a second member; 0 for never
	PositionWait time.Duration // longest wait at a replica for the required position
	RetryBudget  float64       // retries allowed for each successful attempt, 0 to 1
}

// defaults apply where no policy states a value.
var defaults = Effective{
	Deadline:     5 * time.Second,
	QueueLimit:   64,
	ReplicaReads: true,
	PositionWait: 20 * time.Millisecond,
	RetryBudget:  0.1,
}
