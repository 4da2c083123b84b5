package standin

import (
	"bytes"
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/ugorji/go/codec"
)

// recordHeaderLen is the length in bytes of a record header in the file: the
// length of the payload (4 bytes) and its checksum (8 bytes).
const recordHeaderLen = 12

const logFileName = "log"

// logFile is the log on disk. node.logMu serialises all calls.
type logFile struct {
	f          *os.File
	endOffsets []int64 // endOffsets[i] is the file offset after the record with LSN i+1
	buf        bytes.Buffer
}

// openLogFile opens the log in folder and returns its records. A torn record at
// the end is left by a crash during a write; it was never acknowledged and is
// truncated. A corrupt record before the end is an error.
func openLogFile(folder string) (*logFile, []record, error) {
	path := filepath.Join(folder, logFileName)
	data, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, nil, Error.Wrap(err)
	}
	l := &logFile{}
	var records []record
	offset := 0
	for len(data)-offset >= recordHeaderLen {
		n := int(binary.BigEndian.Uint32(data[offset:]))
		end := offset + recordHeaderLen + n
		if end > len(data) {
			break
		}
		payload := data[offset+recordHeaderLen : end]
		if xxhash.Sum64(payload) != binary.BigEndian.Uint64(data[offset+4:]) {
			if end < len(data) {
				return nil, nil, Error.New("%s: corrupt record at offset %d", path, offset)
			}
			break
		}
		var r record
		if err := unmarshal(payload, &r); err != nil {
			return nil, nil, Error.New("%s: cannot decode the record at offset %d: %v", path, offset, err)
		}
		if r.LSN != uint64(len(records))+1 {
			return nil, nil, Error.New("%s: record at offset %d has LSN %d, want %d", path, offset, r.LSN, len(records)+1)
		}
		records = append(records, r)
		l.endOffsets = append(l.endOffsets, int64(end))
		offset = end
	}
	if l.f, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, nil, Error.Wrap(err)
	}
	if err = l.f.Truncate(int64(offset)); err == nil {
		err = l.f.Sync()
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		_ = l.f.Close()
		return nil, nil, Error.Wrap(err)
	}
	return l, records, nil
}

// append writes and syncs records. After an error the state of the file is
// unknown, so the caller must not write any more.
func (l *logFile) append(records []record) error {
	l.buf.Reset()
	end := l.endOffset()
	for _, r := range records {
		payload, err := marshal(r)
		if err != nil {
			return err
		}
		var header [recordHeaderLen]byte
		binary.BigEndian.PutUint32(header[:], uint32(len(payload)))
		binary.BigEndian.PutUint64(header[4:], xxhash.Sum64(payload))
		l.buf.Write(header[:])
		l.buf.Write(payload)
		end += int64(recordHeaderLen + len(payload))
		l.endOffsets = append(l.endOffsets, end)
	}
	if _, err := l.f.WriteAt(l.buf.Bytes(), end-int64(l.buf.Len())); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(l.f.Sync())
}

// truncate keeps the first n records.
func (l *logFile) truncate(n int) error {
	l.endOffsets = l.endOffsets[:n]
	if err := l.f.Truncate(l.endOffset()); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(l.f.Sync())
}

func (l *logFile) endOffset() int64 {
	if len(l.endOffsets) == 0 {
		return 0
	}
	return l.endOffsets[len(l.endOffsets)-1]
}

func (l *logFile) close() error { return Error.Wrap(l.f.Close()) }

// marshal encodes v as MessagePack.
func marshal(v any) ([]byte, error) {
	var out []byte
	err := codec.NewEncoderBytes(&out, new(codec.MsgpackHandle)).Encode(v)
	return out, Error.Wrap(err)
}

// unmarshal decodes MessagePack data into v.
func unmarshal(data []byte, v any) error {
	return Error.Wrap(codec.NewDecoderBytes(data, new(codec.MsgpackHandle)).Decode(v))
}
