package standin

import "github.com/arbutusring/arbutusring/pkg/logpos"

// The messages of replication, each in one CopyData in msgpack. After
// START_REPLICATION the replica sends hello, the primary answers with
// welcome, and from then on the primary sends batches and the replica reports.

type hello struct {
	Server  string    `codec:"s"`
	Term    uint64    `codec:"t"` // term whose primary the replica follows
	History []segment `codec:"h"` // segments of the replica's log
}

type welcome struct {
	Fork uint64 `codec:"f"` // LSN of the last common record
}

type batch struct {
	Records []record `codec:"r"` // empty as a sign of life
}

type report struct {
	Received logpos.Position `codec:"r"`
	Applied  logpos.Position `codec:"a"`
}
