// Package health reports the health of database groups, proxy pools, traffic
// ranks and hosts, as observed in the traffic of the system itself.
//
// # Model
//
// A Collector gets the state and the received heartbeats from control. It gets
// the observations of backend servers from the owners of the selected groups,
// twice within a short time so that rates can be computed from counters.
// Evaluate is a pure function of these Inputs.
//
// Every fact has an age. A source that did not answer, or whose facts are too
// old, makes the status unknown or degraded, never up: a host that does not answer
// may have crashed, be partitioned or only be slow, and these cases can't be
// distinguished.
//
// # Usage
//
//	c := health.Collector{Get: control.Get, Status: owners.Status}
//	answers, err := c.Ask(ctx, health.Question{Kind: health.KindGroup, Selector: "tier=orders"})
package health

// Status is the health of one object.
type Status string

// The statuses. Degraded means that the object serves with less capacity,
// redundancy or freshness than declared.
const (
	Up       Status = "up"
	Degraded Status = "degraded"
	Down     Status = "down"
	Unknown  Status = "unknown"
)

// Kind is the type of an object.
type Kind string

// The kinds.
const (
	KindGroup Kind = "database_group"
	KindPool  Kind = "proxy_pool"
	KindRank  Kind = "traffic_rank"
	KindHost  Kind = "host"
)

// Question selects the objects whose health is requested.
type Question struct {
	Kind     Kind   // empty for all kinds
	Selector string // matched against labels and name; empty for all objects
}

// Answer is the health of one object.
type Answer struct {
	Kind   Kind              `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	Status Status            `json:"status"`
	Cause  string            `json:"cause,omitempty"` // why it is not up
	Facts  Facts             `json:"facts"`
	AgeMS  int64             `json:"age_ms"` // age of the oldest fact that the status is based on
}

// Facts are the measurements that an answer is based on. Rates cover the time
// between the two samples. A cycle is a sequence of client messages that is
// answered as a whole.
type Facts struct {
	Servers        []ServerFacts  `json:"servers,omitempty"`
	HostsLive      int            `json:"hosts_live,omitempty"`
	HostsDeclared  int            `json:"hosts_declared,omitempty"`
	SuccessRate    float64        `json:"success_rate"` // fraction of finished cycles without failure; 1 if no cycle finished
	CyclesPerSec   float64        `json:"cycles_per_second"`
	RefusedPerSec  float64        `json:"refused_per_second"`
	ServiceMS      float64        `json:"service_ms"` // smoothed service time at the primary, or at the slowest server
	Queued         map[string]int `json:"queued,omitempty"`
	FullQueues     []string       `json:"full_queues,omitempty"`
	HeartbeatAgeMS int64          `json:"heartbeat_age_ms,omitempty"`
}

// ServerFacts are the measurements of one backend server.
type ServerFacts struct {
	Server    string `json:"server"`
	Owner     string `json:"owner,omitempty"`
	Primary   bool   `json:"primary"`
	Reachable bool   `json:"reachable"`
	AgeMS     int64  `json:"age_ms"` // since the server last answered its owner
	LagLSN    uint64 `json:"lag_lsn"`
	Known     bool   `json:"known"` // an owner reported the server, either as unreachable or with a recent answer
}
