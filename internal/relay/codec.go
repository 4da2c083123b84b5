package relay

import (
	"sync"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/ugorji/go/codec"
)

const (
	// maxStatementBytes bounds a statement with its session state. A line of a caller
	// has at most 1 MiB; the rest is for session values and a prepared statement.
	maxStatementBytes = 1<<20 + 64<<10
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 4 << 20
	// keptBufferBytes is the size above which a buffer is not reused.
	keptBufferBytes = 64 << 10
)

var handle = newHandle()

func newHandle() *codec.MsgpackHandle {
	h := new(codec.MsgpackHandle)
	h.WriteExt = true
	h.StructToArray = true
	return h
}

// frameEncoder encodes frames into a buffer that it reuses.
type frameEncoder struct {
	buf []byte
	enc *codec.Encoder
}

var frameEncoders = sync.Pool{New: func() any { return &frameEncoder{enc: codec.NewEncoderBytes(nil, handle)} }}

// withFrame encodes a message and passes the frame to use, which must not keep it.
func withFrame(kind byte, message any, use func(frame []byte) error) error {
	e := frameEncoders.Get().(*frameEncoder)
	defer e.release()
	body := e.buf[:0]
	e.enc.ResetBytes(&body)
	if err := e.enc.Encode(message); err != nil {
		return errkind.Wrap(errkind.Internal, err, "encoding a message")
	}
	body = append(body, kind)
	e.buf = body
	return use(body)
}

func (e *frameEncoder) release() {
	if cap(e.buf) <= keptBufferBytes {
		frameEncoders.Put(e)
	}
}

var frameDecoders = sync.Pool{New: func() any { return codec.NewDecoderBytes(nil, handle) }}

// splitFrame returns the kind of a frame and its message: the kind is the last byte,
// so that encoding needs no copy.
func splitFrame(frame []byte) (kind byte, body []byte) {
	return frame[len(frame)-1], frame[:len(frame)-1]
}

// decodeBody decodes a message. Its strings are copies.
func decodeBody(body []byte, message any) (err error) {
	d := frameDecoders.Get().(*codec.Decoder)
	defer func() {
		// The codec reports malformed input as an error; a panic would be a fault of
		// its own, and must not end the process either.
		if v := recover(); v != nil {
			err = errkind.New(errkind.BadRequest, "decoding a message: %v", v)
		}
	}()
	if len(body) == 0 || !beginsArray(body[0]) {
		return errkind.New(errkind.BadRequest, "a message is not an array")
	}
	d.ResetBytes(body)
	if err := d.Decode(message); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "decoding a message")
	}
	if d.NumBytesRead() != len(body) {
		return errkind.New(errkind.BadRequest, "%d bytes after a message", len(body)-d.NumBytesRead())
	}
	frameDecoders.Put(d)
	return nil
}

// beginsArray reports whether a MessagePack value that begins with c is an array.
func beginsArray(c byte) bool { return c&0xf0 == 0x90 || c == 0xdc || c == 0xdd }
