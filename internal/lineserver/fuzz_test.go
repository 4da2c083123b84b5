package lineserver_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/lineserver"
)

// FuzzSplitLines guards against lines that depend on how the input arrives in pieces,
// against an incomplete line that is taken for a whole one, and against kept input above
// the limit.
func FuzzSplitLines(f *testing.F) {
	f.Add([]byte("CONNECT a b\r\nQUERY 1 FETCH k\n\nrest\r\n\r"), 7)
	f.Add([]byte(strings.Repeat("x", 70)+"\r\n"), 64)
	f.Add([]byte(strings.Repeat("x", 62)+"\r\n\n\r\n"), 10)
	f.Fuzz(func(t *testing.T, input []byte, at int) {
		const maxLineBytes = 64
		lines, partial, refused := lineserver.SplitLines(maxLineBytes, input)
		at = max(0, min(at, len(input)))
		lines2, partial2, refused2 := lineserver.SplitLines(maxLineBytes, input[:at], input[at:])
		if !reflect.DeepEqual(lines, lines2) || partial != partial2 || refused != refused2 {
			t.Fatalf("whole: %q %q %q, in two pieces: %q %q %q", lines, partial, refused, lines2, partial2, refused2)
		}
		if len(partial) >= maxLineBytes {
			t.Fatalf("%d bytes of an incomplete line are kept", len(partial))
		}
		rest := string(input)
		for _, line := range lines {
			got, after, ok := strings.Cut(rest, "\r\n")
			if !ok || got != line || len(got)+2 > maxLineBytes {
				t.Fatalf("line %q of %q", line, got)
			}
			rest = after
		}
		if refused == limit.None && rest != partial || refused == limit.Memory {
			t.Fatalf("rest %q, incomplete line %q, refused %q", rest, partial, refused)
		}
	})
}
