package main

import (
	"fmt"
	"sync"
	"time"
)

// Behaviour of the stand-in members, as the users' pages describe it.
const (
	heartbeatInterval   = 1200 * time.Millisecond
	heartbeatTimeout    = time.Second            // an acknowledgement that arrives later does not count
	promoteTime         = 300 * time.Millisecond // from the promotion call to its effect
	replicaDelay        = 8 * time.Millisecond
	statementTime       = 6 * time.Millisecond
	connectTime         = 12 * time.Millisecond
	stepDownAfter       = time.Second     // an old primary that reaches the new one goes on for that long
	unreachableConnTime = 3 * time.Second // a connection whose other end is unreachable is dropped
	memberSlots         = 3
	memberConnections   = 25
)

// entry is a committed write.
type entry struct {
	term        uint64
	item, value string
}

// promotion is a promotion that has taken effect.
type promotion struct {
	member string
	at     time.Time
}

// commit is a write that a member has committed.
type commit struct {
	member, sender, request string
	at                      time.Time
}

// arrival is a read, write or transaction that a client has begun at a member.
type arrival struct {
	member, sender, request string
	at                      time.Time
}

// group is the shared state of the members of one service. One lock guards all of
// them: they are stand-ins, not a database.
type group struct {
	service string
	net     *network
	rec     *record

	mu         sync.Mutex
	members    map[string]*member // by id
	promotions []promotion
	commits    []commit
	arrivals   []arrival
	receipts   int
}

// loop replicates the log and ends the lead of old primaries until done is closed.
func (g *group) loop(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(replicaDelay):
		}
		g.mu.Lock()
		for _, m := range g.members {
			if m.up {
				g.follow(m)
			}
		}
		g.mu.Unlock()
	}
}

// follow copies the log of the newest primary that m reaches. The caller holds mu.
func (g *group) follow(m *member) {
	var leader *member
	for _, other := range g.members {
		if other != m && other.up && other.role == "primary" && other.term > m.followedTerm() && !g.net.isCut(m.id, other.id) && (leader == nil || other.term > leader.term) {
			leader = other
		}
	}
	if leader == nil {
		m.reachedSince = time.Time{}
		return
	}
	if m.role == "primary" {
		if m.reachedSince.IsZero() {
			m.reachedSince = time.Now()
		}
		if time.Since(m.reachedSince) < stepDownAfter {
			return
		}
		m.becomeReplica("it reaches the new primary " + leader.id)
	}
	same := 0
	for same < len(m.log) && same < len(leader.log) && m.log[same] == leader.log[same] {
		same++
	}
	m.log = append(m.log[:same:same], leader.log[same:]...)
	m.term = leader.term
}

// promote makes the named member the primary of the next term, after promoteTime.
// It reports whether the member runs.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil || !m.up {
		return false
	}
	if m.role != "primary" || m.term < g.newestTerm() {
		p := &pendingPromotion{group: g, member: m}
		time.AfterFunc(promoteTime, p.run)
	}
	return true
}

func (g *group) newestTerm() uint64 {
	var newest uint64
	for _, m := range g.members {
		newest = max(newest, m.term)
	}
	return newest
}

// pendingPromotion is a promotion that was accepted and takes effect soon.
type pendingPromotion struct {
	group  *group
	member *member
}

func (p *pendingPromotion) run() {
	g := p.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !p.member.up || p.member.role == "primary" && p.member.term == g.newestTerm() {
		return
	}
	p.member.term = g.newestTerm() + 1
	p.member.role, p.member.reachedSince = "primary", time.Time{}
	g.promotions = append(g.promotions, promotion{p.member.id, time.Now()})
	g.rec.say("member %s leads term %d from now on, with %d commits", p.member.id, p.member.term, len(p.member.log))
	p.member.announceSoon()
}

// receipt returns a new receipt. The caller holds mu.
func (g *group) receipt(m *member) string {
	g.receipts++
	return fmt.Sprintf("%s.%d", m.id, g.receipts)
}

// supersededBy returns the first promotion of another member that took effect
// after m was promoted last and before t, if any. The caller holds mu.
func (g *group) supersededBy(m string, t time.Time) (promotion, bool) {
	var found promotion
	ok := false
	for _, p := range g.promotions {
		switch {
		case !p.at.Before(t):
		case p.member == m:
			ok = false
		case !ok:
			found, ok = p, true
		}
	}
	return found, ok
}

// hasWrite reports whether the log of the newest primary has a write. The caller
// holds mu.
func (g *group) hasWrite(item, value string) bool {
	for _, m := range g.members {
		if m.role != "primary" || m.term < g.newestTerm() {
			continue
		}
		for _, e := range m.log {
			if e.item == item && e.value == value {
				return true
			}
		}
	}
	return false
}
