package process_test

import (
	"bytes"
	"context"
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
	id      string
	reads   int
	failed  int
	slowest time.Duration
	lastErr error
}

func (c *configReader) run(ctx context.Context, get func(context.Context) ([]byte, error), want []byte) {
	for ctx.Err() == nil {
		begun := time.Now()
		document, err := get(context.WithoutCancel(ctx))
		c.reads++
		c.slowest = max(c.slowest, time.Since(begun))
		if err != nil || !bytes.Equal(document, want) {
			c.failed++
			c.lastErr = err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// read reads the configuration at each of the hosts for a time.
func (d *directories) read(ids []string, want []byte, period time.Duration) []*configReader {
	ctx, cancel := context.WithTimeout(d.t.Context(), period)
	defer cancel()
	var wg sync.WaitGroup
	var out []*configReader
	for _, id := range ids {
		c := &configReader{id: id}
		out = append(out, c)
		get := d.planes[id].Get
		wg.Go(func() { c.run(ctx, get, want) })
	}
	wg.Wait()
	return out
}

// checkReads fails the test if a read failed, was answered with another configuration
// or took longer than readBound.
func checkReads(t *testing.T, readers []*configReader) {
	t.Helper()
	for _, c := range readers {
		t.Logf("%s: %d reads, slowest %v", c.id, c.reads, c.slowest.Round(time.Millisecond))
		if c.failed > 0 || c.slowest > readBound {
			t.Errorf("%s: %d of %d reads failed, the slowest took %v, last error: %v", c.id, c.failed, c.reads, c.slowest, c.lastErr)
		}
	}
}
