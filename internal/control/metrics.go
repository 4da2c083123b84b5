package control

import "github.com/rcrowley/go-metrics"

// changeSample is how many changes of a primary the histogram keeps. A
// metrics.Timer is not used, because its goroutine never ends.
const changeSample = 1028

// meters are what a Control counts. They are registered in Options.Metrics
// under "control." and the name that newMeters gives.
type meters struct {
	heartbeats metrics.Counter   // answered as leader
	named      metrics.Counter   // primaries named
	failed     metrics.Counter   // attempts to name a primary that failed
	changeTime metrics.Histogram // ms of attempts that named a primary
	revoked    metrics.Counter   // leases marked as revoking
	assigned   metrics.Counter   // leases assigned
	leads      metrics.Gauge     // 1 while this host leads
}

func newMeters(r metrics.Registry) *meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	r = metrics.NewPrefixedChildRegistry(r, "control.")
	return &meters{
		heartbeats: metrics.NewRegisteredCounter("heartbeats", r),
		named:      metrics.NewRegisteredCounter("primaries_named", r),
		failed:     metrics.NewRegisteredCounter("attempts_failed", r),
		changeTime: metrics.NewRegisteredHistogram("primary_change_ms", r, metrics.NewUniformSample(changeSample)),
		revoked:    metrics.NewRegisteredCounter("leases_revoked", r),
		assigned:   metrics.NewRegisteredCounter("leases_assigned", r),
		leads:      metrics.NewRegisteredGauge("leads", r),
	}
}
