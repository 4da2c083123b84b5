// Package health answers questions about the health of database groups, proxy
// pools, traffic ranks and hosts from what the system sees in its own traffic.
//
// # Model
//
// A Collector asks control for the state and for the heartbeats that it got,
// and asks the owners of the selected groups what they observe of their
// backend servers, twice within a short time so that counters give rates.
// Evaluate is a pure function of these Inputs.
//
// Every fact has an age. A source that did not answer, or whose facts are
// older than the limit, makes the answer unknown, never up: a silent host may
// be dead, cut off or only slow, and nothing here can tell these apart.
//
// # Usage
//
//	c := health.Collector{Get: control.Get, Status: owners.Status}
//	answers, err := c.Ask(ctx, health.Question{Kind: health.KindGroup, Selector: "tier=orders"})
package health

// Status is the health of one object.
type Status string

// The statuses. Degraded means that it serves with less capacity, redundancy
// or freshness than declared.
const (
	Up       Status = "up"
	Degraded Status = "degraded"
	Down     Status = "down"
	Unknown  Status = "unknown"
)

// Kind names what an answer is about.
type Kind string

// The kinds.
const (
	KindGroup Kind = "database_group"
	KindPool  Kind = "proxy_pool"
	KindRank  Kind = "traffic_rank"
	KindHost  Kind = "host"
)

// Question selects the objects to answer for.
type Question struct {
	Kind     Kind   // empty for all kinds
	Selector string // over labels and name; empty for all objects
}

// Answer is the health of one object.
type Answer struct {
	Kind   Kind              `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	Status Status            `json:"status"`
	Cause  string            `json:"cause,omitempty"` // why it is not up
	Facts  Facts             `json:"facts"`
	AgeMS  int64             `json:"age_ms"` // of the oldest fact that the status rests on
}

// Facts are the figures behind an answer. Rates are for the time between the
// two samples.
type Facts struct {
	Servers        []ServerFacts  `json:"servers,omitempty"`
	HostsLive      int            `json:"hosts_live,omitempty"`
	HostsDeclared  int            `json:"hosts_declared,omitempty"`
	SuccessRate    float64        `json:"success_rate"` // share of finished cycles without failure; 1 if there were none
	CyclesPerSec   float64        `json:"cycles_per_second"`
	RefusedPerSec  float64        `json:"refused_per_second"`
	ServiceMS      float64        `json:"service_ms"` // smoothed service time at the primary, or at the slowest server
	Queued         map[string]int `json:"queued,omitempty"`
	FullQueues     []string       `json:"full_queues,omitempty"`
	HeartbeatAgeMS int64          `json:"heartbeat_age_ms,omitempty"`
}

// ServerFacts are the figures of one backend server.
type ServerFacts struct {
	Server    string `json:"server"`
	Owner     string `json:"owner,omitempty"`
	Primary   bool   `json:"primary"`
	Reachable bool   `json:"reachable"`
	AgeMS     int64  `json:"age_ms"` // since the server last answered its owner
	LagLSN    uint64 `json:"lag_lsn"`
	Known     bool   `json:"known"` // the owner answered with a fact that is fresh
}
