package directory_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

var (
	simSeed  = flag.Uint64("switchover.seed", 1, "first seed of the switchover simulation")
	simSeeds = flag.Uint64("switchover.seeds", 30, "number of seeds of the switchover simulation")
	simTrace = flag.Bool("switchover.trace", false, "log what happens in the switchover simulation")
)

// simCommit is a commit in the log of a simulated server.
type simCommit struct {
	id   int
	term uint64
}

// simServer is a server of a switchoverSim. testCluster.mu guards it.
type simServer struct {
	id         string
	log        []simCommit
	primary    bool
	term       uint64 // that it leads or follows
	cut        bool   // from the leader, the host and the other servers
	dark       bool
	superseded time.Time // when it first reached a primary of a later term; zero if it does not
}

func (s *simServer) reachable() bool { return !s.cut && !s.dark }

// received returns the position of the last commit.
func (s *simServer) received() logpos.Position {
	if len(s.log) == 0 {
		return logpos.Position{}
	}
	return pos(s.log[len(s.log)-1].term, uint64(len(s.log)))
}

// simRead is a read at a primary: how many writes were acknowledged before it, and the
// commits that it saw.
type simRead struct {
	acked int
	log   []simCommit
}

// switchoverSim plays disturbances of the servers, the promotion service and the leader
// against a Directory, with writes and reads at the primary that the host knows. It checks the
// rules ONE (no write is acknowledged at a superseded primary) and STALE (no commit that a
// read lacked, although it was acknowledged before, is in force at the end).
type switchoverSim struct {
	c       *testCluster
	h       *testHost
	r       *rand.Rand
	servers []*simServer
	lag     time.Duration // of the replicas
	applied map[int]time.Time
	nextID  int
	acked   []int // ids of acknowledged writes
	ackedAt time.Time
	reads   []simRead
	failing time.Time // first of the uninterrupted failures at the primary; zero if it answers
	seen    logpos.Position
	darken  time.Duration // the next promoted server goes dark at once for so long; 0: it does not
	loseAns bool          // the next answer of the promotion service is lost
	token   uint64
	broken  string
	log     func(format string, args ...any)
}

// TestSimulatedSwitchovers guards against switchovers that use a superseded primary, or bring
// rolled back commits back, when servers, the promotion service and the leader fail at the
// same time, and against a group that is left without a primary.
func TestSimulatedSwitchovers(t *testing.T) {
	for seed := *simSeed; seed < *simSeed+*simSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
				s := newSwitchoverSim(seed, c, h)
				if *simTrace {
					s.log = t.Logf
				}
				s.play()
				if s.broken != "" {
					t.Error(s.broken)
				}
			})
		})
	}
}

func newSwitchoverSim(seed uint64, c *testCluster, h *testHost) *switchoverSim {
	s := &switchoverSim{
		c: c, h: h, r: rand.New(rand.NewPCG(seed, 5)), applied: make(map[int]time.Time), token: 7,
		log: func(string, ...any) {},
	}
	s.lag = time.Duration(2+s.r.IntN(50)) * time.Millisecond
	for i := range 3 {
		s.servers = append(s.servers, &simServer{id: fmt.Sprint("s", i+1), primary: i == 0, term: 1})
	}
	c.withLock(func() {
		c.promotionDelay = []time.Duration{300, 600}[s.r.IntN(2)] * time.Millisecond
		c.onPromoted, c.onDemote, c.promoteAnswer = s.promoted, s.demoted, s.promoteAnswer
		s.publish()
	})
	return s
}

func (s *switchoverSim) server(id string) *simServer {
	return s.servers[slices.IndexFunc(s.servers, func(x *simServer) bool { return x.id == id })]
}

