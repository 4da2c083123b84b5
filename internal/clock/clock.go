// Package clock provides a clock for leases that keeps running while the host is
// suspended. The monotonic clock stops during a suspension, so a resumed process
// would take an expired lease for valid.
//
// # Usage
//
//	until := clock.Now().Add(ttl)
//	valid := clock.Now().Before(until)
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadGap is the longest time between the two monotonic readings around a
	// reading of the boot clock for them to be compared.
	maxReadGap = time.Millisecond
	// maxReadAttempts bounds the attempts to read both clocks without an
	// interruption.
	maxReadAttempts = 3
	// minSuspension is the shortest suspension that is reported. It is well above
	// maxReadGap.
	minSuspension = 5 * time.Millisecond
)

// suspendedAtStart is how long the host had been suspended before this process
// started.
var suspendedAtStart = suspendedSinceBoot()

// Now returns the time on a clock that keeps running while the host is suspended.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Suspended returns how long the host has been suspended since this process
// started.
func Suspended() time.Duration {
	if d := suspendedSinceBoot() - suspendedAtStart; d >= minSuspension {
		return d
	}
	return 0
}

// suspendedSinceBoot returns how long the host has been suspended since it booted:
// the difference between the boot clock and the monotonic clock, which stops
// during a suspension.
func suspendedSinceBoot() time.Duration {
	var d time.Duration
	for range maxReadAttempts {
		before := readClock(unix.CLOCK_MONOTONIC)
		boot := readClock(unix.CLOCK_BOOTTIME)
		after := readClock(unix.CLOCK_MONOTONIC)
		d = boot - before
		if after-before < maxReadGap {
			break
		}
	}
	return d
}

// readClock returns the time on a clock, or 0 if the kernel does not have it. All
// readings of such a clock are equal, so that no suspension is detected.
func readClock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
