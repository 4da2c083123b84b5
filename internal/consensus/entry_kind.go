package consensus

// The kinds of log entries, in wal.Entry.Kind. The values are stored.
const (
	entryCommand = 0 // Data is a proposed command
	entryNoop    = 1 // first entry of each term
	entryMembers = 2 // Data is the encoded membership
)
