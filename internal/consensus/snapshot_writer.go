package consensus

import "github.com/arbutusring/arbutusring/internal/wal"

// snapshotWriter writes snapshots beside the loop: a large one takes longer
// than the heartbeat interval. The owner hands over one at a time.
type snapshotWriter struct {
	log     *wal.Log
	in      chan *wal.Snapshot
	out     chan snapshotResult // has room for one
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

// run ends when in is closed.
func (w *snapshotWriter) run() {
	defer close(w.stopped)
	for s := range w.in {
		w.out <- snapshotResult{s, w.log.SaveSnapshot(s)}
	}
}
