package consensus

import "github.com/arbutusring/arbutusring/internal/wal"

// Output is the work that a Machine returns to its driver. The driver must
// complete it, in the order of the fields, before it calls the Machine again:
// the messages state that the preceding writes are durable. If the process
// ends before that, all of the output may be lost.
type Output struct {
	HardState *wal.HardState // to be made durable, unless nil
	Install   *wal.Snapshot  // to be made durable and restored; the log restarts after it
	Entries   []wal.Entry    // to be made durable; they replace the log from Entries[0].Index
	Committed []wal.Entry    // to be applied
	Messages  []Message      // to be sent

	// Violations describes received messages that contradict the protocol and were
	// ignored: a peer is faulty, or a disk has lost what was synced.
	Violations []string
	// FailedElection is the last election that this host started and that found no
	// majority in time; nil for none.
	FailedElection *FailedElection
}
