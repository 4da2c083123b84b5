package changelog_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/internal/changelog"
	"github.com/matryer/is"
)

// TestSince guards against changes that are left out although the log does not
// know all of them, or although one entry changed several objects.
func TestSince(t *testing.T) {
	log := changelog.New[string](3, 10)
	for i, key := range []string{"a", "b", "b2", "c"} {
		log.Add(uint64([]int{11, 12, 12, 15}[i]), key)
	}
	tests := []struct {
		version uint64
		want    []string
		known   bool
	}{
		{9, nil, false},
		{10, nil, false}, // the entry 11 was dropped
		{11, []string{"b", "b2", "c"}, true},
		{12, []string{"c"}, true},
		{14, []string{"c"}, true},
		{15, []string{}, true},
	}
	for _, test := range tests {
		is := is.New(t)
		is.Equal(log.Knows(test.version), test.known)
		if test.known {
			is.Equal(log.Since(test.version), test.want)
			is.Equal(log.Count(test.version), len(test.want))
		}
	}
}
