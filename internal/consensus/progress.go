package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// progress is what a leader knows about another member.
type progress struct {
	match uint64 // last entry known to be durable there
	next  uint64 // next entry to send

	inFlight int // bytes that were sent and not answered

	// probing is set while it is unknown where the logs meet. One append is
	// outstanding then; paused is set until its reply or the next heartbeat.
	probing bool
	paused  bool

	// sent is when the newest answered message was sent, as Message.Sent
	// states it; 0 for none. contact is the same time, or the start of the
	// progress until then.
	sent    int64
	contact time.Time

	snapshot *transfer // nil unless a snapshot is being sent
}

// transfer is a snapshot on its way to a member.
type transfer struct {
	snapshot *wal.Snapshot
	offset   uint64
	sentAt   time.Time // of the chunk at offset
}
