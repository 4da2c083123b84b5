package caller

import (
	"encoding/binary"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// headerLen is the length of the type byte and the length word.
const headerLen = 5

// Framer splits the byte stream after startup into cycles. It is not safe for
// concurrent use. The limits must be set before the first Push.
type Framer struct {
	MaxMessageBytes int // bytes of one message with its header
	MaxCycleBytes   int // bytes of all messages of a cycle

	buf     []byte // bytes that no returned cycle contains
	scanned int    // offset in buf of the first message whose header has not been processed
	err     error  // first error; the stream cannot be continued after it

	terminated bool // bytes after Terminate are ignored
}

// Push appends received bytes.
func (f *Framer) Push(data []byte) {
	if !f.terminated {
		f.buf = append(f.buf, data...)
	}
}

// Buffered returns the number of bytes that no returned cycle contains.
func (f *Framer) Buffered() int { return len(f.buf) }

// Next returns the next complete cycle. It returns false if more bytes are
// needed. An error has kind BadRequest; the stream cannot be continued.
func (f *Framer) Next() (Cycle, bool, error) {
	for f.err == nil {
		rest := f.buf[f.scanned:]
		if len(rest) < headerLen {
			return Cycle{}, false, nil
		}
		kind, size, err := f.parseHeader(rest)
		if err != nil {
			f.err = err
			break
		}
		if len(rest) < size {
			return Cycle{}, false, nil
		}
		switch {
		case kind == 0:
			f.scanned += size
		case kind == kindTerminate:
			f.drop(len(f.buf)) // discards an incomplete cycle as well
			f.terminated = true
			return Cycle{Kind: kind}, true, nil
		case kind == KindFlush:
			c := Cycle{Kind: kind, Messages: f.take(f.scanned)}
			f.drop(size)
			if len(c.Messages) > 0 {
				return c, true, nil
			}
		case rest[0] == 'd' || rest[0] == 'c' || rest[0] == 'f':
			f.drop(size)
		default:
			return Cycle{Kind: kind, Messages: f.take(f.scanned + size)}, true, nil
		}
	}
	return Cycle{}, false, f.err
}

// parseHeader validates the message header at the start of rest. It returns the
// kind of the cycle that the message ends, or 0 if it does not end one, and the
// size of the message in bytes.
func (f *Framer) parseHeader(rest []byte) (Kind, int, error) {
	length := binary.BigEndian.Uint32(rest[1:headerLen])
	if length < 4 {
		return 0, 0, errkind.New(errkind.BadRequest, "message of type %q has the invalid length %d", rest[0], length)
	}
	if int64(length)+1 > int64(f.MaxMessageBytes) {
		return 0, 0, errkind.New(errkind.BadRequest, "message of type %q has %d bytes, the limit is %d", rest[0], int64(length)+1, f.MaxMessageBytes)
	}
	if (rest[0] == 'S' || rest[0] == 'H') && length != 4 {
		return 0, 0, errkind.New(errkind.BadRequest, "message of type %q has a body of %d bytes, must have none", rest[0], length-4)
	}
	size := int(length) + 1
	if f.scanned+size > f.MaxCycleBytes {
		return 0, 0, errkind.New(errkind.BadRequest, "cycle has more than %d bytes", f.MaxCycleBytes)
	}
	var kind Kind
	switch rest[0] {
	case 'P', 'B', 'D', 'E', 'C':
		return 0, size, nil
	case 'S':
		return KindExtended, size, nil
	case 'H':
		return KindFlush, size, nil
	case 'X':
		return kindTerminate, size, nil
	case 'd', 'c', 'f':
		// PostgreSQL ignores copy messages that arrive after a copy has failed.
		// Next drops them and does not use their kind.
		kind = KindQuery
	case 'Q':
		kind = KindQuery
	case 'F':
		kind = KindFunctionCall
	default:
		return 0, 0, errkind.New(errkind.BadRequest, "unknown message type %q", rest[0])
	}
	if f.scanned > 0 {
		return 0, 0, errkind.New(errkind.BadRequest, "message of type %q is not allowed between extended-protocol messages and their Sync", rest[0])
	}
	return kind, size, nil
}

// take removes the first n bytes of the buffer and returns them. If the buffer
// holds nothing else, it is returned itself, which avoids a copy and leaves an
// idle connection without a buffer.
func (f *Framer) take(n int) []byte {
	f.scanned = 0
	if n == 0 {
		return nil
	}
	if n == len(f.buf) {
		taken := f.buf
		f.buf = nil
		return taken
	}
	taken := append([]byte(nil), f.buf[:n]...)
	f.drop(n)
	return taken
}

// drop removes the first n bytes of the buffer.
func (f *Framer) drop(n int) {
	f.scanned = 0
	if n == len(f.buf) {
		f.buf = nil
		return
	}
	f.buf = f.buf[n:]
}
