package consensus

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// progress is the replication state of another member, as known to the leader.
type progress struct {
	match uint64 // last entry known to be durable there
	next  uint64 // next entry to send

	inFlightBytes int // entry bytes sent and not yet acknowledged

	// probing is set while the last common entry of both logs is unknown. Then
	// only one append is outstanding at a time; paused is set until its reply or
	// the next heartbeat.
	probing bool
	paused  bool

	// ackedSent is the newest Message.Sent that the member has answered; 0 for
	// none. contact is the same instant as a time; until the first answer it is
	// the time at which the leader started to track the member.
	ackedSent int64
	contact   time.Time

	snapshot *snapshotTransfer // nil unless a snapshot is being sent
}

// snapshotTransfer is a snapshot that is being sent to a member.
type snapshotTransfer struct {
	snapshot *wal.Snapshot
	offset   uint64
	sentAt   time.Time // of the chunk at offset
}
