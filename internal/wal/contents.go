package wal

// Contents is what Open found in the data folder.
type Contents struct {
	Identity       Identity
	Created        bool // Open created the identity
	HardState      HardState
	Snapshot       *Snapshot // nil for none
	Entries        []Entry   // after Snapshot.Index, without gaps
	TruncatedBytes int64     // bytes of an incomplete last record that Open cut off
}

// Empty reports whether the folder holds neither entries nor a snapshot.
func (c *Contents) Empty() bool { return c.Snapshot == nil && len(c.Entries) == 0 }
