package load

import (
	"fmt"
	"time"
)

// keptWrites bounds the writes of one key that are remembered. Older ones are
// only needed for reads that are more stale than this many writes.
const keptWrites = 256

// keyState is what a session knows about one of its keys. Only the session
// writes the key.
type keyState struct {
	name    string
	next    int // number of the next write
	acked   []ackedWrite
	refused map[int]bool // numbers that must never be read
}

type ackedWrite struct {
	number int
	at     time.Time // when the answer arrived
}

func newKeyState(name string) *keyState {
	return &keyState{name: name, next: 1, refused: make(map[int]bool)}
}

// ack records an acknowledged write.
func (k *keyState) ack(number int, at time.Time) {
	k.acked = append(k.acked, ackedWrite{number, at})
	if len(k.acked) > keptWrites {
		k.acked = append(k.acked[:0], k.acked[keptWrites/2:]...)
	}
}

// refuse records a write that was refused as not run.
func (k *keyState) refuse(number int) {
	k.refused[number] = true
	delete(k.refused, number-keptWrites)
}

// required returns the number that a read has to reach which accepts the
// state at time t.
func (k *keyState) required(t time.Time) int {
	for i := len(k.acked) - 1; i >= 0; i-- {
		if !k.acked[i].at.After(t) {
			return k.acked[i].number
		}
	}
	return 0
}

// violationKind is a check that has failed.
type violationKind string

// The checks.
const (
	ViolationReadYourWrites violationKind = "read_your_writes" // an acknowledged write was not read
	ViolationStaleness      violationKind = "staleness"        // a stale read was older than max_staleness
	ViolationRefusedRan     violationKind = "refused_ran"      // a write that was refused as not run was read
	ViolationNeverSent      violationKind = "never_sent"       // a number was read that was never sent
)

// Violation describes a failed check.
type Violation struct {
	Kind   violationKind
	Rank   string
	Key    string
	Detail string
}

// check compares what a read returned with what it has to return. number is 0
// if the row was missing.
func (k *keyState) check(number int, begun time.Time, staleness time.Duration) (v Violation, ok bool) {
	required := k.required(begun.Add(-staleness))
	v = Violation{Key: k.name, Detail: fmt.Sprintf("read %d, required at least %d, sent up to %d", number, required, k.next-1)}
	switch {
	case number >= k.next || number < 0:
		v.Kind = ViolationNeverSent
	case k.refused[number]:
		v.Kind = ViolationRefusedRan
	case number < required && staleness > 0:
		v.Kind = ViolationStaleness
	case number < required:
		v.Kind = ViolationReadYourWrites
	default:
		return v, true
	}
	return v, false
}
