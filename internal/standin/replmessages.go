package standin

import "github.com/arbutusring/arbutusring/pkg/logpos"

// Each replication message is one CopyData message with a MessagePack payload.
// After START_REPLICATION the replica sends hello and the primary answers with
// helloReply. From then on the primary sends recordBatch messages and the
// replica sends progressReport messages.

type hello struct {
	ServerID string      `codec:"s"`
	Term     uint64      `codec:"t"` // term whose primary the replica follows
	History  []termRange `codec:"h"` // term ranges of the replica's log
}

type helloReply struct {
	Fork uint64 `codec:"f"` // LSN of the last common record
}

type recordBatch struct {
	Records []record `codec:"r"` // empty in a heartbeat
}

type progressReport struct {
	Received logpos.Position `codec:"r"`
	Applied  logpos.Position `codec:"a"`
}
