// Package clock tells the time for leases. The monotonic clock stands still
// while a host is suspended, so a process that wakes up would take a lease
// that ran out long ago for valid.
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
	// precision is the largest distance of two clock readings that belong
	// together.
	precision = time.Millisecond
	// readings bounds the attempts to read both clocks without an interruption.
	readings = 3
	// shortest is the shortest suspension that counts, well above precision.
	shortest = 5 * time.Millisecond
)

// offset is the time that the host was suspended before this process started.
var offset = difference()

// Now returns the time on a clock that goes on while the host is suspended.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Suspended returns for how long the host was suspended since this process
// started.
func Suspended() time.Duration {
	if d := difference() - offset; d >= shortest {
		return d
	}
	return 0
}

// difference returns how much further the boot clock is than the monotonic one.
func difference() time.Duration {
	var d time.Duration
	for range readings {
		before := read(unix.CLOCK_MONOTONIC)
		boot := read(unix.CLOCK_BOOTTIME)
		after := read(unix.CLOCK_MONOTONIC)
		d = boot - before
		if after-before < precision {
			break
		}
	}
	return d
}

// read returns 0 for a clock that the kernel does not have; all readings of it
// are then equal, and no suspension is seen.
func read(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
