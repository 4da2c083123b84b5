package owner

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

// recordKey identifies a cycle at one server. The server is part of it,
// because an entry sends the same cycle to another member after a refusal.
type recordKey struct {
	id     ownerrpc.RequestID
	server string
}

type recordState uint8

const (
	recordWaiting   recordState = iota // nothing was sent
	recordRunning                      // the server may have received it
	recordDone                         // reply is set
	recordCancelled                    // it will never be sent
)

// record is what is known about one cycle. outcomeStore.mu guards it.
type record struct {
	key        recordKey
	repeatable bool
	state      recordState
	cancel     context.CancelCauseFunc // ends the wait; nil for a cycle that has not arrived
	done       chan struct{}           // closed when reply is set
	at         time.Time               // when reply was set
	reply      ownerrpc.ExecReply
	dropped    bool // Messages of reply were dropped for lack of space
}
