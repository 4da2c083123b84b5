package main

import (
	"fmt"
	"time"
)

const (
	// slowPromotion is the time from the promotion call until its effect; the installations
	// have 300 and 600 ms.
	slowPromotion = 600 * time.Millisecond
	// slowReplicas is how far replicas are behind in astc-tarifs.
	slowReplicas = 20 * time.Millisecond
	// healAfter is when the cut of the first primary ends, after the second one went dark.
	healAfter = 1850 * time.Millisecond
	// thawSlack is the time after the end of the cut in which nothing is judged; the pages
	// grant 0.3 s.
	thawSlack = 350 * time.Millisecond
	// replicaDarkTime is how long the third server is dark; the installations have 5 and 5.3 s.
	replicaDarkTime = 4900 * time.Millisecond
	// servingWait bounds the wait for a write at a promoted server.
	servingWait = 5 * time.Second
)

// runEarlyPrimary cuts the first primary off until the second one has served and gone
// dark while the third server is down, so that the first one is promoted again. It looks
// for writes that are acknowledged before that promotion takes effect.
func runEarlyPrimary(in *installation, trouble bool) (bool, error) {
	in.group.mu.Lock()
	in.group.delay, in.group.lag = slowPromotion, slowReplicas
	in.group.mu.Unlock()
	healed, err := in.bringFirstPrimaryBack(trouble, 0)
	if err != nil {
		return false, err
	}
	in.clients.end()
	return in.judgeOne(healed.Add(thawSlack)), nil
}

// bringFirstPrimaryBack cuts the first primary off until the second one has served, for
// the given time after its first commit, and gone dark while the third server is down. It
// returns when the cut ended, once all servers are back for some seconds.
func (in *installation) bringFirstPrimaryBack(trouble bool, serving time.Duration) (healed time.Time, err error) {
	g := in.group
	first := g.servers[0]
	time.Sleep(3 * time.Second)
	healed = time.Now()
	if trouble {
		promoted := make(chan *server, 8)
		g.mu.Lock()
		g.onPromoted = func(s *server) { promoted <- s }
		g.mu.Unlock()
		first.cutOff(in.cutMachines())
		var second *server
		select {
		case second = <-promoted:
		case <-time.After(cutLimit):
			first.heal()
			return healed, fmt.Errorf("%w: no server was promoted while the primary was cut off", errNotRun)
		}
		third := g.servers[1]
		if third == second {
			third = g.servers[2]
		}
		third.goDark()
		thirdBack := time.Now().Add(replicaDarkTime)
		if !g.awaitCommitAt(second) {
			return healed, fmt.Errorf("%w: the promoted server was not used", errNotRun)
		}
		time.Sleep(serving)
		second.goDark()
		secondBack := time.Now().Add(darkTime)
		time.Sleep(healAfter)
		first.heal()
		healed = time.Now()
		time.Sleep(time.Until(thirdBack))
		third.comeBack()
		time.Sleep(time.Until(secondBack))
		second.comeBack()
	} else {
		time.Sleep(darkTime)
	}
	time.Sleep(5 * time.Second)
	return healed, nil
}

// awaitCommitAt waits until a server has committed something, and reports whether it has.
func (g *group) awaitCommitAt(s *server) bool {
	for end := time.Now().Add(servingWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		g.mu.Lock()
		n := len(g.commits)
		found := n > 0 && g.commits[n-1].server == s.id
		g.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
