package owner

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

const (
	sampleSize  = 1028  // values; go-metrics recommends this size for 99.9% confidence
	sampleAlpha = 0.015 // weights the sample towards the last five minutes
)

// ownerMetrics holds the metrics of an Owner. Durations are in microseconds.
type ownerMetrics struct {
	registry    metrics.Registry
	results     map[errkind.Kind]metrics.Counter
	slotWaits   sync.Map // rank name to metrics.Histogram
	serviceTime metrics.Histogram
	commitWait  metrics.Histogram
}

func newMetrics(r metrics.Registry) *ownerMetrics {
	m := &ownerMetrics{
		results:     map[errkind.Kind]metrics.Counter{errkind.OK: metrics.GetOrRegisterCounter("owner.exec.ok", r)},
		registry:    r,
		serviceTime: histogram(r, "owner.service_us"),
		commitWait:  histogram(r, "owner.commit_wait_us"),
	}
	for _, k := range errkind.Kinds() {
		m.results[k] = metrics.GetOrRegisterCounter("owner.exec."+string(k), r)
	}
	return m
}

func histogram(r metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// slotWait returns the histogram of the time that cycles of a rank wait for a
// slot.
func (m *ownerMetrics) slotWait(rank string) metrics.Histogram {
	if h, ok := m.slotWaits.Load(rank); ok {
		return h.(metrics.Histogram)
	}
	h := histogram(m.registry, "owner.slot_wait_us."+rank)
	m.slotWaits.Store(rank, h)
	return h
}

func (m *ownerMetrics) countResult(k errkind.Kind) {
	c, ok := m.results[k]
	if !ok {
		c = m.results[errkind.Internal]
	}
	c.Inc(1)
}

func observeSince(h metrics.Histogram, start time.Time) { h.Update(time.Since(start).Microseconds()) }
