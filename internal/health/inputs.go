package health

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// Inputs are everything that Evaluate works from.
type Inputs struct {
	Config *policy.Config
	State  controlrpc.State
	Seen   map[string]controlrpc.HostReport // by host id, from control; nil when control did not answer
	Before Sample
	After  Sample
}

// Sample holds the answers of owners at one time.
type Sample struct {
	At      time.Time
	Servers map[string]Observation // by server id; a missing server was not reported
}

// Observation is what an owner said about one server.
type Observation struct {
	Host   string
	Status ownerrpc.ServerStatus
}

const (
	// maxAge is the age at which a fact says nothing any more. With the time
	// to collect the facts, no wrong answer is older than 3 s.
	maxAge = 2 * time.Second
	// lagLimit is the number of records behind which a replica counts as
	// lagging.
	lagLimit = 1000
)
