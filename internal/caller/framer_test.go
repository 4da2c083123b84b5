package caller_test

import (
	"bytes"
	"testing"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	fuzzMaxMessage = 1 << 10
	fuzzMaxCycle   = 2 << 10
)

// splitCycles feeds the stream to a Framer in chunks of the given size. It
// returns the cycles and the number of bytes left in the buffer.
func splitCycles(stream []byte, chunkSize int) ([]caller.Cycle, int, error) {
	f := caller.Framer{MaxMessageBytes: fuzzMaxMessage, MaxCycleBytes: fuzzMaxCycle}
	var cycles []caller.Cycle
	for len(stream) > 0 {
		n := min(chunkSize, len(stream))
		f.Push(stream[:n])
		stream = stream[n:]
		for {
			c, ok, err := f.Next()
			if err != nil {
				return cycles, f.Buffered(), err
			}
			if !ok {
				break
			}
			cycles = append(cycles, c)
		}
	}
	return cycles, f.Buffered(), nil
}

// FuzzFramer guards against cycles that depend on how the network segments the
// stream, against lost or duplicated bytes, and against unbounded buffering.
func FuzzFramer(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x0dselect 1\x00"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, chunkSize uint8) {
		whole, left, err := splitCycles(stream, len(stream)+1)
		if err != nil && errkind.Of(err) != errkind.BadRequest {
			t.Fatalf("error of kind %s", errkind.Of(err))
		}
		chunked, _, errChunked := splitCycles(stream, int(chunkSize)+1)
		if (err == nil) != (errChunked == nil) || len(whole) != len(chunked) {
			t.Fatalf("%d cycles and %v, in chunks %d cycles and %v", len(whole), err, len(chunked), errChunked)
		}
		total := left
		for i, c := range whole {
			if c.Kind != chunked[i].Kind || !bytes.Equal(c.Messages, chunked[i].Messages) {
				t.Fatalf("cycle %d is %q, in chunks %q", i, c.Messages, chunked[i].Messages)
			}
			if len(c.Messages) > fuzzMaxCycle || !bytes.Contains(stream, c.Messages) {
				t.Fatalf("cycle %d has %d bytes", i, len(c.Messages))
			}
			total += len(c.Messages)
		}
		if total > len(stream) || err == nil && left > fuzzMaxCycle {
			t.Fatalf("%d of %d bytes in cycles and buffer, %d in buffer", total, len(stream), left)
		}
	})
}
