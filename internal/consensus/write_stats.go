package consensus

import "time"

// writeStats tells how long the loop waited for the disk. While it waits, the
// node neither sends nor answers heartbeats, so a slow disk costs elections.
type writeStats struct {
	longest time.Duration // since the start
	slow    uint64        // writes longer than the heartbeat interval
}

// note adds a write. It reports whether the write was slow.
func (w *writeStats) note(took, heartbeat time.Duration) bool {
	w.longest = max(w.longest, took)
	if took <= heartbeat {
		return false
	}
	w.slow++
	return true
}
