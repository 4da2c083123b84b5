package gateway

import (
	"strconv"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// meters are the metrics of a gateway. docs/OPERATIONS.md lists them.
type meters struct {
	registry  metrics.Registry
	statement metrics.Timer // whole time of a statement, waits included
	wait      metrics.Timer // time in the queue of a server
	server    metrics.Timer // time from sending to the answer
	replicas  metrics.Counter
	primaries metrics.Counter
	retries   metrics.Counter
	aborted   metrics.Counter // transactions that were ended by this host
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry:  r,
		statement: metrics.GetOrRegisterTimer("gateway.statement", r),
		wait:      metrics.GetOrRegisterTimer("gateway.queue_wait", r),
		server:    metrics.GetOrRegisterTimer("gateway.server_time", r),
		replicas:  metrics.GetOrRegisterCounter("gateway.reads_replica", r),
		primaries: metrics.GetOrRegisterCounter("gateway.statements_primary", r),
		retries:   metrics.GetOrRegisterCounter("gateway.retries", r),
		aborted:   metrics.GetOrRegisterCounter("gateway.transactions_aborted", r),
	}
}

// count counts the result of a statement by rank and kind of error.
func (m *meters) count(rank int, kind errkind.Kind, took time.Duration) {
	if kind == errkind.OK {
		kind = "ok"
	}
	metrics.GetOrRegisterCounter("gateway.statements.rank_"+strconv.Itoa(rank)+"."+string(kind), m.registry).Inc(1)
	m.statement.Update(took)
}
