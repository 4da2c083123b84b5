package process_test

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// readBound is the time within which a control host must answer a read while there is
// a leader: callers ask another host after it.
const readBound = time.Second

// configReader reads the configuration at one control host, again and again, until its
// context ends.
type configReader struct {
	id    string
	reads []configRead
}

// errOtherDocument is the error of a read of another configuration than the newest.
var errOtherDocument = errors.New("another configuration was read")

func (c *configReader) run(ctx context.Context, get func(context.Context) ([]byte, error), want []byte) {
	for ctx.Err() == nil {
		begun := time.Now()
		document, err := get(context.WithoutCancel(ctx))
		if err == nil && !bytes.Equal(document, want) {
			err = errOtherDocument
		}
		c.reads = append(c.reads, configRead{begun, time.Since(begun), err})
		time.Sleep(10 * time.Millisecond)
	}
}

// startReads reads the configuration at each of the hosts until stop is called, which
// returns the reads.
func (d *directories) startReads(ids []string, want []byte) (stop func() []*configReader) {
	ctx, cancel := context.WithCancel(d.t.Context())
	var wg sync.WaitGroup
	var out []*configReader
	for _, id := range ids {
		c := &configReader{id: id}
		out = append(out, c)
		get := d.planes[id].Get
		wg.Go(func() { c.run(ctx, get, want) })
	}
	return func() []*configReader {
		cancel()
		wg.Wait()
		return out
	}
}

// checkReads fails the test if a read that began after since failed, was answered with
// another configuration or took longer than readBound.
func checkReads(t *testing.T, readers []*configReader, since time.Time) {
	t.Helper()
	for _, c := range readers {
		reads, slowest := 0, time.Duration(0)
		for _, r := range c.reads {
			if r.begun.Before(since) {
				continue
			}
			reads++
			slowest = max(slowest, r.took)
			if r.err != nil || r.took > readBound {
				t.Errorf("%s: a read after %v took %v: %v", c.id, r.begun.Sub(since), r.took, r.err)
			}
		}
		t.Logf("%s: %d reads, slowest %v", c.id, reads, slowest.Round(time.Millisecond))
		if reads == 0 {
			t.Errorf("%s: nothing was read", c.id)
		}
	}
}
