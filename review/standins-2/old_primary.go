package main

import "time"

const (
	// readers is the number of clients that read.
	readers = 4
	// secondServes is how long the second primary serves before it goes dark.
	secondServes = time.Second
)

// runOldPrimary cuts the first primary off until the second one has served and gone dark
// while the third server is down. It looks for reads that ran without a commit that had
// been acknowledged before they were sent and is in force at the end.
func runOldPrimary(in *installation, trouble bool) (bool, error) {
	in.clients.startReaders(readers)
	if _, err := in.bringFirstPrimaryBack(trouble, secondServes); err != nil {
		return false, err
	}
	in.clients.end()
	return in.judgeStale(), nil
}

// judgeStale reports whether each successful read ran on a log with all commits that
// were acknowledged before it was sent. Commits that aren't in the log of the newest
// primary at the end were rolled back, and are not judged.
func (in *installation) judgeStale() bool {
	acked := make(map[string]time.Time) // of writes
	sent := make(map[string]time.Time)  // of successful reads
	for _, o := range in.clients.results() {
		switch {
		case o.success && o.read:
			sent[o.id] = o.sent
		case o.success:
			acked[o.id] = o.answered
		}
	}
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	var inForce []string
	dropped := 0
	for id := range acked {
		if g.kept(id) {
			inForce = append(inForce, id)
		} else {
			dropped++
		}
	}
	stale := 0
	for _, r := range g.reads {
		at, ok := sent[r.id]
		if !ok {
			continue
		}
		had := make(map[string]bool, len(r.log))
		for _, e := range r.log {
			had[e.id] = true
		}
		for _, id := range inForce {
			if acked[id].Before(at) && !had[id] {
				stale++
				in.rec.note("BROKEN: read %s was sent at %.3f and ran at %s, log at %d.%d, without commit %s, acknowledged at %.3f",
					r.id, in.rec.at(at), r.server, r.term, len(r.log), id, in.rec.at(acked[id]))
				break
			}
		}
	}
	in.rec.say("%d acknowledged writes, %d successful reads; reads without an acknowledged commit that is in force at the end: %d; acknowledged and in the log of no primary at the end: %d",
		len(acked), len(sent), stale, dropped)
	return stale == 0 && len(sent) > 0
}
