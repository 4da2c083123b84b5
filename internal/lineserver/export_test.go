package lineserver

import (
	"github.com/arbutusring/arbutusring/internal/limit"
)

// SplitLines passes pieces of input to a connection that runs no line. It returns the
// queued lines, the incomplete one, and why the rest is refused.
func SplitLines(maxLineBytes int, pieces ...[]byte) (lines []string, partial string, refused limit.Reason) {
	s := New(Options{MaxLineBytes: maxLineBytes})
	defer s.workers.Close()
	c := &conn{srv: s, running: true}
	c.input.MaxBytes = maxLineBytes
	for _, p := range pieces {
		if c.refused == limit.None {
			c.splitLines(p)
		}
	}
	for _, line := range c.queued {
		lines = append(lines, string(line.Text))
	}
	return lines, string(c.input.Partial()), c.refused
}
