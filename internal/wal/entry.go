package wal

// Entry is one entry of the replicated log. Kind and Data are opaque to this
// package.
type Entry struct {
	Index uint64 `codec:"i"` // from 1, without gaps
	Term  uint64 `codec:"t"`
	Kind  uint8  `codec:"k"`
	Data  []byte `codec:"d"`
}
