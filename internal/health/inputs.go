package health

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// Inputs are the data that Evaluate works on.
type Inputs struct {
	Config     *policy.Config
	State      controlrpc.State
	Heartbeats map[string]controlrpc.HostReport // heartbeats by host id; nil if control did not answer
	Before     Sample
	After      Sample
}

// Sample holds the reports of the owners at one time.
type Sample struct {
	At      time.Time              // when all reports had arrived
	Servers map[string]Observation // by server id; servers that no owner reported are missing
}

// Observation is the report of an owner about one server.
type Observation struct {
	Host   string // id of the owner
	Status ownerrpc.ServerStatus
}

const (
	// maxReportAge is the age of a server's last answer from which the report of
	// its owner is treated as missing. Together with the time to collect the
	// facts, it keeps a wrong answer from lasting longer than 3 s.
	maxReportAge = 2 * time.Second
	// maxLagRecords is the lag, in log records, above which a replica is reported
	// as lagging.
	maxLagRecords = 1000
)
