package gateway

import (
	"strconv"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// gatewayMetrics holds the metrics of a gateway. docs/OPERATIONS.md lists them.
type gatewayMetrics struct {
	registry             metrics.Registry
	statementTime        metrics.Histogram // in ns: from the caller's request to its answer, including waits
	queueWait            metrics.Histogram // in ns: time in the queue of a server
	serverTime           metrics.Histogram // in ns: time from sending to the answer
	replicaReads         metrics.Counter
	primaryStatements    metrics.Counter
	retries              metrics.Counter
	customers            *customerTallies
	connectionsOpened    metrics.Counter
	connectionsExchanged metrics.Counter // opened in place of one of another customer
	abortedTransactions  metrics.Counter // transactions aborted by this host
	keysRefused          metrics.Counter // callers with an unknown key
	connectorChanges     metrics.Counter
	connections          metrics.Gauge   // of this host to all servers
	logicalConnections   metrics.Gauge   // through connectors, in use
	lent                 metrics.Counter // statements of other hosts that were sent to a server
	messagesRefused      metrics.Counter // messages of callers that are malformed
	answersSkipped       metrics.Counter // copies of earlier answers
	answersRejected      metrics.Counter // answers that could not be attributed
}

func newMetrics(r metrics.Registry) *gatewayMetrics {
	// metrics.Timer is not used: its meter starts a goroutine that tests can't stop.
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("gateway."+name, r, metrics.NewExpDecaySample(1028, 0.015))
	}
	return &gatewayMetrics{
		registry:             r,
		statementTime:        histogram("statement_ns"),
		queueWait:            histogram("queue_wait_ns"),
		serverTime:           histogram("server_time_ns"),
		replicaReads:         metrics.GetOrRegisterCounter("gateway.reads_replica", r),
		primaryStatements:    metrics.GetOrRegisterCounter("gateway.statements_primary", r),
		retries:              metrics.GetOrRegisterCounter("gateway.retries", r),
		keysRefused:          metrics.GetOrRegisterCounter("gateway.keys_refused", r),
		customers:            newCustomerTallies(r),
		connectionsOpened:    metrics.GetOrRegisterCounter("gateway.connections_opened", r),
		connectionsExchanged: metrics.GetOrRegisterCounter("gateway.connections_exchanged", r),
		abortedTransactions:  metrics.GetOrRegisterCounter("gateway.transactions_aborted", r),
		connections:          metrics.GetOrRegisterGauge("gateway.connections", r),
		logicalConnections:   metrics.GetOrRegisterGauge("gateway.connections_logical", r),
		connectorChanges:     metrics.GetOrRegisterCounter("gateway.connector_changes", r),
		answersSkipped:       metrics.GetOrRegisterCounter("gateway.answers_skipped", r),
		answersRejected:      metrics.GetOrRegisterCounter("gateway.answers_rejected", r),
		messagesRefused:      metrics.GetOrRegisterCounter("gateway.messages_refused", r),
		lent:                 metrics.GetOrRegisterCounter("gateway.statements_of_other_hosts", r),
	}
}

// recordOpened counts a connection that was opened for a customer.
func (m *gatewayMetrics) recordOpened(customer string, exchanged bool) {
	m.connectionsOpened.Inc(1)
	if exchanged {
		m.connectionsExchanged.Inc(1)
	}
	m.customers.count(customer, func(c *customerCounts) {
		c.Opened++
		if exchanged {
			c.Exchanged++
		}
	})
}

// count records the result of a statement by rank and kind of error.
func (m *gatewayMetrics) count(rank int, kind errkind.Kind, took time.Duration) {
	if kind == errkind.OK {
		kind = "ok"
	}
	metrics.GetOrRegisterCounter("gateway.statements.rank_"+strconv.Itoa(rank)+"."+string(kind), m.registry).Inc(1)
	m.statementTime.Update(int64(took))
}
