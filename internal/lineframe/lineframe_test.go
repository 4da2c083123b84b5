package lineframe_test

import (
	"bufio"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/arbutusring/arbutusring/internal/lineframe"
	"github.com/matryer/is"
)

const maxBytes = 64

// split splits a stream that arrives in the given pieces. Its error is ErrTooLong or nil.
func split(pieces ...string) (texts []string, partial string, err error) {
	s := lineframe.Splitter{MaxBytes: maxBytes}
	for _, p := range pieces {
		for b := []byte(p); len(b) > 0; {
			text, rest, ok, err := s.Next(b)
			if err != nil {
				return texts, "", err
			}
			if ok {
				texts = append(texts, string(text))
			}
			b = rest
		}
	}
	return texts, string(s.Partial()), nil
}

// reference splits a whole stream by the rule alone: a message ends at the first CR LF.
func reference(stream string) (texts []string, partial string, err error) {
	for stream != "" {
		text, rest, ok := strings.Cut(stream, "\r\n")
		switch {
		case ok && len(text)+2 > maxBytes, !ok && len(stream) >= maxBytes:
			return texts, "", lineframe.ErrTooLong
		case !ok:
			return texts, stream, nil
		}
		texts, stream = append(texts, text), rest
	}
	return texts, "", nil
}

// FuzzStream guards against messages that end at another place than the first CR LF, or
// that depend on how the stream arrives in pieces, in both readers.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{"a\nb\r\n", "a\r\r\n\nb\r\n\r\n", "\r", "\r\n", "\n\r\n\r", strings.Repeat("x", 62) + "\r\n", strings.Repeat("x", 63) + "\r\n", strings.Repeat("x", 70)} {
		f.Add(seed, 1)
		f.Add(seed, len(seed)/2)
	}
	f.Fuzz(func(t *testing.T, stream string, at int) {
		want, wantPartial, wantErr := reference(stream)
		at = max(0, min(at, len(stream)))
		for _, pieces := range [][]string{{stream}, {stream[:at], stream[at:]}, strings.Split(stream, "")} {
			got, partial, err := split(pieces...)
			if !reflect.DeepEqual(got, want) || partial != wantPartial || err != wantErr {
				t.Fatalf("%q in %d pieces: %q %q %v, want %q %q %v", stream, len(pieces), got, partial, err, want, wantPartial, wantErr)
			}
		}
		r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(stream)), 16)
		for i := 0; ; i++ {
			got, err := lineframe.Read(r, maxBytes)
			if err != nil {
				if i != len(want) || err != io.EOF && !errors.Is(err, lineframe.ErrTooLong) {
					t.Fatalf("%q: read %d messages, want %d: %v", stream, i, len(want), err)
				}
				return
			}
			if i >= len(want) || got != want[i] {
				t.Fatalf("%q: message %d is %q", stream, i, got)
			}
		}
	})
}

// TestAppendRefusesEnding guards against a text that ends its own message.
func TestAppendRefusesEnding(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"a\r\nQUERY x", "\r\n", "a\r\n"} {
		_, err := lineframe.Append(nil, text)
		is.True(errors.Is(err, lineframe.ErrEndsEarly)) // text
	}
	for _, text := range []string{"", "a\nb", "a\r", "\r\r", "\n\r", "\xff\x00"} {
		b, err := lineframe.Append(nil, text)
		is.NoErr(err)
		got, partial, err := split(string(b))
		is.NoErr(err)
		is.Equal(got, []string{text})
		is.Equal(partial, "")
	}
	for _, text := range []string{"", "a b", " a", "a ", "a\r\nb", "\r\n"} {
		is.True(!lineframe.IsWord(text)) // it would end the field or the message
	}
	is.True(lineframe.IsWord("a\tb\x00\n"))
}
