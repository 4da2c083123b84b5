package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

const (
	// pollTimeout limits a status poll.
	pollTimeout = time.Second
	// samplingIdleTimeout is the time after the last read that accepted
	// staleness at which the sampling of a group stops.
	samplingIdleTimeout = 2 * time.Second
)

// loopStatus polls the status of the owners in use. The polls also keep the
// transactions alive that the entry has open there.
func (e *Entry) loopStatus() {
	defer e.background.Done()
	tick := time.NewTicker(e.opts.StatusInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-e.ctx.Done():
			return
		}
		for address, members := range e.ownersInUse() {
			e.startPoll(address, members)
		}
	}
}

// ownersInUse returns the owners of groups with sessions by address, each with
// the members of these groups that it owns.
func (e *Entry) ownersInUse() map[string][]*member {
	v := e.view.Load()
	owners := make(map[string][]*member)
	e.mu.Lock()
	groups := make([]*group, 0, len(e.groups))
	for _, g := range e.groups {
		groups = append(groups, g)
	}
	e.mu.Unlock()
	for _, g := range groups {
		gv := v.groups[g.name]
		if gv == nil || !g.hasSessions() {
			continue
		}
		for _, t := range gv.targets {
			owners[t.address] = append(owners[t.address], t.member)
		}
	}
	return owners
}

// startPoll polls one owner unless its previous poll is still in progress.
func (e *Entry) startPoll(address string, members []*member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.polling[address] {
		return
	}
	e.polling[address] = true
	e.background.Add(1)
	go e.runPoll(address, members)
}

// runPoll polls one owner. A failed poll makes its members suspect, so that an
// owner that does not answer is noticed even if no statement waits for it.
func (e *Entry) runPoll(address string, members []*member) {
	defer e.background.Done()
	ctx, cancel := context.WithTimeout(e.ctx, pollTimeout)
	defer cancel()
	start := time.Now()
	reply, err := e.opts.Owners.Status(ctx, address, &ownerrpc.StatusArgs{Entry: e.id})
	now := time.Now()
	e.mu.Lock()
	delete(e.polling, address)
	var known []*member
	if err == nil {
		for _, st := range reply.Servers {
			known = append(known, e.members[st.Server])
		}
	}
	e.mu.Unlock()
	if err != nil && e.ctx.Err() == nil {
		for _, m := range members {
			m.recordFailure(now)
		}
	}
	for i, m := range known {
		if m == nil {
			continue
		}
		st := reply.Servers[i]
		load := st.Load
		load.Applied = load.Applied.Max(st.Applied)
		m.recordLoad(load, now)
		m.setReachable(st.Reachable)
		m.recordRTT(now.Sub(start))
	}
}

// loopSamples takes staleness samples of the groups with recent reads that
// accepted staleness.
func (e *Entry) loopSamples() {
	defer e.background.Done()
	tick := time.NewTicker(e.opts.SampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-e.ctx.Done():
			return
		}
		e.mu.Lock()
		for _, g := range e.groups {
			e.sampleGroup(g)
		}
		e.mu.Unlock()
	}
}

// sampleGroup starts a position request, unless one is running or scheduled, or
// no session needs a sample. The caller holds e.mu.
func (e *Entry) sampleGroup(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sessions == 0 || g.runningRequest != nil || g.pendingRequest != nil || time.Since(g.lastStaleRead) > samplingIdleTimeout {
		return
	}
	e.startPositionRequest(g, &positionRequest{done: make(chan struct{})})
}
