package main

import (
	"context"
	"errors"
	"time"
)

// The case foreign-heartbeat: another writer sends one incomplete heartbeat under
// the id of the primary. Later the primary announces its planned shutdown.

const (
	// drainBound is the bound drain_ms: a member that is acknowledged as draining
	// gets no request later than that.
	drainBound = 7 * time.Second
	// drainExtra is how long the member serves beyond drainBound before it leaves.
	drainExtra = 3 * time.Second
)

func runForeignHeartbeat(in *installation, trouble bool) (bool, error) {
	stop := in.startTraffic("core-1", "core-2", "core-3", "edge-1", "edge-2")
	defer stop()
	time.Sleep(3 * time.Second)
	primary := in.members[0]
	if trouble {
		in.sendForeignHeartbeat(primary, in.group.service, "primary", 1, time.Now().UnixMilli())
	}
	time.Sleep(2 * time.Second)
	in.rec.say("member %s begins its planned shutdown", primary.id)
	in.group.mu.Lock()
	primary.draining = true
	in.group.mu.Unlock()
	primary.announceSoon()
	acked, err := in.awaitDraining(primary)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acked.Add(drainBound + drainExtra)))
	primary.leave()
	time.Sleep(time.Second)
	return in.checkDrained(primary, acked), nil
}

// sendForeignHeartbeat sends a heartbeat under the id and address of m, without the
// software version and the time until the member is warm.
func (in *installation) sendForeignHeartbeat(m *member, service, role string, sequence int, born int64) {
	body := fill(in.wire.ForeignHeartbeat, map[string]any{
		"service": service, "address": m.address, "zone": m.zone, "state": "ready", "role": role, "sequence": sequence, "born": born,
	})
	in.rec.say("another writer sends to core-1 as %s: %s", m.id, body)
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	status := post(ctx, "http://"+in.controls()[0]+m.path("heartbeat"), body)
	in.rec.say("the other writer gets status %d", status)
}

// awaitDraining waits until the draining state of the member is acknowledged.
func (in *installation) awaitDraining(m *member) (time.Time, error) {
	for range 500 {
		in.group.mu.Lock()
		at := m.drainingAt
		in.group.mu.Unlock()
		if !at.IsZero() {
			return at, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Time{}, errors.New("the draining state was not acknowledged")
}

// checkDrained reports whether a request that begins work reached the member later
// than the bound after the acknowledgement.
func (in *installation) checkDrained(m *member, acked time.Time) bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	late := 0
	var last time.Time
	for _, a := range in.group.arrivals {
		if a.member == m.id && a.at.After(acked.Add(drainBound)) {
			late, last = late+1, a.at
		}
	}
	if late > 0 {
		in.rec.say("BROKEN: %d requests reached %s later than %v after the acknowledgement, the last one %.1f s after it", late, m.id, drainBound, last.Sub(acked).Seconds())
	}
	in.rec.say("promotions after the acknowledgement: %d", len(in.group.promotions))
	return late > 0
}
