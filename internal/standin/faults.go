package standin

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// Fault names a fault or a delay that can be set at run time.
type Fault string

// The values of a switch are 'on', 'off', or a duration after which it turns
// itself off. The value of a count is a number, and that of a delay a duration.
const (
	FaultFreeze          Fault = "freeze"           // switch: connections and data are accepted, but nothing is answered
	FaultSilent          Fault = "silent"           // switch: turning it on makes existing connections never answer again
	FaultRefuse          Fault = "refuse"           // switch: new connections are reset
	FaultStopReplication Fault = "stop_replication" // switch: records are neither sent nor stored, and progress is not reported

	FaultDropAnswer  Fault = "drop_answer"  // count: number of committed writes whose answer is dropped and connection closed
	FaultCutAnswer   Fault = "cut_answer"   // count: bytes of the next answer that are sent before the connection is closed
	FaultStallAnswer Fault = "stall_answer" // count: bytes of the next answer that are sent before the connection becomes silent

	// FaultRepeatAnswer is a count: number of answers to statements on tables that are
	// sent again, immediately before the next such answer on the connection.
	FaultRepeatAnswer Fault = "repeat_answer"

	FaultServiceTime      Fault = "service_time"
	FaultConnectDelay     Fault = "connect_delay"
	FaultReplicationDelay Fault = "replication_delay"
	FaultApplyDelay       Fault = "apply_delay"
)

// faults holds the current fault settings. Its methods are safe for concurrent
// use.
type faults struct {
	mu      sync.Mutex
	offAt   map[Fault]time.Time // when a switch turns itself off; a missing switch is off
	counts  map[Fault]int
	delays  map[Fault]time.Duration
	changed chan struct{} // closed and replaced on every change
}

// neverOff is the offAt of a switch without a duration: later than the end of
// any test.
var neverOff = time.Unix(1<<40, 0)

func newFaults(o Options) *faults {
	return &faults{
		offAt:  make(map[Fault]time.Time),
		counts: make(map[Fault]int),
		delays: map[Fault]time.Duration{
			FaultServiceTime:      o.ServiceTime,
			FaultConnectDelay:     o.ConnectDelay,
			FaultReplicationDelay: o.ReplicationDelay,
			FaultApplyDelay:       o.ApplyDelay,
		},
		changed: make(chan struct{}),
	}
}

// set parses value and applies it to the fault name.
func (f *faults) set(name Fault, value string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	errBadValue := Error.New("fault %q: invalid value %q", name, value)
	switch name {
	case FaultFreeze, FaultSilent, FaultRefuse, FaultStopReplication:
		switch d, err := time.ParseDuration(value); {
		case value == "on":
			f.offAt[name] = neverOff
		case value == "off":
			delete(f.offAt, name)
		case err == nil && d > 0:
			f.offAt[name] = time.Now().Add(d)
		default:
			return errBadValue
		}
	case FaultDropAnswer, FaultCutAnswer, FaultStallAnswer, FaultRepeatAnswer:
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return errBadValue
		}
		f.counts[name] = n
	case FaultServiceTime, FaultConnectDelay, FaultReplicationDelay, FaultApplyDelay:
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return errBadValue
		}
		f.delays[name] = d
	default:
		return Error.New("unknown fault %q", name)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// isOn reports whether a switch is on.
func (f *faults) isOn(name Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.offAt[name])
}

// delay returns the current value of a delay.
func (f *faults) delay(name Fault) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delays[name]
}

// consumeAnswer reports whether name, which is FaultDropAnswer or FaultRepeatAnswer,
// applies to the next answer, and decrements its count.
func (f *faults) consumeAnswer(name Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[name] == 0 {
		return false
	}
	f.counts[name]--
	return true
}

// consumeByteCount returns and resets the byte count of FaultCutAnswer or
// FaultStallAnswer; 0 means that the fault is not set.
func (f *faults) consumeByteCount(name Fault) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.counts[name]
	delete(f.counts, name)
	return n
}

// awaitOff waits until a switch is off or ctx ends.
func (f *faults) awaitOff(ctx context.Context, name Fault) error {
	for {
		f.mu.Lock()
		remaining, changed := time.Until(f.offAt[name]), f.changed
		f.mu.Unlock()
		if remaining <= 0 {
			return nil
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}
