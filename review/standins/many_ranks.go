package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// The case many-ranks: a configuration adds a route whose priority is a high number,
// and the next one changes its timeout. Clients go on connecting and writing.

const (
	// usualPriority is the priority of the added route without the disruption.
	usualPriority = 2
	// lowPriority is its priority otherwise.
	lowPriority = 65535
	// applyBound is the bound config_apply_ms.
	applyBound = 4 * time.Second
	// observeTime is how long the case looks on after that.
	observeTime = 40 * time.Second
	// readyTimeout is how long a client waits for the answer to its first line, and
	// the platform for the answer to its readiness check.
	readyTimeout = 2 * time.Second
)

func runManyRanks(in *installation, trouble bool) (bool, error) {
	time.Sleep(2 * time.Second)
	before := in.countServed(5 * time.Second)
	in.rec.say("before the change: %v", before)
	added := &addedRoute{priority: usualPriority, timeoutMS: 800}
	if trouble {
		added.priority = lowPriority
	}
	for _, added.timeoutMS = range []int{800, 1000} {
		in.rec.say("the operator sends a configuration with another route, of priority %d and timeout %d ms", added.priority, added.timeoutMS)
		if err := in.putConfig(added, time.Now().Add(startTimeout)); err != nil {
			return false, err
		}
		time.Sleep(applyBound)
	}
	after := in.countServed(observeTime)
	in.rec.say("later than %v after the acknowledgement: %v", applyBound, after)
	in.recordProcessorTimes()
	return after.served == 0 && before.served > 0, nil
}

// service is what clients and the platform have seen in a span of time.
type service struct {
	tried, opened, served, ready, notReady int
}

func (s service) String() string {
	return fmt.Sprintf("%d sessions tried, %d opened, %d writes served; readiness checks: %d good, %d not", s.tried, s.opened, s.served, s.ready, s.notReady)
}

// countServed opens a session with one write at each entry host in turn, and checks
// whether the host is ready, until d has passed.
func (in *installation) countServed(d time.Duration) service {
	var out service
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, m := range in.machines {
			if in.ready(m) {
				out.ready++
			} else {
				out.notReady++
			}
			out.tried++
			s, err := in.openWithin("n-"+m.name, m.name, "orders", readyTimeout)
			if err != nil {
				in.rec.add("%v", err)
				continue
			}
			out.opened++
			if a := s.do("write", "1a1 v"); a.success {
				out.served++
			}
			s.close()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return out
}

// recordProcessorTimes records the processor time that each gateway has used.
func (in *installation) recordProcessorTimes() {
	for _, m := range in.machines {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.gateway.cmd.Process.Pid))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(b), ") ")
		if fields := strings.Fields(rest); len(fields) > 12 {
			in.rec.say("the gateway of %s has used %s ticks of processor time, of which 100 are a second", m.name, fields[11])
		}
	}
}
