package wal

import "encoding/binary"

// The kinds of items in the payload of a log record.
const (
	itemSegment   = 1 // segment number; first item of each segment
	itemHardState = 2
	itemEntry     = 3
	itemReset     = 4 // empties the log; the next entry is index+1
)

func appendBytes(b, data []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(data))), data...)
}

func appendHardState(b []byte, hs HardState) []byte {
	b = binary.AppendUvarint(append(b, itemHardState), hs.Term)
	b = appendBytes(b, []byte(hs.Vote))
	return appendBytes(b, []byte(hs.BootstrapVote))
}

func appendEntry(b []byte, e Entry) []byte {
	b = binary.AppendUvarint(append(b, itemEntry), e.Index)
	b = binary.AppendUvarint(b, e.Term)
	return appendBytes(append(b, e.Kind), e.Data)
}

func appendReset(b []byte, index, term uint64) []byte {
	b = binary.AppendUvarint(append(b, itemReset), index)
	return binary.AppendUvarint(b, term)
}

func appendSegment(b []byte, number uint64) []byte {
	return binary.AppendUvarint(append(b, itemSegment), number)
}
