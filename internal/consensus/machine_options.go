package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// MachineOptions holds the settings and the restored durable state of a Machine.
type MachineOptions struct {
	Self               Member              // id, incarnation and address
	MinElectionTimeout time.Duration       // the maximum is twice that
	HeartbeatInterval  time.Duration       // interval between heartbeats
	Random             func(n int64) int64 // uniform in [0, n)
	Bootstrap          []Member            // initial voters by id and address; with Join, the hosts to send hello messages to
	Join               bool                // never bootstrap; wait to be added as a learner

	HardState wal.HardState
	Snapshot  *wal.Snapshot // nil for none
	Entries   []wal.Entry   // after the snapshot

	faults faults
}

// faults switches off single mechanisms, so that tests can show that their
// checks detect the absence.
type faults struct {
	noStickiness       bool // votes are granted while a leader is active
	noStartupVoteDelay bool // votes are granted right after the start
	voteWithEmptyLog   bool // a host with an empty log grants votes
	commitAnyTerm      bool // entries of earlier terms are committed by counting replicas
	keepTransferLease  bool // the lease stays valid after the request to take over
}
