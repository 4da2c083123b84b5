package owner

import (
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
	kinds      map[errkind.Kind]metrics.Counter
	slotWait   metrics.Histogram
	service    metrics.Histogram
	commitWait metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	m := &meters{
		kinds:      map[errkind.Kind]metrics.Counter{errkind.OK: metrics.GetOrRegisterCounter("owner.exec.ok", r)},
		slotWait:   histogram(r, "owner.slot_wait_us"),
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

func (m *meters) count(k errkind.Kind) {
	c, ok := m.kinds[k]
	if !ok {
		c = m.kinds[errkind.Internal]
	}
	c.Inc(1)
}

func since(h metrics.Histogram, start time.Time) { h.Update(time.Since(start).Microseconds()) }
