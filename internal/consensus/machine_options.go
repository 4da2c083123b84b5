package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// MachineOptions are the settings and the durable state of a Machine.
type MachineOptions struct {
	Self      Member        // id, incarnation and address
	Election  time.Duration // minimum election timeout; the maximum is twice that
	Heartbeat time.Duration
	Random    func(n int64) int64 // uniform in [0, n)
	Bootstrap []Member            // initial voters by id and address, or contacts if Join is set
	Join      bool                // never bootstrap; wait to be added as a learner

	HardState wal.HardState
	Snapshot  *wal.Snapshot // nil for none
	Entries   []wal.Entry   // after the snapshot

	faults faults
}

// faults switches off single mechanisms, so that tests can show that the
// checks notice their absence.
type faults struct {
	noStickiness      bool // votes are granted in spite of a live leader
	noRestartQuiet    bool // votes are granted right after the start
	emptyVotes        bool // a host with an empty log grants votes
	commitAnyTerm     bool // entries of earlier terms are committed by counting
	keepTransferLease bool // the lease survives the request to take over
}
