package wal

// Options configures a Log.
type Options struct {
	Dir          string
	Host         string // host id; the folder belongs to it permanently
	SegmentBytes int64  // size from which a new segment is started; default 16 MiB

	files fileSystem // nil for that of the operating system
}
