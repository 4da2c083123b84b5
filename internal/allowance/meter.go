package allowance

import (
	"math"
	"time"
)

// meterMemory is the time over which a meter averages.
const meterMemory = 2 * time.Second

// meter measures the recent rate of operations.
type meter struct {
	rate float64 // a second, as of at
	at   time.Time
}

// add counts n operations.
func (m *meter) add(now time.Time, n uint64) {
	m.rate, m.at = m.perSecond(now)+float64(n)/meterMemory.Seconds(), now
}

// perSecond returns the rate.
func (m *meter) perSecond(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/meterMemory.Seconds())
}
