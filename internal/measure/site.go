// Package measure runs the real entry, owner and control code against stand-in
// database servers with the latencies, slots, connection limits and connect
// delays of the two sites, and reports the figures that callers observe.
//
// # Usage
//
//	go test -run xxx -bench Failover     -benchtime 50x ./internal/measure
//	go test -run xxx -bench ReplicaReads -benchtime 3x  ./internal/measure
//	go test -run xxx -bench Flood        -benchtime 3x  ./internal/measure
//
// Each iteration is one run of several seconds; the reported figures are the
// median or the worst over the runs.
package measure

import (
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/faulttest"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/rs/zerolog"
)

// Site describes one deployment.
type Site struct {
	Name          string
	RegionLatency time.Duration // one way
	CallerLatency time.Duration // one way, between caller and entry host; not simulated, to be added to the reported latencies
	Slots         int           // statements that a server executes at one time
	Connections   int           // connection limit of a server
	ConnectDelay  time.Duration // time that a server takes to accept a connection
	Entries       int           // entry hosts
}

// Sites are the current deployments.
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

// Options returns the options of an installation of the site. A replica receives
// a log record after the one-way latency between regions.
func (s Site) Options(folder string, serviceTime time.Duration, policy string) faulttest.Options {
	return faulttest.Options{
		Folder: folder, Entries: s.Entries, Policy: policy, RegionLatency: s.RegionLatency, Logger: zerolog.Nop(),
		Standin: standin.Options{
			Slots: s.Slots, Connections: s.Connections, ConnectDelay: s.ConnectDelay, ServiceTime: serviceTime,
			ReplicationDelay: s.RegionLatency,
		},
	}
}

// Median returns the median of the durations, or zero if there are none.
func Median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}

// Worst returns the longest of the durations, or zero if there are none.
func Worst(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	return slices.Max(durations)
}
