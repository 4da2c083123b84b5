package testlog

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// syncInterval is the time between two syncs. Each costs less than a millisecond on
	// an idle disk.
	syncInterval = 200 * time.Millisecond
	// wakeInterval is the time between two wake-ups.
	wakeInterval = 20 * time.Millisecond
)

// machineWatch measures how long the disk takes to make a few bytes durable, and how late
// the test process runs when it is due. A disk or processors that other work keeps busy
// for longer than an election timeout stop the processes of a test, and a test that fails
// then has not found a fault.
type machineWatch struct {
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu          sync.Mutex
	slowestSync moment
	latestWake  moment
}

// startMachineWatch measures the disk that holds folder, and the processors, until stop.
func startMachineWatch(folder string) *machineWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &machineWatch{cancel: cancel}
	w.workers.Go(func() { w.loopSync(ctx, filepath.Join(folder, "disk-watch")) })
	w.workers.Go(func() { w.loopWake(ctx) })
	return w
}

// loopSync syncs a file until ctx ends.
func (w *machineWatch) loopSync(ctx context.Context, name string) {
	for ctx.Err() == nil {
		begun := time.Now()
		if err := writeDurably(name, []byte(begun.String())); err == nil {
			w.record(&w.slowestSync, begun, time.Since(begun))
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncInterval):
		}
	}
}

// loopWake waits for short times until ctx ends.
func (w *machineWatch) loopWake(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(wakeInterval):
			w.record(&w.latestWake, begun, time.Since(begun)-wakeInterval)
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

// record stores a time in m if it is the longest yet.
func (w *machineWatch) record(m *moment, begun time.Time, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if took > m.took {
		*m = moment{begun, took}
	}
}

// stop ends the measurement and returns its results.
func (w *machineWatch) stop() (slowestSync, latestWake moment) {
	w.cancel()
	w.workers.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowestSync, w.latestWake
}
