package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// The case lapsed-lease: one entry host and the primary are partitioned from all
// other machines and members. The others promote a replica once the lease of the
// entry host has run out. Clients of that entry host hold open transactions and
// pause. When the partition heals, they commit.

const (
	lapsedHost    = "edge-1"
	lapsedClients = 6
	// thawSlack is the bound thaw_slack_ms: what a machine sends within that time
	// after a disruption of its links does not count.
	thawSlack = 300 * time.Millisecond
	// demoteAttempt is how long control waits for an answer of the old primary. The
	// partition ends after such an attempt has failed.
	demoteAttempt = 450 * time.Millisecond
	// partitionLimit is the longest partition that the case uses; the largest in the
	// site file is 7 s.
	partitionLimit = 7 * time.Second
	// settleTime is long enough for the old primary to follow the new one.
	settleTime = 2 * time.Second
)

func prepareLapsedLease(in *installation) error { return in.behindProxies(in.machine(lapsedHost)) }

// traffic keeps writing at an entry host, each time on a new session after a
// failure.
type traffic struct {
	in   *installation
	host string
	done chan struct{}
	wg   *sync.WaitGroup
}

func (t *traffic) loop() {
	defer t.wg.Done()
	var s *session
	for n := 0; ; n++ {
		select {
		case <-t.done:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		var err error
		if s == nil {
			if s, err = t.in.open("t-"+t.host, t.host, "orders"); err != nil {
				s = nil
				continue
			}
		}
		if a := s.do("write", fmt.Sprintf("1a%d v%d", n%7+1, n)); a.code == "" && !a.success {
			s.close()
			s = nil
		}
	}
}

// startTraffic starts writers at the hosts and returns the function that ends them.
func (in *installation) startTraffic(hosts ...string) (stop func()) {
	done, wg := make(chan struct{}), new(sync.WaitGroup)
	for _, host := range hosts {
		wg.Add(1)
		t := &traffic{in: in, host: host, done: done, wg: wg}
		go t.loop()
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// pausingClient runs one transaction that writes, pauses and commits.
type pausingClient struct {
	in       *installation
	name     string
	session  *session
	lastAt   time.Duration // of the last write, after the start of the partition
	commitAt time.Duration // after the end of the partition
	started  time.Time     // start of the partition
	ended    <-chan struct{}

	commit answer
	err    error
}

func (c *pausingClient) run(wg *sync.WaitGroup) {
	defer wg.Done()
	defer c.session.close()
	for _, at := range []time.Duration{c.lastAt - 500*time.Millisecond, c.lastAt} {
		time.Sleep(time.Until(c.started.Add(at)))
		if a := c.session.do("write", "2b"+c.name+" kept"); !a.success {
			c.err = errors.New("the write in the transaction failed with " + a.code)
			return
		}
	}
	<-c.ended
	time.Sleep(c.commitAt)
	c.commit = c.session.do("commit", "")
}

func runLapsedLease(in *installation, trouble bool) (bool, error) {
	stop := in.startTraffic("core-1", "core-2", "core-3", "edge-2")
	defer stop()
	time.Sleep(3 * time.Second)
	primary := in.members[0].id
	var clients []*pausingClient
	for i := range lapsedClients {
		c := &pausingClient{
			in: in, name: fmt.Sprintf("u%d", i), lastAt: time.Duration(1000+100*i) * time.Millisecond,
			commitAt: thawSlack + time.Duration(50+60*i)*time.Millisecond,
		}
		var err error
		if c.session, err = in.open(c.name, lapsedHost, "orders"); err != nil {
			return false, err
		}
		if a := c.session.do("begin", ""); !a.success {
			return false, errors.New("a transaction could not be begun")
		}
		if a := c.session.do("write", "2b"+c.name+" first"); !a.success {
			return false, errors.New("the first write of a transaction failed")
		}
		clients = append(clients, c)
	}
	here := []string{lapsedHost, primary}
	there := in.namesWithout(here...)
	started, ended, wg := time.Now(), make(chan struct{}), new(sync.WaitGroup)
	if trouble {
		in.rec.say("partition begins: %v on one side, %v on the other", here, there)
		in.net.cut(here, there)
	}
	for _, c := range clients {
		c.started, c.ended = started, ended
		wg.Add(1)
		go c.run(wg)
	}
	if trouble {
		in.awaitFailedDemotion(primary, started.Add(partitionLimit))
		in.net.join(here, there)
		in.rec.say("partition ends after %.1f s", time.Since(started).Seconds())
	} else {
		time.Sleep(3500 * time.Millisecond)
	}
	healed := time.Now()
	close(ended)
	wg.Wait()
	time.Sleep(settleTime)
	return in.checkSuperseded(primary, healed, clients), nil
}

// awaitFailedDemotion waits until another member leads and control has tried in
// vain to reach the old primary, but not after deadline.
func (in *installation) awaitFailedDemotion(primary string, deadline time.Time) {
	for time.Now().Before(deadline) {
		in.group.mu.Lock()
		p, superseded := in.group.supersededBy(primary, time.Now())
		at := in.group.members[primary].lastCoreConn
		in.group.mu.Unlock()
		if superseded && at.After(p.at) {
			time.Sleep(time.Until(at.Add(demoteAttempt)))
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkSuperseded reports whether a commit that a client got acknowledged was made
// at the old primary after a promotion had taken effect, by a machine whose links
// had not been disrupted for thawSlack.
func (in *installation) checkSuperseded(primary string, healed time.Time, clients []*pausingClient) bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	broken := false
	for _, c := range clients {
		if c.err != nil {
			in.rec.say("client %s: %v", c.name, c.err)
			continue
		}
		i := slices.IndexFunc(in.group.commits, func(m commit) bool { return m.request == c.commit.request })
		if i < 0 {
			in.rec.say("client %s: its commit %s was not made (success %v, error %q)", c.name, c.commit.request, c.commit.success, c.commit.code)
			continue
		}
		made := in.group.commits[i]
		p, superseded := in.group.supersededBy(made.member, made.at)
		counts := superseded && c.commit.success && made.at.After(healed.Add(thawSlack))
		in.rec.say("client %s: commit %s was made at %s at %s, sent by %s, acknowledged %v", c.name, c.commit.request, made.member, in.rec.at(made.at), made.sender, c.commit.success)
		if counts {
			broken = true
			in.rec.say("the acknowledged write is in the log of the present primary: %v", in.group.hasWrite("2b"+c.name, "kept"))
			in.rec.say("BROKEN: the promotion of %s had taken effect at %s, %.3f s before", p.member, in.rec.at(p.at), made.at.Sub(p.at).Seconds())
		}
	}
	return broken
}