// publish sets what the cluster answers to status calls. The caller holds mu.
func (s *switchoverSim) publish() {
	for _, x := range s.servers {
		role := statement.Replica
		if x.primary {
			role = statement.Primary
		}
		s.c.status[x.id] = statement.ServerStatus{Role: role, Term: x.term, Received: x.received()}
		s.c.down[x.id] = !x.reachable()
	}
}

// promoted is called with mu held when a promotion takes effect.
func (s *switchoverSim) promoted(id string) {
	x := s.server(id)
	x.primary, x.term, x.superseded = true, s.c.term, time.Time{}
	s.log("%v: %s leads term %d from %d", time.Now(), id, x.term, len(x.log))
	if d := s.darken; d > 0 {
		s.darken = 0
		s.goDark(x, d)
	}
	s.publish()
}

func (s *switchoverSim) demoted(id string, term uint64) {
	if x := s.server(id); x.reachable() && x.term < term {
		x.primary = false
	}
	s.publish()
}

// promoteAnswer returns the answer to an accepted promotion.
func (s *switchoverSim) promoteAnswer(id string) error {
	switch {
	case s.server(id).dark:
		return errkind.New(errkind.Conflict, "not running")
	case s.loseAns:
		s.loseAns = false
		return errkind.New(errkind.OutcomeUnknown, "no answer")
	}
	return nil
}

// goDark stops a server for d without notice. It comes back with its log, as a replica if another
// one was promoted.
func (s *switchoverSim) goDark(x *simServer, d time.Duration) {
	if x.dark {
		return
	}
	x.dark = true
	s.log("%v: %s goes dark for %v", time.Now(), x.id, d)
	s.c.workers.Go(func() {
		time.Sleep(d)
		announce := false
		s.c.withLock(func() {
			x.dark = false
			announce = x.primary && x.term != s.c.term
			x.primary = x.primary && x.term == s.c.term
			s.publish()
		})
		if announce {
			s.c.announce(x.id, false, false, uint64(time.Now().UnixMilli()))
		}
	})
}

func (s *switchoverSim) between(low, high int) time.Duration {
	return time.Duration(low+s.r.IntN(high-low+1)) * time.Millisecond
}

// disturb starts one disturbance. Only it and play draw, in one goroutine.
func (s *switchoverSim) disturb() {
	d := s.between(500, 7000)
	kind := []string{"cut the primary", "cut the primary", "dark", "dark", "dark primary", "dark at the next promotion", "lose an answer", "change the leader"}[s.r.IntN(8)]
	s.log("%v: %s", time.Now(), kind)
	switch kind {
	case "cut the primary":
		s.c.withLock(func() {
			i := slices.IndexFunc(s.servers, func(x *simServer) bool { return x.primary && x.term == s.c.term })
			if x := s.servers[i]; !x.cut {
				x.cut = true
				s.c.workers.Go(func() {
					time.Sleep(d)
					s.c.withLock(func() {
						x.cut = false
						s.publish()
					})
				})
			}
		})
	case "dark":
		x := s.servers[s.r.IntN(3)]
		s.c.withLock(func() { s.goDark(x, d) })
	case "dark primary":
		s.c.withLock(func() {
			for _, x := range s.servers {
				if x.primary && x.term == s.c.term {
					s.goDark(x, d)
				}
			}
		})
	case "dark at the next promotion":
		s.c.withLock(func() { s.darken = d })
	case "lose an answer":
		s.c.withLock(func() { s.loseAns = true })
	case "change the leader":
		s.token++
		s.c.d.OnLeader(false, s.token)
		time.Sleep(s.between(50, 800))
		s.token++
		s.c.d.OnLeader(true, s.token)
	}
	s.c.withLock(s.publish)
}

// play plays the disturbances of a seed, then lets all end and checks the rules.
func (s *switchoverSim) play() {
	ctx, cancel := context.WithCancel(s.c.ctx)
	s.c.workers.Go(func() { s.loop(ctx) })
	for range 2 + s.r.IntN(5) {
		time.Sleep(s.between(20, 4000))
		s.disturb()
	}
	s.c.withLock(func() { s.darken = 0 })
	time.Sleep(30 * time.Second)
	cancel()
	s.c.withLock(s.check)
}

