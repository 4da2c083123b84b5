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

// decode decodes the next part of a message into v; nil discards it.
func (r *messageReader) decode(v any) error {
	if v == nil {
		v = new(any)
	}
	r.dec.Reset(r)
	err := r.dec.Decode(v)
	if err != nil && r.readErr == nil && r.invalid == nil {
		r.invalid = err
	}
	if r.read > smallMessageBytes {
		r.dec = codec.NewDecoder(r, r.handle)
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
