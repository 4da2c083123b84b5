package peer

import (
	"io"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/ugorji/go/codec"
)

const (
	// maxMessageBytes limits one message. The largest is the replicated state with a
	// configuration of 8 MB.
	maxMessageBytes = 64 << 20
	// smallMessageBytes is the size up to which messages are not counted, and up to
	// which a decoder keeps its buffers.
	smallMessageBytes = 64 << 10
	// messageCopies is how often a message is held while it is decoded.
	messageCopies = 3
)

// messageReader decodes messages from a connection. It resets the decoder for each of
// them: without that, the decoder (v1.3.2) keeps the bytes of all strings of a connection
// for ever, which took 262 MB after 400,000 messages of 200 bytes.
type messageReader struct {
	conn    io.Reader
	memory  *limit.Budget // nil for no limit
	dec     *codec.Decoder
	handle  *codec.MsgpackHandle
	read    int   // bytes of the message so far
	held    int64 // bytes taken from the budget for the message
	started bool  // the first byte of a part has been read
	isMap   bool  // that byte begins a map
	readErr error // of the connection
	invalid error // first error that isn't one of the connection
}

func newMessageReader(conn io.Reader, memory *limit.Budget) *messageReader {
	r := &messageReader{conn: conn, memory: memory, handle: newHandle()}
	r.dec = codec.NewDecoder(r, r.handle)
	return r
}

// begin begins a message, which consists of a header and a body.
func (r *messageReader) begin() { r.read = 0 }

// decode decodes the next part of a message, which must be a map, into v; nil discards
// the part. The decoder alone would take nil for a struct of zero values.
func (r *messageReader) decode(v any) error {
	discard := v == nil
	if discard {
		v = new(any)
	}
	r.started = false
	r.dec.Reset(r)
	err := r.dec.Decode(v)
	if err == nil && !r.isMap && !discard {
		err = Error.New("a part of a message is not a map")
	}
	if err != nil {
		r.reject(err)
	}
	if r.read > smallMessageBytes {
		r.dec = codec.NewDecoder(r, r.handle)
	}
	return err
}

// reject records an error that isn't one of the connection, and returns it.
func (r *messageReader) reject(err error) error {
	if r.readErr == nil && r.invalid == nil {
		r.invalid = err
	}
	return err
}

// Read reads from the connection for the decoder. It fails when the message exceeds a
// limit; the connection cannot be used after that.
func (r *messageReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.read += n
	if err != nil {
		r.readErr = err
	}
	if n > 0 && !r.started {
		r.started, r.isMap = true, beginsMap(p[0])
	}
	switch {
	case r.read > maxMessageBytes:
		return 0, Error.New("the message exceeds %d bytes", maxMessageBytes)
	case r.read > smallMessageBytes && n > 0:
		cost := int64(messageCopies * n)
		if !r.memory.Take(cost, r.held) {
			return 0, Error.New("the memory for messages of other hosts is used up")
		}
		r.held += cost
	}
	return n, err
}

// takeHeld returns the bytes taken from the budget, which the caller must return.
func (r *messageReader) takeHeld() int64 {
	held := r.held
	r.held = 0
	return held
}

// release returns the bytes taken from the budget.
func (r *messageReader) release() { r.memory.Give(r.takeHeld()) }

// beginsMap reports whether a MessagePack value that begins with c is a map.
func beginsMap(c byte) bool { return c&0xf0 == 0x80 || c == 0xde || c == 0xdf }
