package entry

import (
	"errors"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// entryMetrics holds the metrics of an Entry, registered under "entry.".
type entryMetrics struct {
	registry       metrics.Registry
	cycleDuration  metrics.Histogram // duration in ns of the cycles that need a server
	readsReplica   metrics.Counter
	readsPrimary   metrics.Counter
	writes         metrics.Counter
	retries        metrics.Counter
	hedges         metrics.Counter
	outcomesAsked  metrics.Counter // requests without an answer whose outcome was queried
	budgetEmpty    metrics.Counter // retries that were delayed or refused because the retry budget was empty
	refusedLocally metrics.Counter // cycles refused without a request, because the queues are known to be full
	openedTx       metrics.Counter // transactions opened
	abandonedTx    metrics.Counter // transactions abandoned after a loss, a refusal or a disconnect
}

func newMetrics(r metrics.Registry) *entryMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("entry."+name, r) }
	return &entryMetrics{
		registry: r,
		// Not a Timer, because its meters start a goroutine that tests cannot stop.
		cycleDuration:  metrics.GetOrRegisterHistogram("entry.cycle_ns", r, metrics.NewExpDecaySample(1028, 0.015)),
		readsReplica:   counter("reads_replica"),
		readsPrimary:   counter("reads_primary"),
		writes:         counter("writes"),
		retries:        counter("retries"),
		hedges:         counter("hedges"),
		outcomesAsked:  counter("outcomes_asked"),
		budgetEmpty:    counter("retry_budget_empty"),
		refusedLocally: counter("refused_locally"),
		openedTx:       counter("transactions_opened"),
		abandonedTx:    counter("transactions_abandoned"),
	}
}

// countRefusal counts an error answer by its kind or SQLSTATE.
func (m *entryMetrics) countRefusal(err error) {
	name := string(errkind.Of(err))
	var state *caller.SQLState
	if errors.As(err, &state) {
		name = "sqlstate_" + state.Code
	}
	metrics.GetOrRegisterCounter("entry.errors."+name, m.registry).Inc(1)
}
