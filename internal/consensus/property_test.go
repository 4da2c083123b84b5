package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// event is a fault at a host, and the time until the next.
type event struct {
	fault, host int
	wait        time.Duration
}

// attempt plays events, after the bootstrap unless early is set, and returns what a check or the machine found.
func attempt(s *sim, early bool, events []event, settle bool) (found string) {
	defer func() {
		if r := recover(); r != nil {
			found = fmt.Sprint(r)
		}
	}()
	all := faults()
	if !early {
		s.run(2 * time.Second)
	}
	for _, e := range events {
		if s.rand.IntN(2) == 0 { // a host that was cut off lags after that, and can't win an election
			s.propose()
		}
		all[e.fault].do(s, s.hosts[s.ids[e.host%len(s.ids)]])
		s.run(e.wait)
	}
	if settle && s.lostEarly == "" {
		s.settle()
	}
	return ""
}

// TestSafety guards, under any mix of faults, against two leaders of a term,
// lost or changed commits, hosts that apply different sequences, a leader
// beside a valid older read lease, votes from an empty folder, and a cluster
// that does not recover. A failure prints the seed; repeat it with
// -rapid.seed.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "simulation seed")
		s := newSim(seed, "", rapid.SampledFrom([]int{1, 2, 3, 3, 3, 5}).Draw(t, "voters"), rapid.IntRange(0, 2).Draw(t, "others"))
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				fault: rapid.IntRange(0, len(faults())-1).Draw(t, "fault"),
				host:  rapid.IntRange(0, len(s.ids)-1).Draw(t, "host"),
				wait:  time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait")) * time.Millisecond,
			}
		}), 10, 80).Draw(t, "events")
		if found := attempt(s, rapid.Bool().Draw(t, "early"), events, true); found != "" {
			t.Fatalf("simulation seed %d: %s", seed, found)
		}
	})
}

// randomEvents draws events of the named faults without rapid, for runs that
// search for a known weakness.
func randomEvents(seed uint64, n int, names []string) []event {
	var usable []int
	for i, f := range faults() {
		if slices.Contains(names, f.name) {
			usable = append(usable, i)
		}
	}
	r := rand.New(rand.NewPCG(seed, 2))
	events := make([]event, n)
	for i := range events {
		events[i] = event{
			fault: usable[r.IntN(len(usable))], host: r.IntN(5),
			wait: time.Duration(r.IntN(1000)) * time.Millisecond,
		}
	}
	return events
}

// TestChecksNotice guards against checks that pass whatever the machine does:
// with one mechanism switched off, runs must fail that pass with it.
func TestChecksNotice(t *testing.T) {
	for _, test := range []struct {
		off             string
		keepIncarnation bool // the mechanism that is off is the new incarnation of an empty folder
		faults          []string
		want            string // in the violation
		seed            uint64 // first seed to try; weaknesses that need a rare order start close to it
	}{
		{off: "stickiness", want: "holds the read lease",
			faults: []string{"cut leader from one", "mend the network"}},
		{off: "restart quiet time", seed: 70, want: "holds the read lease",
			faults: []string{"cut leader from one", "restart", "mend the network"}},
		{off: "lease ends with transfer", want: "holds the read lease",
			faults: []string{"transfer", "bad network", "mend"}},
		{off: "empty log votes never", keepIncarnation: true, want: "grants a vote with an empty folder",
			faults: []string{"lose disk", "isolate", "mend"}},
		{keepIncarnation: true, want: "than was committed before",
			faults: []string{"lose disk", "isolate", "pause", "mend"}},
	} {
		t.Run(fmt.Sprintf("%s, keep incarnation %v", test.off, test.keepIncarnation), func(t *testing.T) {
			t.Parallel()
			run := func(seed uint64, off string, keep bool) string {
				s := newSim(seed, off, 3, 2)
				s.keepIncarnation = keep
				return attempt(s, false, randomEvents(seed, 40, test.faults), false)
			}
			for seed := test.seed; seed < test.seed+300; seed++ {
				if found := run(seed, "", false); found != "" {
					t.Fatalf("seed %d, nothing off: %s", seed, found)
				}
				if found := run(seed, test.off, test.keepIncarnation); strings.Contains(found, test.want) {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Errorf("no run failed with %q", test.want)
		})
	}
}
