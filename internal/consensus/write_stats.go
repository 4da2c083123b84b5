package consensus

import "time"

// writeStats records how long the loop waited for log writes. While it waits,
// the node neither sends nor answers heartbeats, so a slow disk can cause
// elections.
type writeStats struct {
	longest time.Duration // longest write since the start
	slow    uint64        // writes longer than the heartbeat interval
}

// record adds a write. It reports whether the write took longer than the
// heartbeat interval.
func (w *writeStats) record(took, heartbeatInterval time.Duration) bool {
	w.longest = max(w.longest, took)
	if took <= heartbeatInterval {
		return false
	}
	w.slow++
	return true
}
