package entry_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/matryer/is"
)

// TestManyRanks guards against memory that grows with the square of the number of
// declared ranks: a process may use 256 MB.
func TestManyRanks(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	for i := range 8000 {
		fmt.Fprintf(&text, "[[traffic_rank]]\nname = 'r%d'\norder = %d\ndefault = %t\n", i, i, i == 0)
	}
	f := newFake()
	ent := entry.New(entry.Options{Owners: ownerrpc.Client{Call: f.call}})
	defer ent.Close()
	cfg := parsePolicy(text.String())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ent.SetState(f.state(1), cfg)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 256<<20)
}
