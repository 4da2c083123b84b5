package process_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/process"
)

var massRestarts = flag.Int("mass.restarts", 2, "number of restarts of TestReadsAfterMassRestart")

// massRestartHosts is the number of control hosts, nine tenths of which are killed.
const massRestartHosts = 10

// versionLog records the acknowledged versions of the configuration and the reads that
// contradict them.
type versionLog struct {
	mu    sync.Mutex
	acked uint64 // highest acknowledged version
	stale []string
	reads int // reads that were answered
}

// highest returns the highest acknowledged version.
func (v *versionLog) highest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.acked
}

func (v *versionLog) recordAck(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.acked = max(v.acked, version)
}

// recordRead records the answer to a read that was sent when acked was the highest
// acknowledged version.
func (v *versionLog) recordRead(host string, acked uint64, document []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reads++
	if read, err := strconv.ParseUint(string(document), 10, 64); err != nil || read < acked {
		v.stale = append(v.stale, fmt.Sprintf("%s answered with %q, %d was acknowledged before the read: %v", host, document, acked, err))
	}
}

// runWriter puts one version after the other at random hosts until ctx ends.
func (v *versionLog) runWriter(ctx context.Context, planes func() []process.ControlPlane) {
	for version := v.highest() + 1; ctx.Err() == nil; version++ {
		all := planes()
		if all[rand.IntN(len(all))].Put(context.WithoutCancel(ctx), version, []byte(strconv.FormatUint(version, 10))) == nil {
			v.recordAck(version)
		}
	}
}

// runReader reads at one host until ctx ends.
func (v *versionLog) runReader(ctx context.Context, host string, plane process.ControlPlane) {
	for ctx.Err() == nil {
		acked := v.highest()
		if document, err := plane.Get(context.WithoutCancel(ctx)); err == nil && (document != nil || acked > 0) {
			v.recordRead(host, acked, document)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestReadsAfterMassRestart guards against a read of the configuration that is answered
// with an earlier version than one that was acknowledged before, or with none, while nine
// tenths of the control hosts are killed at once and start again.
func TestReadsAfterMassRestart(t *testing.T) {
	r := newRand(t)
	d := startDirectories(t, massRestartHosts)
	eventually(t, "seven hosts vote", func() bool { return d.voters() == 7 })
	var planes atomic.Pointer[[]process.ControlPlane]
	publish := func() {
		var all []process.ControlPlane
		for id := range d.running {
			all = append(all, d.planes[id])
		}
		planes.Store(&all)
	}
	publish()
	v := new(versionLog)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { v.runWriter(ctx, func() []process.ControlPlane { return *planes.Load() }) })
	startReader := func(id string) {
		plane := d.planes[id]
		wg.Go(func() { v.runReader(ctx, id, plane) })
	}
	for _, id := range d.ids {
		startReader(id)
	}
	for range *massRestarts {
		time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
		killed := pick(r, d.ids, massRestartHosts*9/10)
		var kills sync.WaitGroup
		for _, id := range killed {
			p := d.running[id]
			delete(d.running, id)
			kills.Go(func() { abort(p) })
		}
		kills.Wait()
		publish()
		before := v.highest()
		for _, id := range killed {
			time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
			d.start(id, true, pick(r, d.ids, 3))
			startReader(id)
		}
		publish()
		begun := time.Now()
		eventually(t, "a later version is acknowledged", func() bool { return v.highest() > before })
		t.Logf("version %d was acknowledged before the kill, the next one %v after the last start", before, time.Since(begun).Round(time.Millisecond))
	}
	cancel()
	wg.Wait()
	for _, s := range v.stale {
		t.Error(s)
	}
	t.Logf("%d reads, %d versions", v.reads, v.highest())
	for _, id := range d.ids {
		document, err := d.planes[id].Get(context.Background())
		if version, perr := strconv.ParseUint(string(document), 10, 64); err != nil || perr != nil || version < v.highest() {
			t.Errorf("%s: read back %q: %v; version %d was acknowledged", id, document, err, v.highest())
		}
	}
}
