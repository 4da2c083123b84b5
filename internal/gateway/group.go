package gateway

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/staleness"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// group is the state of a database group that this host keeps across views.
type group struct {
	name string

	mu                 sync.Mutex
	generation         uint64 // of the directory's group record
	primary            string // server id
	switching          bool
	releasedGeneration uint64 // answers of uses up to this generation are discarded
	uses               map[*primaryUse]struct{}
	samples            staleness.Samples
	sampleClaimed      time.Time       // when claimSample last returned true
	latestPosition     logpos.Position // newest known position of the primary's log
}

// primaryUse is a statement or a transaction in progress at a primary. Its answer
// may be returned to the caller only if finish, or pause within a transaction,
// returns true.
type primaryUse struct {
	group      *group
	generation uint64
	conn       *pooledConn // guarded by group.mu
	busy       bool        // a statement is in progress; guarded by group.mu
}

func newGroup(name string) *group { return &group{name: name, uses: make(map[*primaryUse]struct{})} }

// update applies the directory's state of the group. leased reports whether the host
// still has its lease.
//
// If the primary is another one, or may have been another one because the group
// has changed while the host had no lease, update aborts the uses of earlier
// generations at once and returns how many these were. It also discards the samples
// of the earlier primary, which may include commits that its successor never
// received. Otherwise the uses continue until Release ends them.
func (g *group) update(generation uint64, primary string, switching, leased bool) (aborted int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation != g.generation && (primary != g.primary || !leased) {
		_, aborted = g.abortUses(true, true)
		g.samples, g.sampleClaimed = staleness.Samples{}, time.Time{}
	}
	g.generation, g.primary, g.switching = generation, primary, switching
	return aborted
}

// beginUse registers a use of the primary of the given generation. It fails if
// that primary is being replaced.
func (g *group) beginUse(generation uint64) (*primaryUse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.switching || g.generation != generation {
		return nil, errkind.New(errkind.NoPrimary, "the primary of group %q is being changed", g.name)
	}
	u := &primaryUse{group: g, generation: generation, busy: true}
	g.uses[u] = struct{}{}
	return u, nil
}

// attach sets the connection that is aborted to end the use, and reports whether
// the use is still valid.
func (u *primaryUse) attach(pc *pooledConn) bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.conn = pc
	return u.generation > u.group.releasedGeneration
}

// resume begins another statement of a transaction and reports whether the use
// is still valid.
func (u *primaryUse) resume() bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.busy = true
	return u.generation > u.group.releasedGeneration
}

// pause ends a statement of a transaction and reports whether its answer may be
// returned to the caller.
func (u *primaryUse) pause() bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.busy = false
	return u.generation > u.group.releasedGeneration
}

// abandon ends a use whose answer is not returned to the caller. It does nothing if
// u is nil.
func (u *primaryUse) abandon() {
	if u == nil {
		return
	}
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	delete(u.group.uses, u)
}

// finish ends a use and reports whether its answer may be returned to the caller. It
// then has recorded pos, the log position of the answer to a statement sent at the
// given time: once the group is released, its reports include every acknowledged
// write.
func (u *primaryUse) finish(sentAt time.Time, pos logpos.Position) bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	delete(u.group.uses, u)
	return u.recordPosition(sentAt, pos)
}

// observe records a log position like finish, and the use goes on.
func (u *primaryUse) observe(sentAt time.Time, pos logpos.Position) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.recordPosition(sentAt, pos)
}

// recordPosition records a position of the primary's log that includes every write
// acknowledged before sentAt, and reports whether the use is still valid. A position
// of a primary that may have been superseded is ignored. The caller holds group.mu.
func (u *primaryUse) recordPosition(sentAt time.Time, pos logpos.Position) bool {
	g := u.group
	if u.generation <= g.releasedGeneration {
		return false
	}
	if pos != (logpos.Position{}) {
		g.latestPosition = g.latestPosition.Max(pos)
		g.samples.Add(staleness.Sample{At: sentAt, Pos: pos})
	}
	return true
}

// requiredPosition returns the position that a server must have applied for a
// read that accepts data of the given age; false if no sample is recent enough.
func (g *group) requiredPosition(age time.Duration) (logpos.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.samples.OldestSince(clock.Now().Add(-age))
	return s.Pos, ok
}

// maxSampleWait is how long other reads wait for the sample that one read gets
// from the primary. An answer from another region takes less.
const maxSampleWait = 200 * time.Millisecond

// claimSample reports whether the caller should read at the primary to get a
// sample. Only one read does so within maxSampleWait: otherwise, when a host has
// just started or the primary has changed, all waiting reads would queue up at
// the primary.
func (g *group) claimSample() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	if now.Sub(g.sampleClaimed) < maxSampleWait {
		return false
	}
	g.sampleClaimed = now
	return true
}

const (
	// idleGrace is how long an open transaction that runs no statement may
	// continue when its primary is about to be replaced. New work waits meanwhile.
	idleGrace = 400 * time.Millisecond
	// busyGrace is the same for a statement in progress, whose outcome would be
	// unknown if its connection were closed.
	busyGrace = 900 * time.Millisecond
	// releasePollInterval is the interval at which release checks the uses.
	releasePollInterval = 10 * time.Millisecond
)

// release waits for the uses of a switching group to end, aborts those that
// exceed their grace period, and returns how many were aborted. Busy uses are
// aborted at once if responding returns false.
func (g *group) release(responding func() bool) int {
	aborted := 0
	for start := time.Now(); ; {
		waited := time.Since(start)
		g.mu.Lock()
		left, n := g.abortUses(waited > idleGrace, waited > busyGrace || !responding())
		g.mu.Unlock()
		if aborted += n; left == 0 {
			return aborted
		}
		time.Sleep(releasePollInterval)
	}
}

// released reports whether release has ended for the present generation.
func (g *group) released() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.releasedGeneration == g.generation
}

// abortUses aborts the idle uses, the busy ones, or both, and returns how many
// are left and how many were aborted. Once none is left, answers of this
// generation are no longer returned to callers. The caller holds mu.
func (g *group) abortUses(idle, busy bool) (left, aborted int) {
	for u := range g.uses {
		if u.busy && !busy || !u.busy && !idle {
			left++
			continue
		}
		aborted++
		if u.conn != nil {
			u.conn.abort()
		}
		delete(g.uses, u)
	}
	if left == 0 {
		g.releasedGeneration = g.generation
	}
	return left, aborted
}
