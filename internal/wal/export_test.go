package wal

// FileSystem and File let a test replace the files of a Log.
type (
	FileSystem = fileSystem
	File       = file
)

// SetFiles replaces the file system of the log. It exists in tests only.
func (o *Options) SetFiles(files FileSystem) { o.files = files }
