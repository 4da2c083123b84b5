package process_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var massSeeds = flag.Uint64("mass.seeds", 8, "number of seeds of TestSimulatedReadsAfterMassRestart")

const (
	simReadInterval = 5 * time.Millisecond
	// simReadLimit is the time within which a read must be answered again after the last
	// host has started.
	simReadLimit = 5 * time.Second
)

// configSim reads the configuration at all hosts of a simulation, and puts versions.
type configSim struct {
	*controlSim
	put       int
	committed string // highest version that a host has applied
}

// read reads at every host that would answer, checks that no committed version is
// missing from an answer, and reports whether a host answered.
func (c *configSim) read() bool {
	for _, id := range c.ids {
		c.committed = max(c.committed, c.hosts[id].state["config"])
	}
	answered := false
	for _, id := range c.ids {
		h := c.hosts[id]
		if !h.runs() || !h.machine.TermStarted() || !c.clock().Before(h.machine.LeaseUntil(c.clock())) {
			continue
		}
		answered = true
		if h.state["config"] != c.committed {
			c.fail("%s answers with version %q, %q is committed: %s", id, h.state["config"], c.committed, c.describe())
		}
	}
	return answered
}

// advanceReading plays d with reads, and versions that are put now and then at every host
// that takes itself for the leader. It reports whether the last read was answered.
func (c *configSim) advanceReading(d time.Duration) bool {
	answered := false
	for end := c.now + d; c.now < end; c.advance(simReadInterval) {
		answered = c.read()
		if c.rand.IntN(10) > 0 {
			continue
		}
		for _, id := range c.ids {
			c.put++
			c.propose(c.hosts[id], fmt.Sprintf("config %06d", c.put))
		}
	}
	return answered
}

// playMassRestarts kills nine tenths of the hosts at once, four times, and returns the
// violation of a check, or "".
func playMassRestarts(seed uint64, log func(string, ...any)) (failed violation) {
	defer func() {
		if v, ok := recover().(violation); ok {
			failed = v
		}
	}()
	c := &configSim{controlSim: newControlSim(seed, massRestartHosts, log)}
	c.advanceReading(7 * time.Second)
	for range 4 {
		c.lossRate = 0.1 * c.rand.Float64()
		c.advanceReading(c.between(0, 2*time.Second))
		order := c.rand.Perm(len(c.ids))[:massRestartHosts*9/10]
		for _, i := range order {
			c.stop(c.hosts[c.ids[i]])
		}
		spread := c.between(0, 500*time.Millisecond)
		for _, i := range order {
			c.advanceReading(c.between(0, spread))
			c.start(c.hosts[c.ids[i]])
		}
		c.lossRate = 0
		if !c.advanceReading(simReadLimit) {
			c.fail("no host answers a read %v after the last start: %s", simReadLimit, c.describe())
		}
	}
	return ""
}

// TestSimulatedReadsAfterMassRestart guards against a read of the configuration that is
// answered with an earlier version than a committed one, and against reads that are not
// answered any more, when nine tenths of the control hosts are killed at once, also while
// the membership changes.
func TestSimulatedReadsAfterMassRestart(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= *massSeeds; seed++ {
		if v := playMassRestarts(seed, func(string, ...any) {}); v != "" {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}
