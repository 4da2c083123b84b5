package logpos_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestPositionsCompareTermFirst guards against serving a session from a member
// whose longer log belongs to an abandoned term.
func TestPositionsCompareTermFirst(t *testing.T) {
	is := is.New(t)
	is.True(logpos.Position{Term: 2, LSN: 5}.AtLeast(logpos.Position{Term: 1, LSN: 9}))
	is.True(!logpos.Position{Term: 1, LSN: 9}.AtLeast(logpos.Position{Term: 2, LSN: 5}))
	is.True(logpos.Position{Term: 2, LSN: 5}.AtLeast(logpos.Position{Term: 2, LSN: 5}))
}

// TestTokenRoundTrip guards against a token that another proxy reads
// differently, and against accepting a token that was altered.
func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tok := logpos.Token{
			Group:    rapid.StringMatching(`[a-z][a-z0-9_-]{0,20}`).Draw(t, "group"),
			Position: logpos.Position{Term: rapid.Uint64().Draw(t, "term"), LSN: rapid.Uint64().Draw(t, "lsn")},
		}
		s := tok.String()
		back, err := logpos.ParseToken(s)
		if err != nil || back != tok {
			t.Fatalf("read back %v, %v; want %v", back, err, tok)
		}
		i := rapid.IntRange(0, len(s)-1).Draw(t, "index")
		altered := []byte(s)
		altered[i]++
		if _, err := logpos.ParseToken(string(altered)); err == nil {
			t.Fatalf("accepted altered token %q", altered)
		}
	})
}
