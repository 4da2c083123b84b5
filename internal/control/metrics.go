package control

import "github.com/rcrowley/go-metrics"

// histogramSamples is the sample size of the histogram of primary changes. A
// metrics.Timer is not used, because its goroutine never ends.
const histogramSamples = 1028

// controlMetrics holds the metrics of a Control. They are registered in
// Options.Registry under the names in newMetrics with the prefix "control.".
type controlMetrics struct {
	heartbeats     metrics.Counter   // heartbeats answered as leader
	primariesNamed metrics.Counter   // primaries named
	attemptsFailed metrics.Counter   // attempts to name a primary that failed
	changeDuration metrics.Histogram // duration of successful attempts in ms
	leasesRevoked  metrics.Counter   // leases marked as revoking
	leasesAssigned metrics.Counter   // leases assigned
	leading        metrics.Gauge     // 1 while this host is the leader, otherwise 0
}

func newMetrics(r metrics.Registry) *controlMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	r = metrics.NewPrefixedChildRegistry(r, "control.")
	return &controlMetrics{
		heartbeats:     metrics.NewRegisteredCounter("heartbeats", r),
		primariesNamed: metrics.NewRegisteredCounter("primaries_named", r),
		attemptsFailed: metrics.NewRegisteredCounter("attempts_failed", r),
		changeDuration: metrics.NewRegisteredHistogram("primary_change_ms", r, metrics.NewUniformSample(histogramSamples)),
		leasesRevoked:  metrics.NewRegisteredCounter("leases_revoked", r),
		leasesAssigned: metrics.NewRegisteredCounter("leases_assigned", r),
		leading:        metrics.NewRegisteredGauge("leads", r),
	}
}
