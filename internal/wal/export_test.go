package wal

// FileSystem and File let a test replace the files of a Log.
type (
	FileSystem = fileSystem
	File       = file
)

// SetFiles replaces the file system of the log. It exists in tests only.
func (o *Options) SetFiles(files FileSystem) { o.files = files }

// ReplayRecords replays the records of a segment up to the first damaged one. It returns
// the entries and the number of bytes before that record.
func ReplayRecords(data []byte) (entries []Entry, valid int, err error) {
	var r replay
	for valid < len(data) {
		payload, next, status := readRecord(data, valid)
		if status != recordValid {
			isTornWrite(data, valid, status)
			break
		}
		if _, err := r.applyRecord(payload, 1); err != nil {
			return nil, valid, err
		}
		valid = next
	}
	return r.entries, valid, nil
}

// EncodeEntries returns a record for each entry.
func EncodeEntries(entries []Entry) ([]byte, error) {
	var out []byte
	for _, e := range entries {
		record, err := encodeRecord(appendEntry(nil, e))
		if err != nil {
			return nil, err
		}
		out = append(out, record...)
	}
	return out, nil
}

// ApplyPayload replays the payload of one record.
func ApplyPayload(payload []byte) ([]Entry, error) {
	var r replay
	_, err := r.applyRecord(payload, 1)
	return r.entries, err
}

// EncodeSnapshot and DecodeSnapshot convert the content of a snapshot file.
func EncodeSnapshot(s *Snapshot) []byte { return s.encode() }

// DecodeSnapshot is the inverse of EncodeSnapshot.
func DecodeSnapshot(b []byte) (*Snapshot, error) { return decodeSnapshot(b) }
