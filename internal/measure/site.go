// Package measure drives real entry, owner and control code against stand-in
// database servers with the latencies, slots, connection limits and connect
// times of the two sites, and reports what the users measure.
//
// # Usage
//
//	go test -run xxx -bench Failover     -benchtime 50x ./internal/measure
//	go test -run xxx -bench ReplicaReads -benchtime 3x  ./internal/measure
//	go test -run xxx -bench Flood        -benchtime 3x  ./internal/measure
//
// Each iteration is one run of several seconds; the reported figures are the
// median and the worst of the runs.
package measure

import (
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/rs/zerolog"
)

// Site holds the figures of one deployment.
type Site struct {
	Name          string
	RegionLatency time.Duration // one way
	CallerLatency time.Duration // one way; added to reported latencies by the reader, not by the run
	Slots         int
	Connections   int
	ConnectDelay  time.Duration
	Entries       int
}

// Sites are the deployments of today.
var Sites = []Site{
	{
		Name: "lon_comhar", RegionLatency: 20 * time.Millisecond, CallerLatency: time.Millisecond,
		Slots: 3, Connections: 25, ConnectDelay: 10 * time.Millisecond, Entries: 7,
	},
	{
		Name: "astc", RegionLatency: 10 * time.Millisecond, CallerLatency: 3 * time.Millisecond,
		Slots: 3, Connections: 40, ConnectDelay: 10 * time.Millisecond, Entries: 7,
	},
}

// Options returns an installation of the site. A replica receives a record
// after the one-way latency between regions.
func (s Site) Options(folder string, service time.Duration, policy string) faulttest.Options {
	return faulttest.Options{
		Folder: folder, Entries: s.Entries, Policy: policy, RegionLatency: s.RegionLatency, Logger: zerolog.Nop(),
		Standin: standin.Options{
			Slots: s.Slots, Connections: s.Connections, ConnectDelay: s.ConnectDelay, ServiceTime: service,
			ReplicationDelay: s.RegionLatency,
		},
	}
}

// Median returns the median of durations; it is zero for none.
func Median(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[len(sorted)/2]
}

// Worst returns the greatest of durations.
func Worst(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	return slices.Max(all)
}
