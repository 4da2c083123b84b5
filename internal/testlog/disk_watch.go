package testlog

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// syncInterval is the time between two syncs of a diskWatch. Each costs less than a
// millisecond on an idle disk.
const syncInterval = 200 * time.Millisecond

// diskWatch measures how long the disk takes to make a few bytes durable. A disk that
// other work keeps busy for seconds stops every process that writes a log, and a test
// that fails then has not found a fault.
type diskWatch struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu        sync.Mutex
	slowest   time.Duration
	slowestAt time.Time
}

// startDiskWatch measures the disk that holds folder until stop.
func startDiskWatch(folder string) *diskWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &diskWatch{cancel: cancel, done: make(chan struct{})}
	go w.loop(ctx, filepath.Join(folder, "disk-watch"))
	return w
}

func (w *diskWatch) loop(ctx context.Context, name string) {
	defer close(w.done)
	for ctx.Err() == nil {
		begun := time.Now()
		if err := writeDurably(name, []byte(begun.String())); err == nil {
			w.record(begun, time.Since(begun))
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncInterval):
		}
	}
}

// writeDurably replaces the content of a file and syncs it.
func writeDurably(name string, content []byte) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

func (w *diskWatch) record(begun time.Time, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if took > w.slowest {
		w.slowest, w.slowestAt = took, begun
	}
}

// stop ends the measurement and returns its slowest sync and when that began.
func (w *diskWatch) stop() (time.Duration, time.Time) {
	w.cancel()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowest, w.slowestAt
}
