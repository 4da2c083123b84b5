package standin

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// Fault names a fault switch or a delay that can be changed at run time.
type Fault string

// The switches take 'on', 'off', or a duration after which they switch
// themselves off. The counts take a number. The delays take a duration.
const (
	FaultFreeze          Fault = "freeze"           // switch: accepts connections and data, answers nothing
	FaultSilent          Fault = "silent"           // switched on: connections that exist at this moment never answer again
	FaultRefuse          Fault = "refuse"           // switch: new connections are reset
	FaultStopReplication Fault = "stop_replication" // switch: neither sends nor accepts records

	FaultDropAnswer  Fault = "drop_answer"  // count: this many commits that write are answered by closing the connection
	FaultCutAnswer   Fault = "cut_answer"   // count: the next answer ends after this many bytes, and the connection is closed
	FaultStallAnswer Fault = "stall_answer" // count: the next answer stops after this many bytes, and nothing follows

	FaultServiceTime      Fault = "service_time"
	FaultConnectDelay     Fault = "connect_delay"
	FaultReplicationDelay Fault = "replication_delay"
	FaultApplyDelay       Fault = "apply_delay"
)

// faults are the current settings. Methods are safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	until   map[Fault]time.Time // end of a switch that is on
	counts  map[Fault]int
	delays  map[Fault]time.Duration
	changed chan struct{} // closed and replaced by every change
}

// forever is later than the end of any test.
var forever = time.Unix(1<<40, 0)

func newFaults(o Options) *faults {
	return &faults{
		until:  make(map[Fault]time.Time),
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

// set changes a setting.
func (f *faults) set(name Fault, value string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	bad := Error.New("fault %q has no value %q", name, value)
	switch name {
	case FaultFreeze, FaultSilent, FaultRefuse, FaultStopReplication:
		switch d, err := time.ParseDuration(value); {
		case value == "on":
			f.until[name] = forever
		case value == "off":
			delete(f.until, name)
		case err == nil && d > 0:
			f.until[name] = time.Now().Add(d)
		default:
			return bad
		}
	case FaultDropAnswer, FaultCutAnswer, FaultStallAnswer:
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return bad
		}
		f.counts[name] = n
	case FaultServiceTime, FaultConnectDelay, FaultReplicationDelay, FaultApplyDelay:
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return bad
		}
		f.delays[name] = d
	default:
		return Error.New("unknown fault %q", name)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// on reports whether a switch is on.
func (f *faults) on(name Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until[name])
}

// delay returns a delay.
func (f *faults) delay(name Fault) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delays[name]
}

// takeDrop uses up one count of FaultDropAnswer.
func (f *faults) takeDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[FaultDropAnswer] == 0 {
		return false
	}
	f.counts[FaultDropAnswer]--
	return true
}

// takeBytes returns and resets the bytes of FaultCutAnswer or
// FaultStallAnswer; 0 means that the fault is not set.
func (f *faults) takeBytes(name Fault) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.counts[name]
	delete(f.counts, name)
	return n
}

// awaitOff waits until a switch is off.
func (f *faults) awaitOff(ctx context.Context, name Fault) error {
	for {
		f.mu.Lock()
		left, changed := time.Until(f.until[name]), f.changed
		f.mu.Unlock()
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
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
