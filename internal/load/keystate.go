package load

import (
	"fmt"
	"time"
)

// maxKeptWrites bounds the writes that are kept for each key. Older ones are
// needed only for reads that are stale by more writes than this.
const maxKeptWrites = 256

// keyState records the writes of a session to one of its keys. No other
// session writes the key.
type keyState struct {
	name       string
	nextNumber int // sequence number of the next write
	acked      []ackedWrite
	refused    map[int]bool // sequence numbers of refused writes; no read may return them
}

type ackedWrite struct {
	number int
	at     time.Time // when the answer arrived
}

func newKeyState(name string) *keyState {
	return &keyState{name: name, nextNumber: 1, refused: make(map[int]bool)}
}

// ack records a write that was acknowledged at the given time.
func (k *keyState) ack(number int, at time.Time) {
	k.acked = append(k.acked, ackedWrite{number, at})
	if len(k.acked) > maxKeptWrites {
		k.acked = append(k.acked[:0], k.acked[maxKeptWrites/2:]...)
	}
}

// refuse records a write that was refused as not run.
func (k *keyState) refuse(number int) {
	k.refused[number] = true
	delete(k.refused, number-maxKeptWrites)
}

// lastAckedAt returns the number of the last write that had been acknowledged
// at time t, or 0 if there is none.
func (k *keyState) lastAckedAt(t time.Time) int {
	for i := len(k.acked) - 1; i >= 0; i-- {
		if !k.acked[i].at.After(t) {
			return k.acked[i].number
		}
	}
	return 0
}

// violationKind names a consistency check.
type violationKind string

// The consistency checks, by what a failed one has found.
const (
	ViolationReadYourWrites violationKind = "read_your_writes" // a read missed a write acknowledged to its session
	ViolationStaleness      violationKind = "staleness"        // a read was staler than max_staleness
	ViolationRefusedRan     violationKind = "refused_ran"      // a read returned a write that was refused as not run
	ViolationNeverSent      violationKind = "never_sent"       // a read returned a number that was never sent
)

// Violation describes a failed consistency check.
type Violation struct {
	Kind   violationKind
	Rank   string
	Key    string
	Detail string
}

// check reports whether a read that started at readStarted may return number,
// and describes the violation if not. number is 0 if the row was missing, and
// negative if the value was no number.
func (k *keyState) check(number int, readStarted time.Time, maxStaleness time.Duration) (v Violation, ok bool) {
	minNumber := k.lastAckedAt(readStarted.Add(-maxStaleness))
	v = Violation{Key: k.name, Detail: fmt.Sprintf("read %d, required at least %d, sent up to %d", number, minNumber, k.nextNumber-1)}
	switch {
	case number >= k.nextNumber || number < 0:
		v.Kind = ViolationNeverSent
	case k.refused[number]:
		v.Kind = ViolationRefusedRan
	case number < minNumber && maxStaleness > 0:
		v.Kind = ViolationStaleness
	case number < minNumber:
		v.Kind = ViolationReadYourWrites
	default:
		return v, true
	}
	return v, false
}
