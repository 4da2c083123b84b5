package relay

import (
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// clientMetrics holds the metrics of a sender.
type clientMetrics struct {
	registry          metrics.Registry
	statements        metrics.Counter // sent to connectors
	connectorFailures metrics.Counter // streams that failed or could not be opened
}

func newClientMetrics(r metrics.Registry) *clientMetrics {
	return &clientMetrics{
		registry:          r,
		statements:        metrics.GetOrRegisterCounter("relay.statements_sent", r),
		connectorFailures: metrics.GetOrRegisterCounter("relay.connector_failures", r),
	}
}

// refused counts a statement that a connector refused.
func (m *clientMetrics) refused(kind errkind.Kind) {
	metrics.GetOrRegisterCounter("relay.refused."+string(kind), m.registry).Inc(1)
}

// serviceMetrics holds the metrics of a connector.
type serviceMetrics struct {
	registry metrics.Registry
	streams  metrics.Gauge // of other hosts
	pinned   metrics.Gauge // transactions of other hosts
}

func newServiceMetrics(r metrics.Registry) *serviceMetrics {
	return &serviceMetrics{
		registry: r,
		streams:  metrics.GetOrRegisterGauge("relay.peers", r),
		pinned:   metrics.GetOrRegisterGauge("relay.transactions", r),
	}
}

// refusal counts a statement that this connector refused.
func (m *serviceMetrics) refusal(kind errkind.Kind) {
	metrics.GetOrRegisterCounter("relay.refusals."+string(kind), m.registry).Inc(1)
}
