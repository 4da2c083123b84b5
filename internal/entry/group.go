package entry

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/staleness"
)

// group is the state of one database group that outlives the views.
type group struct {
	name string

	mu               sync.Mutex
	sessions         int       // open sessions
	lastStaleRead    time.Time // time of the last read that accepted staleness
	samples          staleness.Samples
	runningRequest   *positionRequest // the request that started last, while it is in progress
	pendingRequest   *positionRequest // the request that is scheduled to start next
	lastRequestStart time.Time
}

func (g *group) addSession() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions++
}

func (g *group) removeSession() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions--
}

func (g *group) hasSessions() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sessions > 0
}
