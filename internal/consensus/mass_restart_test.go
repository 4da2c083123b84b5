package consensus_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	massRestartFirst = flag.Uint64("mass-restart-first", 1, "first seed of TestReadsAfterMassRestart")
	massRestartSeeds = flag.Uint64("mass-restart-seeds", 20, "number of seeds of TestReadsAfterMassRestart")
)

const (
	massRestartVoters = 7 // of ten hosts; the others are learners
	massRestartHosts  = 10
	// massRestartLimit is the time within which a read must be answered again after the
	// last host has started.
	massRestartLimit = 3 * time.Second
	readInterval     = 5 * time.Millisecond
)

// read reads at every host that would answer, and checks that the answer includes
// every entry that was committed before. It reports whether a host answered.
func (s *sim) read() bool {
	answered := false
	for _, id := range s.ids {
		h := s.hosts[id]
		if h.machine == nil || h.paused || !h.localTime(s.now).Before(h.leaseUntil) || !s.answersEarly && !h.machine.TermStarted() {
			continue
		}
		answered = true
		if h.applied != uint64(len(s.committed))-1 {
			s.fail("%s answers a read with entry %d, entry %d is committed", h.id, h.applied, len(s.committed)-1)
		}
	}
	return answered
}

// runReading runs for d with reads and a command now and then, and reports whether the
// last read was answered.
func (s *sim) runReading(d time.Duration) bool {
	answered := false
	for end := s.now + d; s.now < end; s.run(readInterval) {
		answered = s.read()
		if s.rand.IntN(8) == 0 {
			s.proposeAtLeader()
		}
	}
	return answered
}

// playMassRestarts kills nine tenths of the hosts at once, three times, and returns the
// violation of a check, or "". With answersEarly, a leader answers before it has
// committed an entry of its term.
func playMassRestarts(seed uint64, answersEarly bool) (found string) {
	defer func() {
		if r := recover(); r != nil {
			found = fmt.Sprint(r)
		}
	}()
	s := newSim(seed, "", massRestartVoters, massRestartHosts-massRestartVoters)
	s.answersEarly = answersEarly
	s.slowWrite = time.Duration(s.rand.Int64N(int64(400 * time.Millisecond)))
	s.runMaintained(3 * time.Second)
	for range 3 {
		s.lossRate, s.duplicateRate, s.delayRate = 0.1*s.rand.Float64(), 0.1*s.rand.Float64(), 0.05*s.rand.Float64()
		if s.rand.IntN(3) == 0 {
			s.transferLeadership()
		}
		s.runReading(time.Duration(s.rand.Int64N(int64(time.Second))))
		killed := slices.Clone(s.ids)
		s.rand.Shuffle(len(killed), func(i, j int) { killed[i], killed[j] = killed[j], killed[i] })
		killed = killed[:massRestartHosts*9/10]
		for _, id := range killed {
			s.crash(s.hosts[id])
		}
		spread := time.Duration(s.rand.Int64N(int64(500 * time.Millisecond)))
		for _, id := range killed {
			s.runReading(time.Duration(s.rand.Int64N(int64(spread) + 1)))
			s.startHost(s.hosts[id])
			s.hosts[id].slowWrites = s.rand.IntN(6)
		}
		s.lossRate, s.duplicateRate, s.delayRate = 0, 0, 0
		if !s.runReading(massRestartLimit) {
			s.fail("no host answers a read %v after the last start", massRestartLimit)
		}
	}
	s.settle()
	return ""
}

// TestReadsAfterMassRestart guards against a leader that answers a read before it knows
// of every committed entry, and against reads that are not answered any more, when nine
// tenths of the hosts are killed at once and start again.
func TestReadsAfterMassRestart(t *testing.T) {
	for seed := *massRestartFirst; seed < *massRestartFirst+*massRestartSeeds; seed++ {
		if found := playMassRestarts(seed, false); found != "" {
			t.Errorf("seed %d: %s", seed, found)
		}
	}
}

// TestReadCheckDetectsEarlyAnswers guards against a check of the reads that passes
// whatever a leader answers.
func TestReadCheckDetectsEarlyAnswers(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		if found := playMassRestarts(seed, true); strings.Contains(found, "answers a read with entry") {
			t.Logf("seed %d: %s", seed, found)
			return
		}
	}
	t.Error("no run failed")
}
