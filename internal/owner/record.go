package owner

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

// recordKey identifies a cycle at one server. It includes the server so that an
// answer stored for one server, such as a refusal, is not returned for another.
type recordKey struct {
	id     ownerrpc.RequestID
	server string
}

type recordState uint8

const (
	recordWaiting   recordState = iota // waiting; nothing was sent
	recordRunning                      // sent; the server may have received it
	recordDone                         // reply is set
	recordCancelled                    // cancelled before it was sent; it never will be
)

// record is the state and the answer of one cycle. outcomeStore.mu guards it.
type record struct {
	key             recordKey
	arrived         bool   // false if it was cancelled before
	digest          uint64 // of its messages, if it has arrived
	repeatable      bool
	state           recordState
	cancel          context.CancelCauseFunc // ends the wait before sending; nil if finished or not yet arrived
	done            chan struct{}           // closed when reply is set
	storedAt        time.Time               // when reply was set
	reply           ownerrpc.ExecReply
	messagesDropped bool // Messages of reply were removed to limit memory
}