// loop plays the replication, writes and reads until ctx ends.
func (s *switchoverSim) loop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s.c.withLock(func() {
			s.replicate()
			s.operate()
			s.publish()
		})
	}
}

// replicate lets the replicas receive from the newest primary that they reach. A primary of an
// earlier term goes on for a second.
func (s *switchoverSim) replicate() {
	for _, x := range s.servers {
		var newest *simServer
		for _, o := range s.servers {
			if o != x && o.primary && o.reachable() && x.reachable() && (newest == nil || o.term > newest.term) {
				newest = o
			}
		}
		if newest == nil || newest.term < x.term || x.primary && newest.term <= x.term {
			x.superseded = time.Time{}
			continue
		}
		if x.primary {
			if x.superseded.IsZero() {
				x.superseded = time.Now()
			}
			if time.Since(x.superseded) < time.Second {
				continue
			}
			x.primary = false
			go s.c.announce(x.id, false, false, uint64(time.Now().UnixMilli()))
		}
		common := 0
		for common < min(len(x.log), len(newest.log)) && x.log[common] == newest.log[common] {
			common++
		}
		x.log, x.term = slices.Clip(x.log[:common]), newest.term
		for len(x.log) < len(newest.log) && time.Since(s.applied[newest.log[len(x.log)].id]) >= s.lag {
			x.log = append(x.log, newest.log[len(x.log)])
		}
	}
}

// operate writes and reads at the primary that the host knows, and reports like a host.
func (s *switchoverSim) operate() {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	g := s.h.group
	if g.Primary == "" || g.Switching {
		s.failing = time.Time{}
		s.h.report = directoryrpc.Report{Position: s.seen}
		return
	}
	x := s.server(g.Primary)
	if !x.reachable() || !x.primary {
		if s.failing.IsZero() {
			s.failing = time.Now()
		}
		s.h.report = directoryrpc.Report{FailingFor: max(time.Since(s.failing), 1), Position: s.seen, Generation: g.Generation}
		return
	}
	s.failing = time.Time{}
	s.reads = append(s.reads, simRead{len(s.acked), x.log})
	s.nextID++
	x.log = append(slices.Clip(x.log), simCommit{s.nextID, x.term})
	s.applied[s.nextID] = time.Now()
	s.acked, s.ackedAt, s.seen = append(s.acked, s.nextID), time.Now(), s.seen.Max(x.received())
	if x.term < s.c.term && s.broken == "" {
		s.broken = fmt.Sprintf("ONE: a write is acknowledged at %s in term %d after a promotion in term %d", x.id, x.term, s.c.term)
	}
	s.h.report = directoryrpc.Report{LastAnswerAge: 1, Position: s.seen, Generation: g.Generation}
}

// check checks the rules at the end. The caller holds mu.
func (s *switchoverSim) check() {
	if s.broken != "" {
		return
	}
	if time.Since(s.ackedAt) > time.Second {
		s.broken = fmt.Sprintf("no write was acknowledged for %v at the end: %+v, %+v", time.Since(s.ackedAt), s.c.group(), s.c.status)
		return
	}
	inForce := make(map[int]bool)
	for _, x := range s.servers {
		if x.primary && x.term == s.c.term {
			for _, e := range x.log {
				inForce[e.id] = true
			}
		}
	}
	for _, r := range s.reads {
		had := make(map[int]bool, len(r.log))
		for _, e := range r.log {
			had[e.id] = true
		}
		for _, id := range s.acked[:r.acked] {
			if inForce[id] && !had[id] {
				s.broken = fmt.Sprintf("STALE: a read lacks the write %d of %d that were acknowledged before, and that is in force", id, r.acked)
				return
			}
		}
	}
}
