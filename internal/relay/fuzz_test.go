package relay_test

import (
	"bytes"
	"testing"

	"github.com/arbutusring/arbutusring/internal/relay"
	"github.com/arbutusring/arbutusring/internal/statement"
)

// FuzzDecode guards against bytes of a peer that crash the decoder, and against
// messages that change when they are decoded and encoded again.
func FuzzDecode(f *testing.F) {
	f.Add(relay.EncodeHello("e1"))
	f.Add(relay.EncodeCall(1, 2, statement.Write))
	f.Add([]byte("\xdd\xff\xff\xff\xffa"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		if first, second := relay.RoundTrip(frame); !bytes.Equal(first, second) {
			t.Errorf("%q was encoded as %q and then as %q", frame, first, second)
		}
	})
}
