package wal

// Entry is one entry of the replicated log. The log gives no meaning to Kind
// and Data.
type Entry struct {
	Index uint64 `codec:"i"` // from 1, without gaps
	Term  uint64 `codec:"t"`
	Kind  uint8  `codec:"k"`
	Data  []byte `codec:"d"`
}
