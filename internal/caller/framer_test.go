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

// frame feeds the stream in pieces of the given size and returns the cycles.
func frame(stream []byte, piece int) ([]caller.Cycle, int, error) {
	f := caller.Framer{MaxMessage: fuzzMaxMessage, MaxCycle: fuzzMaxCycle}
	var cycles []caller.Cycle
	for len(stream) > 0 {
		n := min(piece, len(stream))
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

// FuzzFramer guards against cycles that depend on how the network cuts the
// stream, against losing or inventing bytes, and against buffering without
// bound.
func FuzzFramer(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x0dselect 1\x00"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, piece uint8) {
		whole, left, err := frame(stream, len(stream)+1)
		if err != nil && errkind.Of(err) != errkind.BadRequest {
			t.Fatalf("error of kind %s", errkind.Of(err))
		}
		cut, _, errCut := frame(stream, int(piece)+1)
		if (err == nil) != (errCut == nil) || len(whole) != len(cut) {
			t.Fatalf("%d cycles and %v, in pieces %d cycles and %v", len(whole), err, len(cut), errCut)
		}
		total := left
		for i, c := range whole {
			if c.Kind != cut[i].Kind || !bytes.Equal(c.Messages, cut[i].Messages) {
				t.Fatalf("cycle %d is %q, in pieces %q", i, c.Messages, cut[i].Messages)
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
