package relay

import "time"

// maxDrift is the assumed difference between the speeds of the clocks of two hosts.
const maxDrift = 1e-3

// transit estimates how long the frames of a stream were under way, apart from the
// shortest time that any of them took: in queues of either host or of the network, or
// while this host was suspended. A statement whose time has run out on its way must
// not be run, although it arrives now.
type transit struct {
	offset time.Duration // lowest difference between the clocks at arrival; valid if known
	at     time.Time     // when offset was last updated
	known  bool
}

// delay returns the extra time of a frame that was sent at a time on the clock of the
// sender and has arrived now.
func (t *transit) delay(sent time.Duration, now time.Time, started time.Time) time.Duration {
	offset := now.Sub(started) - sent
	if t.known {
		// The clock of the sender may be slower than this one.
		t.offset += time.Duration(maxDrift * float64(now.Sub(t.at)))
	}
	if !t.known || offset < t.offset {
		t.offset, t.known = offset, true
	}
	t.at = now
	return offset - t.offset
}
