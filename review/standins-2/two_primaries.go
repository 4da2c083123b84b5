package main

import (
	"fmt"
	"time"
)

const (
	// cutLimit is the longest time for which the primary is cut off; the installations have
	// 7 s.
	cutLimit = 6 * time.Second
	// cutEntries is the number of machines without a disk that are cut off with the core:
	// 4 machines of 7; the installations have a share of 0.65.
	cutEntries = 1
	// darkTime is how long the new primary is dark; the pages allow 7 s.
	darkTime = 6900 * time.Millisecond
	// heldUpTime is the time after the end of the cut in which nothing is judged, because
	// a message may have been held up. The pages grant 0.3 s.
	heldUpTime = time.Second
)

// runTwoPrimaries cuts the primary off until another server has been promoted, which
// goes dark at that moment, and looks for writes that the superseded primary commits and
// that are acknowledged.
func runTwoPrimaries(in *installation, trouble bool) (bool, error) {
	g := in.group
	first := g.servers[0]
	time.Sleep(3 * time.Second)
	healed := make(chan time.Time, 1)
	if trouble {
		promoted := make(chan *server, 8)
		g.mu.Lock()
		g.onPromoted = func(s *server) {
			s.goDark()
			promoted <- s
		}
		g.mu.Unlock()
		first.cutOff(in.cutMachines())
		var second *server
		select {
		case second = <-promoted:
		case <-time.After(cutLimit):
			first.heal()
			return false, fmt.Errorf("%w: no server was promoted while the primary was cut off", errNotRun)
		}
		g.mu.Lock()
		g.onPromoted = nil
		g.mu.Unlock()
		first.heal()
		healed <- time.Now()
		time.Sleep(darkTime)
		second.comeBack()
	} else {
		healed <- time.Now()
		time.Sleep(darkTime)
	}
	time.Sleep(6 * time.Second)
	in.clients.end()
	return in.judgeOne((<-healed).Add(heldUpTime)), nil
}

// cutMachines returns the machines that are cut off from the first primary: the core and
// one more.
func (in *installation) cutMachines() []*machine { return in.machines[:len(zones)+cutEntries] }

// judgeOne reports whether no write was committed at a superseded primary after a
// promotion had taken effect and acknowledged to its client. Writes that were sent
// before from are not judged.
func (in *installation) judgeOne(from time.Time) bool {
	acked := make(map[string]operation)
	all := in.clients.results()
	successes := 0
	for _, o := range all {
		if o.success {
			acked[o.id] = o
			successes++
		}
	}
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := 0
	for _, c := range g.commits {
		o, ok := acked[c.id]
		if !ok || o.sent.Before(from) {
			continue
		}
		for _, p := range g.promotions {
			if p.term > c.term && p.at.Before(c.committed) {
				broken++
				in.rec.note("BROKEN: write %s was sent at %.3f, committed at %s in term %d at %.3f, acknowledged at %.3f; %s leads term %d since %.3f",
					c.id, in.rec.at(o.sent), c.server, c.term, in.rec.at(c.committed), in.rec.at(o.answered), p.server, p.term, in.rec.at(p.at))
				break
			}
		}
	}
	lost := 0
	for id := range acked {
		if !g.kept(id) {
			lost++
		}
	}
	in.rec.say("%d writes, %d acknowledged; committed at a superseded primary and acknowledged: %d; acknowledged and in the log of no primary at the end: %d", len(all), successes, broken, lost)
	return broken == 0 && successes > 0
}

// kept reports whether the log of the newest primary has a commit; the caller holds mu.
func (g *group) kept(id string) bool {
	for _, s := range g.servers {
		if !s.primary || s.term != g.term {
			continue
		}
		for _, e := range s.log {
			if e.id == id {
				return true
			}
		}
	}
	return false
}
