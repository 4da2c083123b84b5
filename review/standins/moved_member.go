package main

import (
	"time"
)

// The case moved-member: another writer sends one incomplete heartbeat under the id
// of a replica, which names the other service. Clients read from that service.

const (
	// movedSequence is the sequence of the foreign heartbeat. Members count from 1.
	movedSequence = 1000
	movedReads    = 200
)

func prepareMovedMember(in *installation) error {
	_, err := in.startMembers(in.second, "i-90d2e7b", 41, "second")
	return err
}

func runMovedMember(in *installation, trouble bool) (bool, error) {
	stop := in.startTraffic("core-1", "core-2", "core-3", "edge-1", "edge-2")
	defer stop()
	time.Sleep(3 * time.Second)
	if trouble {
		m := in.members[1]
		in.sendForeignHeartbeat(m, in.second.service, "replica", movedSequence, m.born)
	}
	time.Sleep(time.Second)
	requests := make(map[string]answer)
	for _, host := range []string{"core-2", "edge-1", "edge-2"} {
		s, err := in.open("r-"+host, host, "stock")
		if err != nil {
			return false, err
		}
		for range movedReads {
			a := s.do("read", "1a0")
			requests[a.request] = a
		}
		s.close()
	}
	return in.checkRoutes(requests), nil
}

// checkRoutes reports whether a read of the second service ran at a member of the
// first one.
func (in *installation) checkRoutes(requests map[string]answer) bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	ran, foreign := 0, 0
	var example answer
	for _, a := range in.group.arrivals {
		if r, ok := requests[a.request]; ok {
			ran++
			if r.success {
				foreign, example = foreign+1, r
			}
		}
	}
	if ran > 0 {
		in.rec.say("BROKEN: %d of %d reads of service %s ran at members of service %s; %d clients' reads were answered from there, such as %s with the row %q",
			ran, len(requests), in.second.service, in.group.service, foreign, example.request, example.rows)
	}
	return ran > 0
}
