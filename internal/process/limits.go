package process

import (
	"syscall"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/pkg/settings"
)

const (
	// reservedFraction and maxReserved give the descriptors that callers leave to servers,
	// other hosts, operators and files. With 12,600 descriptors, 10,000 callers fit.
	reservedFraction = 0.25
	maxReserved      = 1500
	// peerFraction and operatorFraction are the fractions of the descriptors for
	// connections from other hosts and from operators, beside callers; the others hold
	// in a process without callers, which every gateway of an installation may call.
	peerFraction, operatorFraction               = 0.125, 0.0625
	controlPeerFraction, controlOperatorFraction = 0.625, 0.25
)

// descriptors returns the number of descriptors that the process may open, or 0 if there
// is no limit.
func descriptors() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > 1<<30 {
		return 0
	}
	return int(r.Cur)
}

// callerConnections returns the number of callers' connections: n, or less if there are
// not enough descriptors.
func callerConnections(n int) int {
	d := descriptors()
	if d == 0 {
		return n
	}
	most := d - min(maxReserved, int(reservedFraction*float64(d)))
	if n <= 0 {
		return most
	}
	return min(n, most)
}

// peerConnections returns the number of connections from other hosts.
func peerConnections(cfg settings.Listen) int {
	if cfg.Callers == "" {
		return int(controlPeerFraction * float64(descriptors()))
	}
	return int(peerFraction * float64(descriptors()))
}

// operatorConnections returns the number of connections to the operator address.
func operatorConnections(cfg settings.Listen) int {
	if cfg.Callers == "" {
		return int(controlOperatorFraction * float64(descriptors()))
	}
	return int(operatorFraction * float64(descriptors()))
}

// callerLimits returns the limits of the listener for callers.
func callerLimits(cfg settings.Entry) limit.Limits {
	return limit.Limits{
		MaxConnections: callerConnections(cfg.MaxConnections),
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

// maxOutcomeBytes is the default of owner.Limits.OutcomeBytes.
const maxOutcomeBytes = 64 << 20

// outcomeBytes returns the size of the stored answers of an owner: at most an eighth of
// the memory of the process.
func outcomeBytes(memoryMB int) int {
	if memoryMB <= 0 {
		return maxOutcomeBytes
	}
	return min(maxOutcomeBytes, memoryMB<<20/8)
}
