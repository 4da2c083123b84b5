package owner

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

const (
	sampleSize  = 1028  // values, as go-metrics recommends for 99.9% confidence
	sampleAlpha = 0.015 // weighs the last five minutes
)

// meters are the metrics of an owner. Durations are in microseconds.
type meters struct {
	registry   metrics.Registry
	kinds      map[errkind.Kind]metrics.Counter
	waits      sync.Map // rank to metrics.Histogram
	service    metrics.Histogram
	commitWait metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	m := &meters{
		kinds:      map[errkind.Kind]metrics.Counter{errkind.OK: metrics.GetOrRegisterCounter("owner.exec.ok", r)},
		registry:   r,
		service:    histogram(r, "owner.service_us"),
		commitWait: histogram(r, "owner.commit_wait_us"),
	}
	for _, k := range errkind.Kinds() {
		m.kinds[k] = metrics.GetOrRegisterCounter("owner.exec."+string(k), r)
	}
	return m
}

func histogram(r metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// slotWait returns the histogram of the time that a rank waits for slots.
func (m *meters) slotWait(rank string) metrics.Histogram {
	if h, ok := m.waits.Load(rank); ok {
		return h.(metrics.Histogram)
	}
	h := histogram(m.registry, "owner.slot_wait_us."+rank)
	m.waits.Store(rank, h)
	return h
}

func (m *meters) count(k errkind.Kind) {
	c, ok := m.kinds[k]
	if !ok {
		c = m.kinds[errkind.Internal]
	}
	c.Inc(1)
}

func since(h metrics.Histogram, start time.Time) { h.Update(time.Since(start).Microseconds()) }
