package gateway

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/staleness"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// group is what the host keeps about one database group beyond the views.
type group struct {
	name string

	mu         sync.Mutex
	generation uint64 // of the directory
	switching  bool
	released   uint64 // uses up to this generation may not answer any more
	uses       map[*use]struct{}
	samples    staleness.Samples
	sampling   time.Time       // when a read was sent to the primary for want of a sample
	latest     logpos.Position // of the primary's log
}

// use is a statement or a transaction at a primary. Its answer is given only if
// end says so.
type use struct {
	group      *group
	generation uint64
	link       *link // guarded by group.mu
	busy       bool  // a statement is in progress; guarded by group.mu
}

func newGroup(name string) *group { return &group{name: name, uses: make(map[*use]struct{})} }

// update takes over what the directory says. Samples of an earlier primary may
// name commits that its successor never received.
func (g *group) update(generation uint64, switching, sameLog bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation != g.generation && !sameLog {
		g.samples, g.sampling = staleness.Samples{}, time.Time{}
	}
	g.generation, g.switching = generation, switching
}

// enter begins a use of the primary of that generation.
func (g *group) enter(generation uint64) (*use, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.switching || g.generation != generation {
		return nil, errkind.New(errkind.NoPrimary, "the primary of group %q is being changed", g.name)
	}
	u := &use{group: g, generation: generation, busy: true}
	g.uses[u] = struct{}{}
	return u, nil
}

// attach names the connection that the use is cut off by.
func (u *use) attach(l *link) bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.link = l
	return u.generation > u.group.released
}

// resume begins another statement of a transaction.
func (u *use) resume() bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.busy = true
	return u.generation > u.group.released
}

// pause ends a statement of a transaction and reports whether its answer may
// be given.
func (u *use) pause() bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.busy = false
	return u.generation > u.group.released
}

// end ends the use and reports whether the answer may be given.
func (u *use) end() bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	delete(u.group.uses, u)
	return u.generation > u.group.released
}

// sample records a position of the primary's log that was current at a time.
func (g *group) sample(generation uint64, at time.Time, pos logpos.Position) {
	if pos == (logpos.Position{}) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latest = g.latest.Max(pos)
	if generation > g.released {
		g.samples.Add(staleness.Sample{At: at, Pos: pos})
	}
}

// required returns the position that a read must see that accepts data of age.
func (g *group) required(age time.Duration) (logpos.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.samples.OldestSince(clock.Now().Add(-age))
	return s.Pos, ok
}

// sampleWait is how long other reads wait for the sample that one of them makes
// at the primary. It is longer than an answer from another region.
const sampleWait = 200 * time.Millisecond

// takeSample reports whether the caller is the one to read at the primary for
// want of a sample. When a host has just started or the primary has changed,
// all reads that wait would otherwise queue up at the primary.
func (g *group) takeSample() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	if now.Sub(g.sampling) < sampleWait {
		return false
	}
	g.sampling = now
	return true
}

const (
	// idleGrace is how long an open transaction may go on when its primary is
	// about to be changed. New work waits meanwhile.
	idleGrace = 400 * time.Millisecond
	// busyGrace is the same for a statement in progress, whose outcome would
	// be unknown if it were cut off.
	busyGrace = 900 * time.Millisecond
	// releasePoll is how often the uses are looked at.
	releasePoll = 10 * time.Millisecond
)

// release ends every use of a group that switches, and reports how many were
// cut off. A server that does not answer is not waited for.
func (g *group) release(answers func() bool) int {
	cut := 0
	for start := time.Now(); ; {
		waited := time.Since(start)
		left, n := g.cutOff(waited > idleGrace, waited > busyGrace || !answers())
		if cut += n; left == 0 {
			return cut
		}
		time.Sleep(releasePoll)
	}
}

// cutOff severs uses and returns how many are left to be waited for. Once none
// is left, no answer of this generation is given any more.
func (g *group) cutOff(idle, busy bool) (left, cut int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for u := range g.uses {
		if u.busy && !busy || !u.busy && !idle {
			left++
			continue
		}
		cut++
		if u.link != nil {
			u.link.sever()
		}
		delete(g.uses, u)
	}
	if left == 0 {
		g.released = g.generation
	}
	return left, cut
}
