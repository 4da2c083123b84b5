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
	statement metrics.Histogram // in ns: whole time of a statement, waits included
	wait      metrics.Histogram // in ns: time in the queue of a server
	server    metrics.Histogram // in ns: time from sending to the answer
	replicas  metrics.Counter
	primaries metrics.Counter
	retries   metrics.Counter
	aborted   metrics.Counter // transactions that were ended by this host
}

func newMeters(r metrics.Registry) *meters {
	// No Timers: their meters start a goroutine that no test can stop.
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("gateway."+name, r, metrics.NewExpDecaySample(1028, 0.015))
	}
	return &meters{
		registry:  r,
		statement: histogram("statement_ns"),
		wait:      histogram("queue_wait_ns"),
		server:    histogram("server_time_ns"),
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
	m.statement.Update(int64(took))
}
