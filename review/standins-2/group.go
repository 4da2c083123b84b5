package main

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// replicationDelay is the time from a commit until a replica has received it, as far
	// as replicas are behind in loncomhar-ops.
	replicationDelay = 8 * time.Millisecond
	// promotionDelay is the time from the promotion call until its effect.
	promotionDelay = 300 * time.Millisecond
	// stepDownDelay is how long a superseded primary goes on once it can reach the new
	// one.
	stepDownDelay = time.Second
	// statementTime is the time that a server works on a statement.
	statementTime = 6 * time.Millisecond
	// serverSlots is the number of statements that a server runs at the same time.
	serverSlots = 3
)

// entry is one commit in the log of a server.
type entry struct {
	term      int
	id        string // of the statement
	committed time.Time
}

// promotion is a promotion that took effect.
type promotion struct {
	server string
	term   int
	at     time.Time
}

// group is a database group: the servers and what the network between them does.
// mu guards the group and the servers.
type group struct {
	rec *recorder

	mu         sync.Mutex
	servers    []*server
	term       int // highest
	promotions []promotion
	commits    []commit
	reads      []read
	lag        time.Duration   // of replicas; 0 for replicationDelay
	delay      time.Duration   // of promotions; 0 for promotionDelay
	onPromoted func(s *server) // called once a promotion has taken effect, without mu
}

// commit is a commit as it happened, which may be removed from the logs later.
type commit struct {
	server string
	entry
}

// read is a read as it ran. Its log is never changed.
type read struct {
	server string
	id     string
	term   int
	log    []entry
}

// promote handles a promotion call and returns the status of the answer.
func (g *group) promote(id, holder, token string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(id)
	if s == nil || s.down {
		g.rec.note("platform: promote %s, holder %s, token %s: 409, it is not running", id, holder, token)
		return 409
	}
	g.rec.note("platform: promote %s, holder %s, token %s: 200", id, holder, token)
	if s.primary && s.term == g.term {
		return 200
	}
	p := &pendingPromotion{group: g, server: s, born: s.born}
	time.AfterFunc(cmp.Or(g.delay, promotionDelay), p.run)
	return 200
}

// pendingPromotion is a promotion that was accepted and has no effect yet.
type pendingPromotion struct {
	group  *group
	server *server
	born   time.Time
}

func (p *pendingPromotion) run() {
	g, s := p.group, p.server
	g.mu.Lock()
	if s.down || s.born != p.born || s.primary && s.term == g.term {
		g.mu.Unlock()
		return
	}
	g.term++
	s.primary, s.term, s.held = true, g.term, g.term
	for _, o := range g.servers {
		if o != s && o.reachable() && s.reachable() {
			o.held = g.term // the new primary tells the others of its term
		}
	}
	g.promotions = append(g.promotions, promotion{s.id, s.term, time.Now()})
	g.rec.say("server %s leads term %d from position %s", s.id, s.term, s.position())
	hook := g.onPromoted
	g.mu.Unlock()
	if hook != nil {
		hook(s)
	}
	s.announce()
}

// server returns a server; the caller holds mu.
func (g *group) server(id string) *server {
	for _, s := range g.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// leader returns the primary with the highest term that s can reach; the caller holds mu.
func (g *group) leader(s *server) *server {
	var best *server
	for _, o := range g.servers {
		if o != s && o.primary && o.reachable() && s.reachable() && (best == nil || o.term > best.term) {
			best = o
		}
	}
	return best
}

// loop replicates until stop is closed.
func (g *group) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, s := range g.replicate() {
			s.announce()
		}
	}
}

// replicate copies new entries to the replicas and returns the servers whose role has
// changed.
func (g *group) replicate() (changed []*server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, s := range g.servers {
		l := g.leader(s)
		if l == nil || l.term < max(s.term, s.held) {
			s.superseded = time.Time{}
			continue
		}
		if s.primary {
			switch {
			case l.term <= s.term:
				continue
			case s.superseded.IsZero():
				s.superseded = now
				continue
			case now.Sub(s.superseded) < stepDownDelay:
				continue
			}
			g.rec.say("server %s steps down: %s leads term %d", s.id, l.id, l.term)
			s.primary, s.superseded = false, time.Time{}
			changed = append(changed, s)
		}
		s.follow(l, now)
	}
	return changed
}

// follow makes the log of a replica a part of that of the leader. The caller holds mu.
func (s *server) follow(l *server, now time.Time) {
	common := 0
	for common < len(s.log) && common < len(l.log) && s.log[common] == l.log[common] {
		common++
	}
	if common < len(s.log) {
		for _, e := range s.log[common:] {
			s.group.rec.note("server %s drops commit of %s, term %d: it is not in the log of %s", s.id, e.id, e.term, l.id)
		}
		s.log = slices.Clip(s.log[:common]) // reads hold the longer one
	}
	s.term, s.held = l.term, l.term
	for len(s.log) < len(l.log) && now.Sub(l.log[len(s.log)].committed) >= cmp.Or(s.group.lag, replicationDelay) {
		s.log = append(s.log, l.log[len(s.log)])
	}
}

// position returns the position of the log; the caller holds mu.
func (s *server) position() string { return fmt.Sprintf("%d.%d", s.term, len(s.log)) }
