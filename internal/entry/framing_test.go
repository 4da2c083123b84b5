package entry_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/matryer/is"
)

// TestMalformedMessagesAreRefused guards against messages of which only a part is
// examined: the rest would be dropped, or reach a server unseen.
func TestMalformedMessagesAreRefused(t *testing.T) {
	const (
		parse = "P\x00\x00\x00\x10\x00select 1\x00\x00\x00"
		bind  = "B\x00\x00\x00\x0c\x00\x00\x00\x00\x00\x00\x00\x00"
		sync  = "S\x00\x00\x00\x04"
	)
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		for name, c := range map[string]caller.Cycle{
			"query without an end":            {Kind: caller.KindQuery, Messages: []byte("Q\x00\x00\x00\x0cselect 1")},
			"query with a second string":      {Kind: caller.KindQuery, Messages: []byte("Q\x00\x00\x00\x12select 1\x00drop\x00")},
			"query without a body":            {Kind: caller.KindQuery, Messages: []byte("Q\x00\x00\x00\x04")},
			"parse without an end":            {Messages: []byte("P\x00\x00\x00\x0d\x00select 1" + sync)},
			"parse with a second string":      {Messages: []byte("P\x00\x00\x00\x15\x00select 1\x00\x00\x00drop\x00" + sync)},
			"named parse with bytes after it": {Messages: []byte("P\x00\x00\x00\x12s\x00select 1\x00\x00\x00x" + sync)},
			"parse with too few types":        {Messages: []byte("P\x00\x00\x00\x10\x00select 1\x00\x00\x01" + sync)},
			"bind without names":              {Messages: []byte(parse + "B\x00\x00\x00\x05x" + sync)},
			"bind with bytes after it":        {Messages: []byte(parse + "B\x00\x00\x00\x0d\x00\x00\x00\x00\x00\x00\x00\x00x" + sync)},
			"bind with too few formats":       {Messages: []byte(parse + "B\x00\x00\x00\x0c\x00\x00\x00\x02\x00\x00\x00\x00" + sync)},
			"bind with a long parameter":      {Messages: []byte(parse + "B\x00\x00\x00\x11\x00\x00\x00\x00\x00\x01\x00\x00\x00\x09x\x00\x00" + sync)},
			"bind with a negative length":     {Messages: []byte(parse + "B\x00\x00\x00\x10\x00\x00\x00\x00\x00\x01\xff\xff\xff\xfe\x00\x00" + sync)},
			"describe of another object":      {Messages: []byte(parse + "D\x00\x00\x00\x06X\x00" + sync)},
			"execute with bytes after it":     {Messages: []byte(parse + bind + "E\x00\x00\x00\x0a\x00\x00\x00\x00\x00x" + sync)},
			"close with a second name":        {Messages: []byte("C\x00\x00\x00\x08Sa\x00\x00" + sync)},
		} {
			if c.Kind == 0 {
				c.Kind = caller.KindExtended
			}
			s := openSession(t, ent)
			a := s.run(c)
			if a.code != "08P01" || !a.closed {
				t.Errorf("%s: answered %s %q, closed %v", name, a.kinds, a.code, a.closed)
			}
			s.close()
		}
	})
}
