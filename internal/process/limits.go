package process

import (
	"syscall"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/pkg/settings"
)

// callerDescriptors is the fraction of the descriptors of a process that callers may
// use. The rest is for servers, other hosts, operators and files.
const callerDescriptors = 0.75

// callerLimits returns the limits of the listener for callers.
func callerLimits(cfg settings.Entry) limit.Limits {
	return limit.Limits{
		MaxConnections: withinDescriptors(cfg.MaxConnections, callerDescriptors),
		MaxPerAddress:  cfg.MaxConnectionsPerAddress,
		StartupTimeout: cfg.StartupTimeout.Std(),
		MessageTimeout: cfg.MessageTimeout.Std(),
		WriteTimeout:   cfg.WriteTimeout.Std(),
	}
}

// sessionLimits returns the limits of the values of one session.
func sessionLimits(cfg settings.Entry) limit.StateLimits {
	return limit.StateLimits{MaxNames: cfg.MaxSessionNames, MaxBytes: cfg.MaxSessionBytes}
}

// withinDescriptors returns n, but at most a fraction of the descriptors that the process
// may open. n is 0 for no other limit.
func withinDescriptors(n int, fraction float64) int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > 1<<30 {
		return n
	}
	most := max(1, int(fraction*float64(r.Cur)))
	if n <= 0 {
		return most
	}
	return min(n, most)
}
