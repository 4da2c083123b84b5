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

// event is a fault at a host, and the time until the next event.
type event struct {
	fault, host int
	wait        time.Duration
}

// runEvents runs events, after the bootstrap unless early is set. It returns the
// text of a panic of a check or of the machine, or "".
func runEvents(s *sim, early bool, events []event, settle bool) (found string) {
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
		if s.rand.IntN(2) == 0 { // an isolated host then lags behind, and can't win an election
			s.propose()
		}
		all[e.fault].do(s, s.hosts[s.ids[e.host%len(s.ids)]])
		s.run(e.wait)
	}
	if settle && s.earlyDiskLoss == "" {
		s.settle()
	}
	return ""
}

// TestSafety guards against two leaders in a term, lost or changed commits,
// hosts that apply different sequences, a leader while another host holds a
// valid read lease of an older term, votes from a host with an empty folder,
// and a cluster that does not recover, each under random combinations of
// faults. A failure prints the seed; repeat it with -rapid.seed.
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
		if found := runEvents(s, rapid.Bool().Draw(t, "early"), events, true); found != "" {
			t.Fatalf("simulation seed %d: %s", seed, found)
		}
	})
}

// randomEvents returns n random events of the named faults. It does not use
// rapid, because TestChecksDetectDisabledMechanism tries consecutive seeds.
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

// TestChecksDetectDisabledMechanism guards against checks that pass whatever the
// machine does: with one mechanism disabled, a run must fail that passes with
// the mechanism enabled.
func TestChecksDetectDisabledMechanism(t *testing.T) {
	for _, test := range []struct {
		disabled        string
		keepIncarnation bool // disables the new incarnation of an empty folder
		faults          []string
		want            string // part of the text of the violation
		seed            uint64 // first seed to try; violations that need a rare order of events start near one that shows them
	}{
		{disabled: "stickiness", want: "holds the read lease",
			faults: []string{"cut leader from one", "mend the network"}},
		{disabled: "vote delay after start", seed: 105, want: "holds the read lease",
			faults: []string{"cut leader from one", "restart", "mend the network"}},
		{disabled: "lease ends with transfer", want: "holds the read lease",
			faults: []string{"transfer", "bad network", "mend"}},
		{disabled: "no votes with an empty log", keepIncarnation: true, want: "grants a vote with an empty folder",
			faults: []string{"lose disk", "isolate", "mend"}},
		{keepIncarnation: true, want: "than was committed before",
			faults: []string{"lose disk", "isolate", "pause", "mend"}},
	} {
		t.Run(fmt.Sprintf("%s, keep incarnation %v", test.disabled, test.keepIncarnation), func(t *testing.T) {
			t.Parallel()
			run := func(seed uint64, disabled string, keep bool) string {
				s := newSim(seed, disabled, 3, 2)
				s.keepIncarnation = keep
				return runEvents(s, false, randomEvents(seed, 40, test.faults), false)
			}
			for seed := test.seed; seed < test.seed+300; seed++ {
				if found := run(seed, "", false); found != "" {
					t.Fatalf("seed %d, nothing disabled: %s", seed, found)
				}
				if found := run(seed, test.disabled, test.keepIncarnation); strings.Contains(found, test.want) {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Errorf("no run failed with %q", test.want)
		})
	}
}
