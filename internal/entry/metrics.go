package entry

import (
	"errors"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// entryMetrics are the metrics of an Entry, registered under "entry.".
type entryMetrics struct {
	registry       metrics.Registry
	cycle          metrics.Histogram // duration in ns of the cycles that needed a server
	readsReplica   metrics.Counter
	readsPrimary   metrics.Counter
	writes         metrics.Counter
	retries        metrics.Counter
	hedges         metrics.Counter
	asked          metrics.Counter // outcomes asked for
	budgetEmpty    metrics.Counter // retries delayed for want of budget
	refusedLocally metrics.Counter // without asking an owner
	openTx         metrics.Counter // transactions opened
	abandonedTx    metrics.Counter // transactions lost or refused
}

func newMetrics(r metrics.Registry) *entryMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("entry."+name, r) }
	return &entryMetrics{
		registry: r,
		// Not a Timer: its meters start a goroutine that no test can stop.
		cycle:          metrics.GetOrRegisterHistogram("entry.cycle_ns", r, metrics.NewExpDecaySample(1028, 0.015)),
		readsReplica:   counter("reads_replica"),
		readsPrimary:   counter("reads_primary"),
		writes:         counter("writes"),
		retries:        counter("retries"),
		hedges:         counter("hedges"),
		asked:          counter("outcomes_asked"),
		budgetEmpty:    counter("retry_budget_empty"),
		refusedLocally: counter("refused_locally"),
		openTx:         counter("transactions_opened"),
		abandonedTx:    counter("transactions_abandoned"),
	}
}

// refused counts an error answer by its kind.
func (m *entryMetrics) refused(err error) {
	name := string(errkind.Of(err))
	var state *caller.SQLState
	if errors.As(err, &state) {
		name = "sqlstate_" + state.Code
	}
	metrics.GetOrRegisterCounter("entry.errors."+name, m.registry).Inc(1)
}
