package entry

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/staleness"
)

// group is what the entry keeps about one database group beyond the views.
type group struct {
	name string

	mu         sync.Mutex
	sessions   int
	lastStale  time.Time // last read that accepted staleness
	samples    staleness.Samples
	running    *flight // the request that started last, while it runs
	pending    *flight // the request that starts next
	lastFlight time.Time
}

func (g *group) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions++
}

func (g *group) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions--
}

func (g *group) used() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sessions > 0
}
