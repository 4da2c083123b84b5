package consensus

import "github.com/arbutusring/arbutusring/internal/wal"

// snapshotWriter writes snapshots in a goroutine of its own, because writing a
// large one takes longer than the heartbeat interval. The loop of the node sends
// one snapshot at a time and receives its result before the next.
type snapshotWriter struct {
	log     *wal.Log
	in      chan *wal.Snapshot
	out     chan snapshotResult // buffered for one result
	stopped chan struct{}
}

type snapshotResult struct {
	snapshot *wal.Snapshot
	err      error
}

func newSnapshotWriter(log *wal.Log) *snapshotWriter {
	return &snapshotWriter{
		log:     log,
		in:      make(chan *wal.Snapshot),
		out:     make(chan snapshotResult, 1),
		stopped: make(chan struct{}),
	}
}

// run writes snapshots until in is closed.
func (w *snapshotWriter) run() {
	defer close(w.stopped)
	for s := range w.in {
		w.out <- snapshotResult{s, w.log.SaveSnapshot(s)}
	}
}
